package pick_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// coldFleet is a deployment with one endpoint, which is cold. Hosts have more requests than it bears; those that are
// isolated take it for warm.
type coldFleet struct {
	hosts    []*pick.Table
	inRegion int
}

// newColdFleet creates the hosts of three regions with two availability zones each, whose hosts zones counts; the endpoint
// is in one of the two zones of the first region. The set isolated holds hosts by their numbers; if renumbered is set, those in
// contact were told their ranks among themselves.
func newColdFleet(t *testing.T, zones [2]int, zone int, isolated uint64, renumbered bool) *coldFleet {
	t.Helper()
	table, err := routes.NewTable(1, routes.Limits{}, []routes.Service{{Name: "s", ColdStart: modelColdStart, ColdRequestsPerSecond: modelColdRate}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	regions := map[string]string{}
	for region := range 3 {
		for _, letter := range []string{"a", "b"} {
			regions[fmt.Sprintf("r%d-%s", region, letter)] = fmt.Sprint("r", region)
		}
	}
	f := &coldFleet{inRegion: zones[0] + zones[1]}
	for region := range 3 {
		rank, inContact := 0, 0
		for i, letter := range []string{"a", "b"} {
			for range zones[i] {
				rank++
				host := &pick.Table{
					Name: fmt.Sprint("host-", len(f.hosts)), Region: fmt.Sprint("r", region), Zone: fmt.Sprintf("r%d-%s", region, letter), RegionByZone: regions,
					Rand: rand.New(rand.NewPCG(uint64(len(f.hosts)), 3)), OnRemove: func(string) {}, Bounds: pick.Bounds{ColdOverrun: 1.5, ColdSlack: 5},
				}
				now := core.Hour
				endpoint := roster.Entry{ID: "i-1", Service: "s", Zone: "r0-" + string("ab"[zone]), Address: "a", Slots: 1000}
				if isolated>>len(f.hosts)&1 == 1 {
					host.RecordContact(1, 0)
				} else {
					host.RecordContact(now, 0)
					endpoint.ColdFor = core.Minute
				}
				view := fleet.View{ListKnown: true, Endpoints: []roster.Entry{endpoint}, Entries: fleet.EntryCounts{Zone: zones[i], Region: f.inRegion, All: 3 * f.inRegion, Rank: rank}}
				if renumbered && f.inRegion <= 3 {
					// The host has started while those of the other zone were cut off.
					view.Entries.Region = zones[i]
				}
				host.Update(now, view, table)
				if renumbered && isolated>>len(f.hosts)&1 == 0 {
					inContact++
					view.Entries.Region, view.Entries.All, view.Entries.Rank = 1, 1, inContact
					host.Update(now, view, table)
				}
				f.hosts = append(f.hosts, host)
			}
		}
	}
	return f
}

// run lets the hosts, in random order, send a request whenever they may; it returns the times of the requests.
func (f *coldFleet) run(random *rand.Rand, length core.Millis, isolated uint64) (arrivals []core.Millis) {
	for now := core.Hour; now < core.Hour+length; now += 25 {
		for _, i := range random.Perm(len(f.hosts)) {
			if isolated>>i&1 == 0 {
				f.hosts[i].RecordContact(now, 0)
			}
			if choice, refusal := f.hosts[i].Choose(now, pick.Request{Service: "s", Remaining: core.Minute}); refusal == nil {
				arrivals = append(arrivals, now)
				f.hosts[i].Done(now, choice, pick.Good, 1, nil)
			}
		}
	}
	return arrivals
}

// TestColdEndpointBesideIsolatedHosts guards against a cold endpoint that gets its rate from the hosts that know of it, and
// once more from isolated ones of its availability zone, its region or other regions that take it for warm.
func TestColdEndpointBesideIsolatedHosts(t *testing.T) {
	for _, zones := range [][2]int{{1, 0}, {1, 1}, {2, 1}, {2, 2}, {3, 1}, {3, 3}, {5, 4}, {9, 8}, {9, 9}, {12, 9}, {13, 7}, {14, 6}, {19, 1}} {
		for zone := range 2 {
			if zones[zone] == 0 {
				continue
			}
			t.Run(fmt.Sprint(zones, zone), func(t *testing.T) {
				hosts := 3 * (zones[0] + zones[1])
				random := rand.New(rand.NewPCG(uint64(hosts), 5))
				worst, worstSet, unused := 0, uint64(0), 0
				sets := isolatedSets(random, zones)
				for i, isolated := range slices.Concat(sets, sets) {
					f := newColdFleet(t, zones, zone, isolated, i < len(sets))
					arrivals := f.run(random, 2500*core.Millisecond, isolated)
					if most := maxWithinSecond(arrivals); most > worst {
						worst, worstSet = most, isolated
					}
					if len(arrivals) == 0 {
						unused++
					}
				}
				if float64(worst) > coldBound {
					t.Errorf("%d requests in one second with the isolated hosts %0*b, the bound is %.1f", worst, hosts, worstSet, coldBound)
				}
				if unused > 0 {
					t.Errorf("%d of %d sets of isolated hosts sent the endpoint nothing", unused, len(sets))
				}
			})
		}
	}
}

// isolatedSets returns sets of isolated hosts: combinations of whole availability zones, and random ones.
func isolatedSets(random *rand.Rand, zones [2]int) (sets []uint64) {
	hosts := 3 * (zones[0] + zones[1])
	for combination := range 1 << 6 {
		if combination>>2&3 != combination>>4 {
			// The other two regions are alike.
			continue
		}
		set, host := uint64(0), 0
		for zone := range 6 {
			for range zones[zone%2] {
				set |= uint64(combination>>zone&1) << host
				host++
			}
		}
		sets = append(sets, set)
	}
	for range 24 {
		sets = append(sets, random.Uint64()&(1<<hosts-1))
	}
	return sets
}
