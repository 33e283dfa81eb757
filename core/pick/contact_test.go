package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// coldBound is how many requests a cold endpoint may get in one second from all hosts together.
const coldBound = modelColdRate*1.5 + 5

// TestEvacuationMissedBehindACut guards against an overload of endpoints that turned cold during an evacuation which
// began and ended while a part of the hosts was cut off: the update that ends the cut tells of no evacuation, and the list
// is older than the cold start.
func TestEvacuationMissedBehindACut(t *testing.T) {
	for _, c := range []struct {
		name    string
		scale   int
		more    int
		perZone float64
		// cutOff is the number of hosts of each zone that are cut off, served the part of the requests that is answered.
		cutOff int
		served float64
	}{{"few hosts", 2, 0, 24, 1, 0.9}, {"half of many", 4, 12, 72, 7, 0.9}, {"two thirds of many", 4, 12, 72, 9, 0.9}, {"nearly all of many", 4, 12, 72, 12, 0.9}} {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(41, 3, [3]int{c.scale, c.scale, c.scale}, workload{"s", 120, 300, 800, constantRate(c.perZone)})
			w.objects = 100
			w.addHosts(c.more)
			w.listDelay = 800 * core.Millisecond
			const (
				cut, begin, cold, end = 3 * core.Second, 4 * core.Second, 7500 * core.Millisecond, 8 * core.Second
				healed                = end + 100
				updateInterval        = 800 * core.Millisecond
				until                 = 14 * core.Second
			)
			isolated := map[*pick.Table]bool{}
			w.schedule(cut, func() {
				for _, zone := range w.zones {
					for i, table := range w.tables[zone] {
						isolated[table] = i < c.cutOff
					}
				}
			})
			var evacuated []string
			var returnedAt core.Millis
			update := func() {
				w.view.Evacuated, w.view.Returned = evacuated, nil
				if returnedAt != 0 {
					w.view.Returned = []fleet.ZoneReturn{{Zone: "r0-a", Age: w.now - returnedAt}}
				}
				w.recordContacts(isolated)
				w.updateTablesExcept(isolated)
			}
			w.schedule(begin, func() { evacuated = []string{"r0-a"}; update() })
			w.schedule(cold, func() {
				for _, p := range w.endpoints {
					if p.Zone == "r0-a" {
						p.coldUntil = w.now + modelColdStart
					}
				}
			})
			w.schedule(end, func() { evacuated, returnedAt = nil, w.now; update() })
			w.schedule(healed, func() { clear(isolated); update() })
			for at := core.Millis(0); at < until; at += updateInterval {
				w.schedule(at, update)
			}
			w.run(until)
			for id, p := range w.endpoints {
				if most := p.maxPerSecond(cold, cold+modelColdStart); p.Zone == "r0-a" && float64(most) > coldBound {
					t.Errorf("endpoint %s got %d requests in one second while it was cold, the bound is %.1f", id, most, coldBound)
				}
			}
			served := float64(w.tally.onTime+w.tally.late) / float64(w.tally.sent)
			t.Logf("%v; served %.3f", w.tally, served)
			if served < c.served {
				t.Errorf("%.3f of the requests are answered, expected %.1f", served, c.served)
			}
		})
	}
}

// TestNearlyAllHostsIsolated guards against isolated hosts that together send a cold endpoint more than its rate since
// each takes two thirds of the hosts for the most that can be cut off at once.
func TestNearlyAllHostsIsolated(t *testing.T) {
	testAllIsolated(t, 1, 2, 9, 29, 97)
}

// TestAllOfThreeHostsIsolated is the same for regions of few hosts, where two thirds are less than all by a whole host.
func TestAllOfThreeHostsIsolated(t *testing.T) {
	testAllIsolated(t, 3, 4)
}

// testAllIsolated lets all hosts of a region use an endpoint while all are isolated.
func testAllIsolated(t *testing.T, sizes ...int) {
	t.Helper()
	for _, hosts := range sizes {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := newColdZone(t, hosts, func(table *pick.Table) { table.RecordContact(1, 0) })
			c.run(t, 8*core.Second)
			if most := maxWithinSecond(c.arrivals); float64(most) > coldBound {
				t.Errorf("%d isolated hosts sent an endpoint %d requests in one second, the bound is %.1f", hosts, most, coldBound)
			}
			if len(c.arrivals) == 0 {
				t.Error("isolated hosts sent the endpoint nothing")
			}
		})
	}
}

