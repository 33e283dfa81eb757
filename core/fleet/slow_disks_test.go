package fleet_test

import (
	"testing"

	"clementinelock/core"
)

// TestLeaderBesideSlowDisks guards against a leader that is deposed while nothing is cut or down: as long as a follower has not synced
// the latest records, each heartbeat carries them again, and its response waits for the disk.
func TestLeaderBesideSlowDisks(t *testing.T) {
	t.Parallel()
	for _, delay := range []core.Millis{1000, 2000} {
		for seed := range uint64(6) {
			s := newSite(t, seed)
			s.RunFor(8 * core.Second)
			s.publishAt(s.leader())
			leader := s.leader()
			s.syncDelay = delay
			for turn := range 8 {
				s.publish()
				s.RunFor(3 * core.Second)
				if got := s.leader(); got != leader {
					t.Errorf("seed %d: beside syncs of %s, %q leads after change %d in place of %q", seed, delay, got, turn+1, leader)
					break
				}
			}
		}
	}
}
