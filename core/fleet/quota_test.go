package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fake"
	"clementinelock/core/fleet"
	"clementinelock/core/quota"
	"clementinelock/core/routes"
)

// quotaHost is an entry host whose callers send requests of one customer.
type quotaHost struct {
	*entryHost
	quotas quota.Client
	site   *quotaSite
}

// quotaSite is a site whose versions hold the customer's quota by their number; it records when requests ran.
type quotaSite struct {
	*site
	limits map[uint64]quota.Limit
	bounds quota.Bounds
	hosts  map[string]*quotaHost
	runs   []core.Millis
	asked  int
}

const quotaCustomer = "c"

// Tick does the work that is due.
func (h *quotaHost) Tick(now core.Millis) core.Effects {
	out := h.entryHost.Tick(now)
	h.decide(h.quotas.Tick(now, &out))
	return out
}

// Receive handles a message.
func (h *quotaHost) Receive(now core.Millis, from string, message core.Message) core.Effects {
	if g, ok := message.(*quota.Grant); ok {
		out := core.Effects{}
		h.decide(h.quotas.Receive(now, from, g, &out))
		return out
	}
	return h.entryHost.Receive(now, from, message)
}

func (h *quotaHost) decide(decisions []quota.Decision) {
	for _, d := range decisions {
		if d.Result == quota.Granted {
			h.site.runs = append(h.site.runs, h.site.Now)
		}
	}
}

// send decides on a request by the quota of the version in force at the host.
func (h *quotaHost) send() {
	h.site.asked++
	version := h.View(h.site.Now).Document.Version
	if version == 0 {
		return
	}
	if !h.site.limits[version].IsSet() {
		h.site.runs = append(h.site.runs, h.site.Now)
		return
	}
	out := core.Effects{}
	d := h.quotas.Take(h.site.Now, quotaCustomer, version, &out)
	h.site.Apply(h.Name, out)
	h.decide([]quota.Decision{d})
}

func newQuotaSite(t *testing.T, seed uint64, limits map[uint64]quota.Limit) *quotaSite {
	s := &quotaSite{site: newSite(t, seed), limits: limits, bounds: quota.Bounds{Window: 5 * core.Second, Overrun: 0.1, Slack: 20}}
	s.OnControl = func(c *fleet.Control) {
		c.QuotaBounds = s.bounds
		c.QuotasOf = func(d routes.Document) (map[string]quota.Limit, error) {
			return map[string]quota.Limit{quotaCustomer: limits[d.Version]}, nil
		}
	}
	s.hosts = map[string]*quotaHost{}
	s.OnEntry = func(e *entryHost) fake.Process {
		h := &quotaHost{entryHost: e, site: s}
		h.quotas = quota.Client{Rand: rand.New(rand.NewPCG(s.Rand.Uint64(), 2)), Pools: e.QuotaPools}
		s.hosts[e.Name] = h
		return h
	}
	for i := range entryZones {
		s.sendTo(fmt.Sprint("entry-", i), 100/float64(len(entryZones)))
	}
	s.RunFor(4 * core.Second)
	return s
}

// sendTo sends requests to a host at a rate a second from now on.
func (s *quotaSite) sendTo(name string, perSecond float64) {
	s.At(s.Now+core.Millis(s.Rand.ExpFloat64()*float64(core.Second)/perSecond), func() {
		if s.Up(name) {
			s.hosts[name].send()
		}
		s.sendTo(name, perSecond)
	})
}

// order publishes a version and runs done once it is confirmed.
func (s *quotaSite) order(version uint64, done func()) {
	s.sendOrder(10, func(c *fleet.Control, ticket uint64) core.Effects {
		return c.Publish(s.Now, ticket, routes.Document{Version: version, Text: []byte("x")})
	}, func(core.Reply) { done() })
}

// maxRuns returns the largest number of runs in a window of the bounds that begins at from or later.
func (s *quotaSite) maxRuns(from core.Millis) (most int) {
	for i, at := range s.runs {
		n := 0
		for _, other := range s.runs[i:] {
			if other-at < s.bounds.Window {
				n++
			}
		}
		if at >= from {
			most = max(most, n)
		}
	}
	return most
}

