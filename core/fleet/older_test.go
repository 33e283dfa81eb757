package fleet_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/roster"
)

// TestOlderMessages delivers messages of one process late: after a newer one, each at most 5 s old. They must change nothing of what
// look-ups name and of what the host that sent them gets.
func TestOlderMessages(t *testing.T) {
	t.Parallel()
	entry := func(ready bool) fleet.EntryHost {
		return fleet.EntryHost{Name: "e", Region: "r", Zone: "z", Address: "e:1", Process: 7, Ready: ready}
	}
	report := func(sentAt core.Millis, ready bool) core.Message {
		return &fleet.Report{EntryHost: entry(ready), SentAt: sentAt}
	}
	left := func(sentAt core.Millis) core.Message {
		return &fleet.Report{EntryHost: entry(true), Left: true, SentAt: sentAt}
	}
	share := func(sentAt core.Millis, number uint64, entries ...fleet.EntryHost) core.Message {
		return &fleet.Share{
			ControlHost: fleet.ControlHost{Name: "d", Region: "r", Zone: "y"}, Process: 2, SentAt: sentAt, Number: number, Full: true, Entries: entries,
		}
	}
	const first, later = core.Hour + 10, core.Hour + 500
	named, none := []string{"e:1"}, []string(nil)
	for name, test := range map[string]struct {
		from string
		// ready is set if the entry host is ready in its first report.
		ready        bool
		newer, older core.Message
		named        []string
		// updated is whether the sender gets updates after both.
		updated bool
	}{
		"report of a ready host that stops":           {"e", true, report(later, false), report(first, true), none, true},
		"report of a host that was not ready yet":     {"e", false, report(later, true), report(first, false), named, true},
		"report of a host that reports elsewhere now": {"e", true, left(later), report(first, true), named, false},
		"the same, of a host that was not ready":      {"e", false, left(later), report(first, true), none, false},
		"departure of a host that has returned":       {"e", true, report(later, true), left(first), named, true},
		"departure of a host before it was ready":     {"e", false, report(later, false), left(first), none, true},
		"share with a host that has ended":            {"d", false, share(later, 2), share(first, 1, entry(true)), none, false},
		"share without a host that has started":       {"d", false, share(later, 2, entry(true)), share(first, 1), named, false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, delay := range []core.Millis{1, 100, 600, 1500} {
				c := &fleet.Control{
					ControlHost: fleet.ControlHost{Name: "c", Region: "r", Zone: "z"}, Process: 1, Rand: rand.New(rand.NewPCG(1, 1)), Seeds: []string{"c"},
				}
				if _, err := c.Start(core.Hour, core.Stored{Vote: core.Vote{Incarnation: 1}}); err != nil {
					t.Fatal(err)
				}
				if test.from == "e" {
					c.Receive(first, "e", report(first-5, test.ready))
				}
				c.Receive(later+1, test.from, test.newer)
				c.Receive(later+delay, test.from, test.older)
				// A second copy comes later still.
				c.Receive(later+2*delay, test.from, test.older)
				if got := c.Directory("r", "z"); !slices.Equal(got, test.named) {
					t.Errorf("%d ms late: look-ups name %q, expected %q", delay, got, test.named)
				}
				got := false
				now := later + 2*delay + 1
				for _, s := range c.SetList(now, now, []roster.Entry{{ID: "i", Service: "s", Zone: "z", Address: "a", Slots: 3}}, 1).Sends {
					_, update := s.Message.(*fleet.Update)
					got = got || s.To == "e" && update
				}
				if got != test.updated {
					t.Errorf("%d ms late: the host gets the list from here: %v, expected %v", delay, got, test.updated)
				}
			}
		})
	}
}
