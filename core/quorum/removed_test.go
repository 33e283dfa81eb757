package quorum_test

import (
	"testing"

	"clementinelock/core"
)

// TestRemovedReplica guards against a replica that an operator has removed and that joins again by itself, since it had been
// allowed to join before, and against one that stays out after it was allowed again, since it announces itself only at its start.
func TestRemovedReplica(t *testing.T) {
	for seed := range uint64(12) {
		g := newGroup(t, seed, 5)
		g.RunFor(5 * core.Second)
		leader := g.leader()
		if leader == nil {
			t.Fatalf("seed %d: no leader", seed)
		}
		name := g.names[0]
		if g.replicas[name] == leader {
			name = g.names[1]
		}
		if refusal := leader.AllowJoin(name); refusal != nil {
			t.Fatal(refusal)
		}
		g.Isolate(name, g.names, true)
		out := core.Effects{}
		if refusal := leader.Remove(g.Now, name, &out); refusal != nil {
			t.Fatal(refusal)
		}
		g.Apply(leader.Report(g.Now).Leader, out)
		g.RunFor(3 * core.Second)
		g.Heal()
		g.RunFor(15 * core.Second)
		if leader = g.leader(); leader == nil || len(leader.Members()) != 4 {
			t.Fatalf("seed %d: the members are %v after one was removed", seed, leader.Members())
		}
		if refusal := leader.AllowJoin(name); refusal != nil {
			t.Fatal(refusal)
		}
		g.RunFor(15 * core.Second)
		voters := 0
		for _, member := range g.leader().Members() {
			if member.Voter {
				voters++
			}
		}
		if voters != 5 {
			t.Errorf("seed %d: %d of 5 replicas vote after the removed one was allowed to join again", seed, voters)
		}
	}
}
