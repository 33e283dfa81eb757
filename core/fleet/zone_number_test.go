package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"clementinelock/core"
)

// TestZoneNumberAfterRemovals guards against entry hosts that divide a global limit by hosts that are gone for good: the number of a
// zone's hosts only grows at an entry host, while control hosts forget it after a minute.
func TestZoneNumberAfterRemovals(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		var entries []string
		for range 8 {
			entries = append(entries, "r0-a")
		}
		s := newSiteIn(t, seed, controlZones, append(entries, "r1-a", "r2-a"))
		s.RunFor(10 * core.Second)
		for _, name := range []string{"entry-2", "entry-3", "entry-4", "entry-5", "entry-6", "entry-7"} {
			s.crash(name, false)
			s.gone[name] = true
		}
		s.RunFor(3 * core.Minute)
		for _, name := range []string{"entry-0", "entry-1"} {
			if got := s.entries[name].View(s.Now).Entries.Zone; got != 2 {
				t.Errorf("seed %d: %s divides by %d hosts of its zone, 2 have run for the last 3 minutes", seed, name, got)
			}
		}
	}
}

// TestZoneNumberWhileHostsAreCutOff guards against an overload of cold endpoints by a zone's hosts of which most are cut off from the
// control hosts for longer than these remember them: hosts that are cut off go on to use their parts, and control hosts can't tell
// them from hosts that are gone. All parts together must stay within the whole, of which hosts use 0.7.
func TestZoneNumberWhileHostsAreCutOff(t *testing.T) {
	t.Parallel()
	const largestSum = 1 / 0.7
	for seed := range uint64(3) {
		entries := slices.Repeat([]string{"r0-a"}, 8)
		s := newSiteIn(t, seed, controlZones, append(entries, "r1-a", "r2-a"))
		s.RunFor(10 * core.Second)
		for _, name := range []string{"entry-2", "entry-3", "entry-4", "entry-5", "entry-6", "entry-7"} {
			s.Isolate(name, s.upControls(), true)
		}
		for range 24 {
			s.RunFor(10 * core.Second)
			sum := 0.0
			for i := range entries {
				sum += 1 / float64(s.entries[fmt.Sprint("entry-", i)].View(s.Now).Entries.Zone)
			}
			if sum > largestSum {
				t.Fatalf("seed %d: at %s all hosts of the zone together use %.2f of an endpoint's rate, expected %.2f at most", seed, s.Now-core.Hour, sum, largestSum)
			}
		}
	}
}
