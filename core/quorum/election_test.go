package quorum_test

import (
	"strings"
	"testing"

	"clementinelock/core"
)

// TestLostElectionsAreLogged guards against a log that calls an election lost which was won, and against one that is silent while a
// group has no majority.
func TestLostElectionsAreLogged(t *testing.T) {
	for seed := range uint64(12) {
		g := newGroup(t, seed, 5)
		won, lost := 0, 0
		g.OnEffects = func(host string, e core.Effects) {
			for _, line := range e.Logs {
				if strings.HasPrefix(line.Text, "Became leader") {
					won++
				}
				if strings.Contains(line.Text, "not won") {
					if lost++; strings.Contains(line.Text, "votes of [host-0 host-1 host-2") {
						t.Errorf("seed %d: an election with three votes of five is logged as lost: %s", seed, line.Text)
					}
				}
			}
			g.carry(host, e)
		}
		g.RunFor(5 * core.Second)
		for _, name := range g.names[3:] {
			g.crash(name)
		}
		g.RunFor(5 * core.Second)
		if won == 0 {
			t.Errorf("seed %d: no leader is elected", seed)
		}
		lost = 0
		g.crash(g.names[2])
		g.RunFor(10 * core.Second)
		if lost < 2 {
			t.Errorf("seed %d: %d lost elections are logged in 10 s without a majority, expected 2 at least", seed, lost)
		}
	}
}
