package model

import (
	"net/netip"
	"slices"

	"clementinelock/core"
	"clementinelock/core/tree"
)

// Load generates callers' requests.
// Each caller looks up entry hosts in the directory of a running host and sends one request.
type Load struct {
	Deployment *Deployment
	Service    string
	// Rates are the requests per second that start in each region.
	Rates map[string]float64
	// KeyedShare is the share of requests that carry a key issued by the caller's region and must not run twice.
	KeyedShare float64
	Deadline   core.Millis

	stopped bool
	clients int
}

// Start starts sending requests.
func (l *Load) Start() {
	for _, region := range l.Deployment.View.Regions {
		if rate := l.Rates[region.Name]; rate > 0 {
			l.next(region.Name, float64(l.Deployment.Now))
		}
	}
}

// Stop stops sending requests.
func (l *Load) Stop() {
	l.stopped = true
}

// next sends one request and schedules the next one; due is in ms with its fraction, so that rates stay exact.
func (l *Load) next(region string, due float64) {
	s := l.Deployment
	if l.stopped {
		return
	}
	l.sendRequest(region)
	due += s.Rand.ExpFloat64() * 1000 / l.Rates[region]
	s.At(core.Millis(due), func() { l.next(region, due) })
}

func (l *Load) sendRequest(region string) {
	s := l.Deployment
	host := l.lookup(region)
	if host == "" {
		return
	}
	if s.Rand.Float64() < l.KeyedShare {
		s.Call(host, l.Service, s.issueKey(region), true, l.Deadline)
		return
	}
	s.Call(host, l.Service, "", false, l.Deadline)
}

// lookup looks up the entry hosts for a client in the region at a running host and returns the first.
func (l *Load) lookup(region string) string {
	s := l.Deployment
	index := slices.IndexFunc(s.View.Regions, func(r tree.Region) bool { return r.Name == region })
	client := netip.AddrFrom4([4]byte{10, byte(s.View.Regions[index].Settings.Clients[0].Addr().As4()[1]), byte(l.clients >> 8), byte(l.clients)})
	l.clients++
	for _, name := range s.View.RegionHosts(region) {
		if !s.Up(name) {
			continue
		}
		directory := s.Machines[name].Directory()
		if directory == nil {
			continue
		}
		hosts, _, ok := directory.Find(l.Service, client, uint64(l.clients), nil)
		if ok && len(hosts) > 0 {
			return hosts[0].Host
		}
	}
	return ""
}