func (s *quotaSite) allowed(l quota.Limit) int {
	return int((l.PerSecond*float64(s.bounds.Window)/float64(core.Second)+l.Burst)*(1+s.bounds.Overrun) + s.bounds.Slack)
}

// TestLoweredQuotaOutlivesTheLeader guards against a quota that is lowered far below what its customer sends, and is not kept
// since the leader ends right after it has confirmed the version.
func TestLoweredQuotaOutlivesTheLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		limits := map[uint64]quota.Limit{1: {PerSecond: 160, Burst: 160}, 2: {PerSecond: 10, Burst: 10}}
		s := newQuotaSite(t, seed, limits)
		s.order(1, func() {})
		s.RunFor(6 * core.Second)
		confirmedAt := core.Millis(0)
		s.order(2, func() {
			confirmedAt = s.Now
			for name, c := range s.controls {
				if c.Dump(s.Now).Quorum.Leader == name {
					s.crash(name, true)
					s.At(s.Now+core.Second, func() { s.startHost(name) })
				}
			}
		})
		s.RunFor(20 * core.Second)
		if confirmedAt == 0 {
			t.Fatalf("seed %d: the version was not confirmed", seed)
		}
		// Hosts are in contact again 4 s after the restart and have the version 2.5 s later; the quota binds a window after that.
		from := confirmedAt + core.Second + 4*core.Second + 2500 + s.bounds.Window
		if got, allowed := s.maxRuns(from), s.allowed(limits[2]); got > allowed || got == 0 {
			t.Errorf("seed %d: %d requests ran in a window after the quota was lowered, %d allowed", seed, got, allowed)
		}
	}
}

// TestQuotaInRandomRuns guards against more requests than the quota while control hosts and entry hosts end, lose power, freeze
// and are cut off in random series, and against a quota that rejects everything in them.
func TestQuotaInRandomRuns(t *testing.T) {
	t.Parallel()
	for seed := uint64(100); seed < 130; seed++ {
		limit := quota.Limit{PerSecond: 60, Burst: 30}
		s := newQuotaSite(t, seed, map[uint64]quota.Limit{1: limit})
		s.order(1, func() {})
		s.RunFor(5 * core.Second)
		from := s.Now
		for range 12 {
			faults[s.Rand.IntN(8)].inject(s.site)
			s.RunFor(core.Millis(500 + s.Rand.IntN(4000)))
		}
		if got, allowed := s.maxRuns(from), s.allowed(limit); got > allowed || got == 0 {
			t.Errorf("seed %d: %d requests ran in a window, %d allowed", seed, got, allowed)
		}
	}
}

// TestQuotaOfCutOffHosts guards against callers that are rejected below the quota while all control hosts of the other regions
// are cut off from theirs, or while the leader is down.
func TestQuotaOfCutOffHosts(t *testing.T) {
	t.Parallel()
	for name, begin := range map[string]func(s *quotaSite){
		"region": func(s *quotaSite) {
			for _, a := range []string{"control-0", "control-3"} {
				s.Isolate(a, []string{"control-1", "control-2", "control-4", "control-5"}, true)
			}
		},
		"leader": func(s *quotaSite) {
			for name, c := range s.controls {
				if c.Dump(s.Now).Quorum.Leader == name {
					s.crash(name, false)
				}
			}
		},
	} {
		limit := quota.Limit{PerSecond: 160, Burst: 160}
		s := newQuotaSite(t, 3, map[uint64]quota.Limit{1: limit})
		s.order(1, func() {})
		s.RunFor(5 * core.Second)
		asked, runs := s.asked, len(s.runs)
		begin(s)
		s.RunFor(10 * core.Second)
		if share := float64(len(s.runs)-runs) / float64(s.asked-asked); share < 0.98 {
			t.Errorf("%s: %.3f of the requests were served, expected 0.98", name, share)
		}
	}
}
