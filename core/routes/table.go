package routes

import (
	"fmt"
	"slices"
	"strings"

	"clementinelock/core"
	"clementinelock/core/creds"
)

// MaxTimeout is the longest timeout that a route may have; a longer one is taken for a typing error.
const MaxTimeout = 10 * core.Minute

// Document is a set of routes as its operator wrote it.
type Document struct {
	Version uint64
	// Text is compressed by the adapter that received the document.
	Text []byte
}

// Destination is a service of a route with its weight relative to the route's other destinations.
type Destination struct {
	Service string
	Weight  float64
}

// Route describes how requests for one host name and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for the response; 0 sets no limit.
	Timeout core.Millis
	// Objective is the target latency of a response; later responses are worth less.
	Objective core.Millis
	// Priority ranks the route; 0 is the most urgent.
	Priority     int
	Destinations []Destination
	MaxAttempts  int
	// Affinity sends requests for the same object to endpoints that have its data.
	Affinity bool
	// Regions lists the regions in which requests may be served; empty allows all.
	Regions []string
	// Public lets requests without a customer's key in.
	Public bool
}

// Service holds the settings of one service in a document.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections limits the connections of all hosts together to one endpoint.
	MaxConnections int
	// ColdStart is the time for which an endpoint is cold after its start.
	ColdStart core.Millis
	// ColdRequestsPerSecond is the request rate that a cold endpoint can serve.
	ColdRequestsPerSecond float64
}

// Limits bounds the size of requests and the time that callers may take to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout core.Millis
	IdleTimeout   core.Millis
}

// Table is a decoded document, indexed by host name and path prefix.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]Service
	// Customers identifies callers by their keys; nil means that requests need none.
	Customers *creds.Directory
	hosts     map[string][]*Route
	count     int
}

// NewTable builds a table; it returns an error for the first invalid route.
func NewTable(version uint64, limits Limits, services []Service, all []Route) (*Table, error) {
	t := &Table{Version: version, Limits: limits, Services: map[string]Service{}, hosts: map[string][]*Route{}, count: len(all)}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range all {
		if err := t.checkRoute(&all[i]); err != nil {
			return nil, err
		}
		t.hosts[all[i].Host] = append(t.hosts[all[i].Host], &all[i])
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func (t *Table) checkRoute(r *Route) error {
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

// Find returns the route of the host name with the longest prefix of the path, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Count returns the number of routes.
func (t *Table) Count() int {
	return t.count
}

// Choose returns the service for a point in [0, 1), where services take up intervals in proportion to their weights.
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
