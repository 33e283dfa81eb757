package fleet_test

import (
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
