package quorum_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/core/quorum"
)

// TestUnsyncedStartIsNotTold guards against a replica that is fenced although it has lost nothing: a start that was never on disk has
// answered a heartbeat, the next start has the same number, and the late response of the former one makes what the latter has
// acknowledged look like that of an earlier start.
func TestUnsyncedStartIsNotTold(t *testing.T) {
	for seed := range uint64(12) {
		g := newGroup(t, 3*seed+2, 5)
		g.RunFor(3 * core.Second)
		leader, follower := g.leader(), g.follower()
		g.crash(follower)
		for range 20 {
			g.propose()
		}
		g.RunFor(500)
		// The responses of the next start take 700 ms.
		var late bool
		g.Late = func(from, _ string, message core.Message) []core.Millis {
			if _, ok := message.(*quorum.AppendResponse); ok && late && from == follower {
				return []core.Millis{700}
			}
			return []core.Millis{0}
		}
		late = true
		g.maxSyncDelay = 400
		g.start(follower)
		g.RunFor(150)
		g.Crash(follower)
		g.disks[follower].Crash(0)
		late, g.maxSyncDelay = false, 4
		// Only the leader hears the replica, so that its disk is not confirmed yet.
		for _, name := range g.names {
			g.Cut(name, follower, name != leader.Self)
		}
		g.start(follower)
		g.RunFor(1500)
		g.Heal()
		g.RunFor(3 * core.Second)
		if status := g.replicas[follower].Report(g.Now); status.Fenced || !status.Joined {
			t.Errorf("seed %d: %s has lost nothing acknowledged; fenced is %t, joined %t", seed, follower, status.Fenced, status.Joined)
		}
	}
}
