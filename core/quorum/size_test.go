package quorum_test

import (
	"testing"

	"clementinelock/core"
)

// TestRemovalByANewLeader guards against two majorities that have no member in common: a leader that has committed nothing in its
// own term may hold a membership of the former leader that is not committed, and must not change it again.
func TestRemovalByANewLeader(t *testing.T) {
	for seed := range uint64(12) {
		g := newGroup(t, seed, 5)
		g.RunFor(5 * core.Second)
		former := g.leader().Report(g.Now).Leader
		g.crash(former)
		elected := g.leader()
		for elected == nil {
			g.RunFor(1)
			if elected = g.leader(); g.Now > core.Hour+core.Minute {
				t.Fatalf("seed %d: no leader is elected", seed)
			}
		}
		out := core.Effects{}
		if refusal := elected.Remove(g.Now, former, &out); refusal == nil {
			t.Errorf("seed %d: a leader that has committed nothing in its term removes a member", seed)
		}
		g.RunFor(core.Second)
		if refusal := elected.Remove(g.Now, former, &out); refusal != nil {
			t.Errorf("seed %d: the member can't be removed a second later: %v", seed, refusal)
		}
	}
}

// TestSizeOfTheGroup guards against a group that counts a host as grown when it joins in place of a silent one.
func TestSizeOfTheGroup(t *testing.T) {
	for seed := range uint64(12) {
		g := newGroup(t, seed, 5)
		g.RunFor(5 * core.Second)
		leader := g.leader()
		lost := g.names[0]
		if g.replicas[lost] == leader {
			lost = g.names[1]
		}
		g.crash(lost)
		g.RunFor(2 * core.Second)
		out := core.Effects{}
		leader.RemoveSilent(g.Now, core.Minute, &out)
		if len(out.Sends) > 0 {
			t.Errorf("seed %d: a silent voter is removed before another host has joined", seed)
		}
		if report := leader.Report(g.Now); report.Size != 5 || len(report.Members) != 5 {
			t.Errorf("seed %d: %d members, %d meant after a loss, expected 5", seed, len(report.Members), report.Size)
		}
	}
}