// TestColdEndpointAtAnyNumberOfHosts guards against a cold endpoint that no host uses because its availability zone has
// more hosts than the endpoint bears requests in a second.
func TestColdEndpointAtAnyNumberOfHosts(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 9, 12, 14, 16, 33, 85, 290} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			starved := 0
			const starts = 40
			for seed := range uint64(starts) {
				c := newColdZone(t, hosts, nil)
				c.rand = rand.New(rand.NewPCG(seed, 2))
				for i := range c.view.Endpoints {
					c.view.Endpoints[i].ID = fmt.Sprint("i-", seed)
					c.view.Endpoints[i].ColdFor = modelColdStart
				}
				c.update()
				c.run(t, modelColdStart)
				if most := maxWithinSecond(c.arrivals); float64(most) > coldBound {
					t.Errorf("%d hosts sent a cold endpoint %d requests in one second, the bound is %.1f", hosts, most, coldBound)
				}
				if len(c.arrivals) == 0 {
					starved++
				}
			}
			if starved > 0 {
				t.Errorf("%d of %d cold endpoints got no request in their cold start", starved, starts)
			}
		})
	}
}

// TestColdEndpointWithoutARate guards against hosts that end by a division where no rate is configured, and against requests
// to a cold endpoint whose rate is 0.
func TestColdEndpointWithoutARate(t *testing.T) {
	for _, hosts := range []int{0, 1, 20} {
		c := newColdZone(t, hosts, nil)
		for _, host := range c.hosts {
			host.Bounds = pick.Bounds{}
		}
		c.table, _ = routes.NewTable(1, routes.Limits{}, []routes.Service{{Name: "s"}}, nil)
		c.view.Endpoints[0].ColdFor = modelColdStart
		c.update()
		c.run(t, modelColdStart)
		if len(c.arrivals) > 0 {
			t.Errorf("%d hosts sent a cold endpoint without a rate %d requests", hosts, len(c.arrivals))
		}
	}
	c := newColdZone(t, 1, func(table *pick.Table) { table.RecordContact(1, 0) })
	c.view.Entries = fleet.EntryCounts{}
	c.table, _ = routes.NewTable(1, routes.Limits{}, []routes.Service{{Name: "s", ColdRequestsPerSecond: 0.1}}, nil)
	c.hosts[0].Bounds = pick.Bounds{ColdOverrun: 1}
	c.update()
	c.run(t, 20*core.Second)
}

// coldZone is an availability zone with one endpoint whose hosts have more requests than it bears.
type coldZone struct {
	now      core.Millis
	rand     *rand.Rand
	view     fleet.View
	table    *routes.Table
	hosts    []*pick.Table
	arrivals []core.Millis
}

// newColdZone creates the hosts of a region of one zone; setUp may change each.
func newColdZone(t *testing.T, hosts int, setUp func(*pick.Table)) *coldZone {
	t.Helper()
	table, err := routes.NewTable(1, routes.Limits{}, []routes.Service{{Name: "s", ColdStart: modelColdStart, ColdRequestsPerSecond: modelColdRate}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	c := &coldZone{now: core.Hour, rand: rand.New(rand.NewPCG(1, 2)), table: table}
	c.view = fleet.View{ListKnown: true, Entries: fleet.EntryCounts{Zone: hosts, Region: hosts, All: hosts}}
	c.view.Endpoints = []roster.Entry{{ID: "i-1", Service: "s", Zone: "r0-a", Address: "a", Slots: 1000}}
	for i := range hosts {
		host := &pick.Table{
			Name: fmt.Sprint("host-", i), Region: "r0", Zone: "r0-a", RegionByZone: map[string]string{"r0-a": "r0"},
			Rand: rand.New(rand.NewPCG(uint64(i), 3)), OnRemove: func(string) {}, Bounds: pick.Bounds{ColdOverrun: 1.5, ColdSlack: 5},
		}
		if setUp != nil {
			setUp(host)
		}
		c.hosts = append(c.hosts, host)
	}
	c.update()
	return c
}

func (c *coldZone) update() {
	for i, host := range c.hosts {
		c.view.Entries.Rank = i + 1
		host.Update(c.now, c.view, c.table)
	}
}

// run lets the hosts, in random order, send a request whenever they may.
func (c *coldZone) run(t *testing.T, length core.Millis) {
	t.Helper()
	for until := c.now + length; c.now < until; c.now += 20 {
		for _, i := range c.rand.Perm(len(c.hosts)) {
			if choice, refusal := c.hosts[i].Choose(c.now, pick.Request{Service: "s", Remaining: core.Minute}); refusal == nil {
				c.arrivals = append(c.arrivals, c.now)
				c.hosts[i].Done(c.now, choice, pick.Good, 1, nil)
			}
		}
	}
}

// maxWithinSecond returns the largest number of times, in order, within one second.
func maxWithinSecond(times []core.Millis) (most int) {
	first := 0
	for i, at := range times {
		for at-times[first] >= core.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
