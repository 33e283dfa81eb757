package model

import (
	"net/netip"
	"slices"

	"clementinelock/core"
	"clementinelock/core/tree"
)

// Load is a stream of callers. Each looks entry hosts up as the directory of a live host lists them and sends one request.
type Load struct {
	Site    *Site
	Service string
	// Rates are the requests per second that begin in each region.
	Rates map[string]float64
	// Keyed is the part of the requests that carry a key issued by the caller's region and must not run twice.
	Keyed    float64
	Deadline core.Millis

	stopped bool
	clients int
}

// Start begins the stream.
func (l *Load) Start() {
	for _, region := range l.Site.View.Regions {
		if rate := l.Rates[region.Name]; rate > 0 {
			l.next(region.Name, float64(l.Site.Now))
		}
	}
}

// Stop ends the stream.
func (l *Load) Stop() {
	l.stopped = true
}

// next sends one request and draws when the next one comes; due keeps the parts of a millisecond.
func (l *Load) next(region string, due float64) {
	s := l.Site
	if l.stopped {
		return
	}
	l.one(region)
	due += s.Rand.ExpFloat64() * 1000 / l.Rates[region]
	s.At(core.Millis(due), func() { l.next(region, due) })
}

func (l *Load) one(region string) {
	s := l.Site
	host := l.lookup(region)
	if host == "" {
		return
	}
	if s.Rand.Float64() < l.Keyed {
		s.Call(host, l.Service, s.keyOf(region), true, l.Deadline)
		return
	}
	s.Call(host, l.Service, "", false, l.Deadline)
}

// lookup asks a live host for the entry hosts of a client in the region and returns the first.
func (l *Load) lookup(region string) string {
	s := l.Site
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
