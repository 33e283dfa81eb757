package fleet_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fake"
	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/routes"
)

// Properties of the endpoint that turns cold, as the users' deployments state them.
const (
	coldStart   = 3 * core.Second
	coldRate    = 5.2
	coldOverrun = 1.5
	coldSlack   = 5.0
	// warmRate is what the endpoint's callers ask of it, in requests per second: three slots of 108 ms.
	warmRate = 28.0
	// listLag is by how much the platform's list lags.
	listLag = 800 * core.Millisecond
	// coldBeforeEnd is how long before the end of an evacuation endpoints may turn cold.
	coldBeforeEnd = 200 * core.Millisecond
)

// coldSite is a deployment whose entry hosts send requests to its one endpoint as their endpoint tables allow.
type coldSite struct {
	*site
	hosts    map[string]*coldHost
	arrivals []core.Millis
	cut      map[string]bool
}

// coldHost is an entry host with its endpoint table.
type coldHost struct {
	*entryHost
	table  *pick.Table
	routes *routes.Table
	// rate is the number of requests per second that callers send.
	rate float64
}

// Receive handles a message and applies what it changed to the endpoint table.
func (h *coldHost) Receive(now core.Millis, from string, message core.Message) core.Effects {
	effects := h.entryHost.Receive(now, from, message)
	applyContact(h.table, h.Entry)
	h.table.Update(now, h.View(now), h.routes)
	return effects
}

// applyContact tells an endpoint table of its host's contact.
func applyContact(table *pick.Table, e *fleet.Entry) {
	table.RecordContact(e.ContactAt(), e.ContactLease())
}

func newColdSite(t *testing.T, seed uint64, entries []string) *coldSite {
	t.Helper()
	table, err := routes.NewTable(1, routes.Limits{}, []routes.Service{{Name: "s", ColdStart: coldStart, ColdRequestsPerSecond: coldRate}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	regions := map[string]string{}
	for _, zone := range controlZones {
		regions[zone] = region(zone)
	}
	c := &coldSite{site: newSiteIn(t, seed, controlZones, entries), cut: map[string]bool{}, hosts: map[string]*coldHost{}}
	total := 0.0
	c.OnEntry = func(e *entryHost) fake.Process {
		h := &coldHost{entryHost: e, routes: table, rate: c.Rand.ExpFloat64(), table: &pick.Table{
			Name: e.Name, StartedAt: c.Now, Region: e.Region, Zone: e.Zone, RegionByZone: regions, Rand: rand.New(rand.NewPCG(seed, uint64(len(c.hosts)))), OnRemove: func(string) {},
			Bounds: pick.Bounds{ColdOverrun: coldOverrun, ColdSlack: coldSlack},
		}}
		if e.Region == "r0" {
			// Most callers of an endpoint are those of its region.
			h.rate *= 4
		}
		applyContact(h.table, h.Entry)
		before := c.hosts[e.Name]
		c.hosts[e.Name] = h
		if before != nil {
			h.rate = before.rate
			c.schedule(h)
			return h
		}
		total += h.rate
		return h
	}
	c.RunFor(8 * core.Second)
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		h := c.hosts[name]
		h.rate *= warmRate / total
		c.schedule(h)
	}
	return c
}

// schedule lets a host send its next request, which then schedules its successor.
func (c *coldSite) schedule(h *coldHost) {
	c.At(c.Now+1+core.MillisOf(c.Rand.ExpFloat64()/h.rate*float64(core.Second)), func() {
		if c.hosts[h.Name] != h || !c.Up(h.Name) {
			return
		}
		c.schedule(h)
		if !h.View(c.Now).ListKnown {
			return
		}
		choice, refusal := h.table.Choose(c.Now, pick.Request{Service: "s", Remaining: core.Minute})
		if refusal != nil {
			return
		}
		h.table.Done(c.Now, choice, pick.Good, 1, nil)
		c.arrivals = append(c.arrivals, c.Now+c.Delay(h.Name, "control-0"))
	})
}

// cutOff cuts entry hosts off from all control hosts, or ends that.
func (c *coldSite) cutOff(share float64, cut bool) {
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		h := c.hosts[name]
		if cut && c.Rand.Float64() < share || !cut && c.cut[h.Name] {
			c.cut[h.Name] = cut
			for name := range c.controls {
				c.Cut(h.Name, name, cut)
				c.Cut(name, h.Name, cut)
			}
		}
	}
}

// turnCold lets the list show, with its lag, that the endpoint is cold from a time on.
func (c *coldSite) turnCold(from core.Millis) {
	for at := from; at < from+coldStart+listLag; at += 100 {
		c.At(at+listLag, func() { c.list[0].ColdFor = max(0, from+coldStart-at) })
	}
}

// mostWhileCold returns the largest number of requests in one second that begins while the endpoint is cold.
func (c *coldSite) mostWhileCold(from core.Millis) (most int) {
	slices.Sort(c.arrivals)
	for i, at := range c.arrivals {
		if at < from || at >= from+coldStart {
			continue
		}
		n := 0
		for n < len(c.arrivals)-i && c.arrivals[i+n] < at+core.Second {
			n++
		}
		most = max(most, n)
	}
	return most
}

// overloads counts the runs in which a cold endpoint got more than its rate.
type overloads struct {
	runs, broken int
	// unused counts the runs in which the endpoint got nothing while it was cold.
	unused int
	// worst is the largest number of requests in one second.
	worst int
}

