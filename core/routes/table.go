package routes

import (
	"fmt"
	"slices"
	"strings"

	"clementinelock/core"
)

// MaxTimeout is the longest timeout that a route may have; operators' routes beyond it are typing errors.
const MaxTimeout = 10 * core.Minute

// Document is a set of routes as its operator wrote it.
type Document struct {
	Version uint64
	// Text is compressed by the adapter that took the document in.
	Text []byte
}

// Destination is one service of a route with its weight among the route's parts.
type Destination struct {
	Service string
	Weight  float64
}

// Route tells what is done with the requests of one host name below one path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is how long a caller is kept waiting at most; 0 sets no limit.
	Timeout core.Millis
	// Objective is the latency within which an answer is worth most.
	Objective core.Millis
	// Priority ranks the route; 0 is the most urgent.
	Priority     int
	Destinations []Destination
	MaxAttempts  int
	// Affinity asks to lead requests of one object to endpoints that know it.
	Affinity bool
	// Regions lists the only regions in which the requests may be served; none sets no limit.
	Regions []string
}

// Service is what a document says of one service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections an endpoint takes from all hosts together.
	MaxConnections int
	// ColdStart is how long an endpoint stays cold after its start.
	ColdStart core.Millis
	// ColdRequestsPerSecond is the rate of requests that a cold endpoint bears.
	ColdRequestsPerSecond float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout core.Millis
	IdleTimeout   core.Millis
}

// Table is a decoded document.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	hosts    map[string][]*Route
	count    int
}

// NewTable returns a table; it errs on the first route that can't be in force.
func NewTable(version uint64, limits Limits, services []Service, all []Route) (*Table, error) {
	t := &Table{Version: version, Limits: limits, Services: map[string]Service{}, hosts: map[string][]*Route{}, count: len(all)}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range all {
		if err := t.check(&all[i]); err != nil {
			return nil, err
		}
		t.hosts[all[i].Host] = append(t.hosts[all[i].Host], &all[i])
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") {
		return fmt.Errorf("route %q: path prefix %q does not begin with a slash", r.Name, r.Prefix)
	}
	if r.Timeout < 0 || r.Timeout > MaxTimeout {
		return fmt.Errorf("route %q: timeout %s is not between 0 and %s", r.Name, r.Timeout, MaxTimeout)
	}
	if len(r.Destinations) == 0 {
		return fmt.Errorf("route %q names no service", r.Name)
	}
	for _, destination := range r.Destinations {
		if _, known := t.Services[destination.Service]; !known {
			return fmt.Errorf("route %q names service %q, which the document does not have", r.Name, destination.Service)
		}
		if destination.Weight < 0 {
			return fmt.Errorf("route %q: weight %g of service %q is below 0", r.Name, destination.Weight, destination.Service)
		}
	}
	return nil
}

// Find returns the route of a host name with the longest prefix that begins the path, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Count returns how many routes the table has.
func (t *Table) Count() int {
	return t.count
}

// Choose returns the part that a point between 0 and 1 falls on, in proportion to the weights.
func (r *Route) Choose(point float64) string {
	total := 0.0
	for _, destination := range r.Destinations {
		total += destination.Weight
	}
	rest := point * total
	for _, destination := range r.Destinations {
		if rest < destination.Weight {
			return destination.Service
		}
		rest -= destination.Weight
	}
	return r.Destinations[0].Service
}
