package fleet_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
)

// TestMissedEvacuationIsTold guards against hosts that were cut off, or down, while an evacuation began and ended, and take
// its endpoints for warm since the state in force does not tell of it.
func TestMissedEvacuationIsTold(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := newSite(t, seed)
		s.RunFor(8 * core.Second)
		controls := s.upControls()
		s.Isolate("entry-2", controls, true)
		s.crash("entry-3", false)
		for _, active := range []bool{true, false} {
			s.evacuate("r0-a", active)
			for s.unconfirmed["r0-a"] {
				s.RunFor(100)
			}
			s.RunFor(core.Second)
		}
		ended := s.Now - core.Second
		if seed%2 == 0 {
			// The control hosts know it from their disks too.
			for _, name := range controls {
				s.crash(name, false)
				s.startHost(name)
			}
		}
		s.Heal()
		s.startHost("entry-3")
		s.RunFor(4 * core.Second)
		for name, e := range s.entries {
			view := e.View(s.Now)
			i := slices.IndexFunc(view.Returned, func(r fleet.ZoneReturn) bool { return r.Zone == "r0-a" })
			if i < 0 {
				t.Errorf("seed %d: host %s is told of %v", seed, name, view.Returned)
				continue
			}
			if at := s.Now - view.Returned[i].Age; at < ended-core.Second || at > ended {
				t.Errorf("seed %d: host %s takes the evacuation to have ended %s ago, it was %s", seed, name, view.Returned[i].Age, s.Now-ended)
			}
		}
	}
}

// TestContactWhileALeaderIsElected guards against hosts that are without contact in each change of the leader for so long that
// they count as isolated beside control hosts that answer no pings, though nothing can be decided without them in it.
// TestContactLeaseWhileALeaderIsElected has the bound beside those that do.
func TestContactWhileALeaderIsElected(t *testing.T) {
	t.Parallel()
	// A host that was told no lease counts as isolated from then on (core/pick).
	const isolationTimeout = 2 * core.Second
	for seed := range uint64(20) {
		s := newSite(t, seed)
		s.RunFor(10 * core.Second)
		leader := s.leader()
		reporting := map[string]bool{}
		for name, e := range s.entries {
			reporting[name] = e.CurrentControl() == leader
		}
		s.Freeze(leader, true)
		worst := core.Millis(0)
		for range 600 {
			s.RunFor(10)
			for name, e := range s.entries {
				if !reporting[name] {
					worst = max(worst, s.Now-e.ContactAt())
				}
			}
		}
		if worst > isolationTimeout {
			t.Errorf("seed %d: a host was without contact for %s after the leader froze", seed, worst)
		}
	}
}

// TestContactThroughAMajority guards against hosts that count as isolated for as long as no leader is elected though their
// control host hears from a majority of the voters, without which nothing can be decided.
func TestContactThroughAMajority(t *testing.T) {
	t.Parallel()
	e := &fleet.Entry{EntryHost: fleet.EntryHost{Name: "e", Region: "r", Zone: "z", Process: 1}, Rand: rand.New(rand.NewPCG(1, 1)), Seeds: []string{"c"}}
	now := core.Hour
	e.Start(now)
	e.Receive(now, "c", &fleet.Update{Process: 1, LeaderHeard: true, Index: 1})
	now += 3 * core.Second
	e.Receive(now, "c", &fleet.Update{Process: 1, MajorityAge: 300})
	if e.ContactAt() != now-300 {
		t.Errorf("a host whose control host hears a majority had contact %s ago, expected 300ms", now-e.ContactAt())
	}
	now += 100
	e.Receive(now, "c", &fleet.Update{Process: 1})
	if e.ContactAt() != now-400 {
		t.Error("a host is in contact through a control host that hears neither a leader nor a majority")
	}
}