// add adds a run in which the endpoint was cold from a time on.
func (o *overloads) add(s *coldSite, cold core.Millis) {
	most := s.mostWhileCold(cold)
	o.runs++
	o.worst = max(o.worst, most)
	if float64(most) > coldRate*coldOverrun+coldSlack {
		o.broken++
	}
	if most == 0 {
		o.unused++
	}
}

func (o *overloads) check(t *testing.T) {
	t.Helper()
	t.Logf("at most %d requests in one second, the bound is %.1f", o.worst, coldRate*coldOverrun+coldSlack)
	if o.broken > 0 {
		t.Errorf("a cold endpoint got more than its rate with %d of %d seeds, at most %d requests in one second", o.broken, o.runs, o.worst)
	}
}

// TestEvacuationRightAfterACut guards against an overload of endpoints that turn cold in an evacuation which begins and ends
// before hosts that lost contact at its begin take themselves for isolated: they send as to warm endpoints.
func TestEvacuationRightAfterACut(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		entries []string
		seeds   uint64
	}{{"9 hosts", entryZones, 60}, {"45 hosts", slices.Repeat(entryZones, 5), 10}} {
		t.Run(c.name, func(t *testing.T) {
			o := &overloads{}
			for seed := range c.seeds {
				s := newColdSite(t, seed, c.entries)
				s.RunFor(core.Second + core.Millis(s.Rand.IntN(1000)))
				s.cutOff([]float64{0.5, 0.9, 1}[seed%3], true)
				// Most evacuations are short and begin soon.
				s.RunFor(100 + core.Millis(min(s.Rand.IntN(1800), s.Rand.IntN(1800))))
				length := 600 + core.Millis(min(s.Rand.IntN(1900), s.Rand.IntN(1900)))
				cold := s.Now + length - coldBeforeEnd
				s.turnCold(cold)
				s.evacuate("r0-a", true)
				s.RunFor(length)
				s.evacuate("r0-a", false)
				s.RunFor(2500)
				s.cutOff(0, false)
				s.RunFor(2 * core.Second)
				o.add(s, cold)
			}
			o.check(t)
		})
	}
}

// TestHostsStartedBehindACut guards against an overload of endpoints by hosts that start in an availability zone which is cut
// off from the others: the state that they get there is old, and they have had no contact that could age.
func TestHostsStartedBehindACut(t *testing.T) {
	t.Parallel()
	o := &overloads{}
	for seed := range uint64(30) {
		s := newColdSite(t, seed, entryZones)
		inside := s.cutZone("r0-a")
		s.RunFor(2 * core.Second)
		s.evacuate("r0-a", true)
		s.RunFor(core.Second)
		for s.unconfirmed["r0-a"] {
			s.RunFor(100)
		}
		for _, name := range inside {
			if s.hosts[name] != nil {
				s.crash(name, false)
				s.startHost(name)
			}
		}
		s.RunFor(500 + core.Millis(s.Rand.IntN(1500)))
		cold := s.Now - coldBeforeEnd
		s.turnCold(cold)
		s.evacuate("r0-a", false)
		s.RunFor(4 * core.Second)
		o.add(s, cold)
	}
	o.check(t)
}

// TestHostsRestartBesideAColdEndpoint guards against hosts that are killed and start again within a second, and use their parts
// of a cold endpoint's rate once more, since they know of no request of their former processes; and against hosts that use
// none of it although they live for long enough.
func TestHostsRestartBesideAColdEndpoint(t *testing.T) {
	t.Parallel()
	for _, restarts := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(restarts), func(t *testing.T) {
			o := &overloads{}
			due, unused := 0, 0
			for seed := range uint64(120) {
				s := newColdSite(t, seed, entryZones)
				s.evacuate("r0-a", true)
				s.RunFor(2 * core.Second)
				cold := s.Now - coldBeforeEnd
				s.turnCold(cold)
				s.evacuate("r0-a", false)
				for range restarts {
					s.RunFor(500 + core.Millis(s.Rand.IntN(300)))
					s.restartEntries("r0-a")
				}
				s.RunFor(3 * core.Second)
				before := o.unused
				o.add(s, cold)
				if s.mayUse("r0-a", cold) {
					due++
					unused += o.unused - before
				}
			}
			o.check(t)
			t.Logf("hosts live for long enough in %d of %d runs", due, o.runs)
			if restarts == 1 && due < o.runs/2 || unused > 0 {
				t.Errorf("a cold endpoint got nothing with %d of the %d seeds in which hosts live for long enough", unused, due)
			}
		})
	}
}

// mayUse reports whether the hosts of an availability zone live for half a second beyond the first 1.1 s, in which they send a
// cold endpoint nothing, before the endpoint is warm, and have two requests to send in that time.
func (c *coldSite) mayUse(zone string, cold core.Millis) bool {
	latest, rate := core.Millis(0), 0.0
	for _, h := range c.hosts {
		if h.Zone == zone {
			latest, rate = max(latest, h.table.StartedAt), rate+h.rate
		}
	}
	left := cold + coldStart - latest - 1100
	return left >= 500 && rate*float64(left)/float64(core.Second) >= 2
}

// restartEntries kills the entry hosts of an availability zone, and starts them again within 0.3 s.
func (c *coldSite) restartEntries(zone string) {
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		if c.zones[name] == zone {
			c.crash(name, false)
			c.At(c.Now+100+core.Millis(c.Rand.IntN(200)), func() { c.startHost(name) })
		}
	}
}
