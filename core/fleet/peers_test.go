package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/reach"
)

// helperSizes are the numbers of entry hosts of a small, a grown and a large deployment.
var helperSizes = []int{9, 85, 290}

// newHelperSite returns a deployment with that many entry hosts, in steady state.
func newHelperSite(t *testing.T, seed uint64, hosts int) *site {
	var entries []string
	for i := range hosts {
		entries = append(entries, controlZones[i%len(controlZones)])
	}
	s := newSiteIn(t, seed, controlZones, entries)
	s.RunFor(12 * core.Second)
	return s
}

// cutEntries lets entry hosts count as cut off from endpoints.
func (s *site) cutEntries(names []string, cut bool) {
	for _, name := range names {
		s.Apply(name, s.entries[name].SetCut(s.Now, cut))
	}
}

// entryNames returns the first entry hosts, by their numbers, for which the condition holds.
func (s *site) entryNames(count int, holds func(name string) bool) (names []string) {
	for i := range len(s.entries) {
		if name := fmt.Sprint("entry-", i); len(names) < count && holds(name) {
			names = append(names, name)
		}
	}
	return names
}

// cutPatterns are the entry hosts that are cut off at the same time.
var cutPatterns = []struct {
	name string
	cut  func(s *site) []string
	// served is the part of the requests at these hosts that others take.
	served float64
}{
	{"one", func(s *site) []string { return s.entryNames(1, func(string) bool { return true }) }, 1},
	{"a zone", func(s *site) []string {
		return s.entryNames(len(s.entries), func(name string) bool { return s.zones[name] == "r0-a" })
	}, 0.98},
	{"a region", func(s *site) []string {
		return s.entryNames(len(s.entries), func(name string) bool { return region(s.zones[name]) == "r1" })
	}, 0.98},
	{"half", func(s *site) []string { return s.entryNames(len(s.entries)/2, func(string) bool { return true }) }, 0.95},
	{"all but one", func(s *site) []string { return s.entryNames(len(s.entries)-1, func(string) bool { return true }) }, 0},
}

// TestHelpersAtAnySize guards against hosts that are cut off and don't know others which can help, that hand requests to
// others which are cut off too or far away without need, or that wear out a few.
func TestHelpersAtAnySize(t *testing.T) {
	t.Parallel()
	for _, hosts := range helperSizes {
		for _, pattern := range cutPatterns {
			t.Run(fmt.Sprintf("%d hosts, %s", hosts, pattern.name), func(t *testing.T) {
				s := newHelperSite(t, 7, hosts)
				cut := pattern.cut(s)
				s.cutEntries(cut, true)
				s.RunFor(500)
				for name, e := range s.entries {
					peers := e.View(s.Now).Peers
					if got := len(peers.Cut); got != len(cut) {
						t.Fatalf("host %s knows %d hosts that are cut off after 0.5 s, expected %d", name, got, len(cut))
					}
					if len(peers.Helpers) == 0 && len(cut) < len(s.entries)-1 {
						t.Fatalf("host %s knows no helper", name)
					}
					for _, helper := range peers.Helpers {
						if slices.Contains(cut, helper.Name) || helper.Name == name {
							t.Fatalf("host %s has the helper %s, which is cut off or itself", name, helper.Name)
						}
					}
				}
				s.handOver(t, cut, pattern.served)
			})
		}
	}
}

// handOver lets each host that is cut off hand over its requests for 5 s.
func (s *site) handOver(t *testing.T, cut []string, expected float64) {
	t.Helper()
	const requestInterval, serviceTime, ownInFlight, maxTries = 60, 350, 5, 3
	helpers, rooms, most := map[string]*reach.Helpers{}, map[string]*reach.Room{}, map[string]int{}
	for name := range s.entries {
		rooms[name] = &reach.Room{}
		helpers[name] = &reach.Helpers{Region: region(s.zones[name]), Zone: s.zones[name], Rand: rand.New(rand.NewPCG(1, uint64(len(name))))}
		helpers[name].Set(s.entries[name].View(s.Now).Peers.Helpers)
	}
	sent, served, near := 0, 0, 0
	type end struct {
		at           core.Millis
		host, helper string
	}
	var ends []end
	for now := s.Now; now < s.Now+5*core.Second; now += 10 {
		ends = slices.DeleteFunc(ends, func(e end) bool {
			if now >= e.at {
				helpers[e.host].Done(now, e.helper, reach.Took)
				rooms[e.helper].Leave()
			}
			return now >= e.at
		})
		for i, name := range cut {
			if (now-s.Now+core.Millis(7*i))%requestInterval >= 10 {
				continue
			}
			sent++
			var tried []string
			for range maxTries {
				helper, found := helpers[name].Choose(now, tried, nil)
				if !found {
					break
				}
				tried = append(tried, helper.Name)
				if !rooms[helper.Name].Enter(ownInFlight) {
					helpers[name].Done(now, helper.Name, reach.Full)
					continue
				}
				served++
				if helper.Region == region(s.zones[name]) {
					near++
				}
				most[helper.Name] = max(most[helper.Name], rooms[helper.Name].InFlight())
				ends = append(ends, end{now + serviceTime, name, helper.Name})
				break
			}
		}
	}
	t.Logf("%d of %d hosts cut off: %d of %d requests taken by others, %d in the same region; the busiest helper had %d at once", len(cut), len(s.entries), served, sent, near, slices.Max(append(slicesOf(most), 0)))
	if float64(served) < expected*float64(sent) {
		t.Errorf("%d of %d requests are taken by others, expected %.2f", served, sent, expected)
	}
	for name, n := range most {
		if n > 48+2*ownInFlight {
			t.Errorf("helper %s has %d requests of others at once beside %d of its own", name, n, ownInFlight)
		}
	}
}

func slicesOf(m map[string]int) (out []int) {
	for _, each := range m {
		out = append(out, each)
	}
	return out
}

// TestPeersCostNothing guards against updates that carry the names of other hosts again and again while no host is cut off.
func TestPeersCostNothing(t *testing.T) {
	t.Parallel()
	s := newHelperSite(t, 3, 85)
	told := 0
	s.OnSend = func(_, _ string, message core.Message) {
		if u, ok := message.(*fleet.Update); ok && u.Peers != nil {
			told++
		}
	}
	s.RunFor(5 * core.Second)
	if told > 0 {
		t.Errorf("%d updates in 5 s of steady state tell of other hosts", told)
	}
}

// TestLookupsPreferHostsThatReachEndpoints guards against callers that are led to hosts which reach no endpoint where most
// of the zone's hosts do, and against zones whose callers all go to the few that are left.
func TestLookupsPreferHostsThatReachEndpoints(t *testing.T) {
	t.Parallel()
	s := newHelperSite(t, 5, 85)
	zone := s.entryNames(len(s.entries), func(name string) bool { return s.zones[name] == "r0-a" })
	for _, count := range []int{1, 4, len(zone) - 1, len(zone)} {
		s.cutEntries(zone, false)
		s.RunFor(core.Second)
		s.cutEntries(zone[:count], true)
		s.RunFor(core.Second)
		want := len(zone)
		if 2*count < len(zone) {
			want -= count
		}
		for name, c := range s.controls {
			if got := c.Directory("r0", "r0-a"); len(got) != want {
				t.Errorf("control host %s names %d of %d hosts while %d are cut off, expected %d", name, len(got), len(zone), count, want)
			}
		}
	}
}
