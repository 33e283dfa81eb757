package fleet_test

import (
	"fmt"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
)

// TestHostsDivideByAllOfTheirZone guards against an overload of cold endpoints after a zone's hosts were lost or cut
// off: hosts that start or come back one by one divided an endpoint's rate by the few hosts that their control host
// had heard of so far. All parts together must stay within the whole, of which hosts use 0.7.
func TestHostsDivideByAllOfTheirZone(t *testing.T) {
	t.Parallel()
	const hosts, largestSum = 14, 1 / 0.7
	entries := append([]string{}, entryZones...)
	for range hosts - 2 {
		entries = append(entries, "r0-a")
	}
	for _, c := range []struct {
		name   string
		strike func(s *site, zone, controls []string)
	}{
		{"control host restarts", func(s *site, _, _ []string) {
			s.crash("control-0", false)
			s.At(s.Now+800, func() { s.startHost("control-0") })
		}},
		{"zone lost", func(s *site, zone, _ []string) {
			for _, name := range append([]string{"control-0"}, zone...) {
				s.crash(name, true)
				s.At(s.Now+5*core.Second+core.Millis(s.Rand.IntN(800)), func() { s.startHost(name) })
			}
		}},
		{"most cut off", func(s *site, zone, controls []string) {
			for _, name := range zone[:hosts-2] {
				s.Isolate(name, controls, true)
			}
			s.At(s.Now+6*core.Second, s.Heal)
		}},
	} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				s := newSiteIn(t, seed, controlZones, entries)
				s.RunFor(10 * core.Second)
				var zone []string
				for name := range s.entries {
					if s.zones[name] == "r0-a" {
						zone = append(zone, name)
					}
				}
				c.strike(s, zone, s.upControls())
				worst, at := 0.0, core.Millis(0)
				for range 1200 {
					s.RunFor(10)
					sum := 0.0
					for _, name := range zone {
						view := s.entries[name].View(s.Now)
						if s.Up(name) && view.ListKnown && view.Entries.Zone > 0 {
							sum += 1 / float64(view.Entries.Zone)
						}
					}
					if sum > worst {
						worst, at = sum, s.Now
					}
				}
				if worst > largestSum {
					t.Errorf("at %s all hosts of the zone together use %.2f of an endpoint's rate, expected %.2f at most", at-core.Hour, worst, largestSum)
				}
			})
		}
	}
}

// TestSteadySharesTellNoPeaks guards against shares between control hosts that grow with the zones: the largest numbers
// of entry hosts go to a host that has just started, and with changes of the entry hosts, but not all the time.
func TestSteadySharesTellNoPeaks(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	// A host that has left its first control host by 8 s is removed there 2.5 s later.
	s.RunFor(12 * core.Second)
	told := map[string]int{}
	s.OnSend = func(_, to string, message core.Message) {
		if share, ok := message.(*fleet.Share); ok && len(share.Peaks) > 0 {
			told[to]++
		}
	}
	s.RunFor(5 * core.Second)
	if len(told) != 0 {
		t.Errorf("shares in steady state tell the largest numbers of entry hosts: %v", told)
	}
	s.crash("control-4", false)
	s.startHost("control-4")
	s.RunFor(2 * core.Second)
	if told["control-4"] == 0 {
		t.Error("a control host that has just started is not told the largest numbers of entry hosts")
	}
}
