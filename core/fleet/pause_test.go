package fleet_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/core/edits"
)

// TestPausedHostTakesNoOldOrders guards against an order that a host received before it was paused and carries out when
// it runs again: the operator has given it to another host meanwhile, and has taken it back there.
func TestPausedHostTakesNoOldOrders(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		pause core.Millis
		// late is the time from the host's return to the order's arrival.
		late    core.Millis
		refused bool
	}{
		{"not paused", 0, 0, false},
		{"right after a pause", 3 * core.Second, 0, true},
		{"a moment after a pause", 3 * core.Second, 150, true},
		{"a while after a pause", 3 * core.Second, 2 * core.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, 4)
			s.RunFor(10 * core.Second)
			s.evacuate("r0-a", true)
			s.RunFor(core.Second)
			s.evacuate("r0-a", false)
			s.RunFor(core.Second)
			const paused = "control-4"
			if c.pause > 0 {
				s.Freeze(paused, true)
				s.RunFor(c.pause)
				s.Freeze(paused, false)
				s.RunFor(c.late)
			}
			var reply *core.Reply
			s.ticket++
			s.replies[s.ticket] = func(r core.Reply) { reply = &r }
			s.Apply(paused, s.controls[paused].Evacuate(s.Now, s.ticket, edits.Evacuation{Zone: "r0-a", Active: true}))
			s.RunFor(2 * core.Second)
			if reply == nil || (reply.Refusal != nil) != c.refused {
				t.Fatalf("the reply is %+v, expected a refusal: %t", reply, c.refused)
			}
			for name, e := range s.entries {
				if got := len(e.View(s.Now).Evacuated) == 0; got != c.refused {
					t.Errorf("entry host %s has %v evacuated", name, e.View(s.Now).Evacuated)
				}
			}
		})
	}
}
