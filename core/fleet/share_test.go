package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/roster"
)

// TestLongListIsSentOnce lets an entry host behind a small link report repeatedly while a long list is in
// transit to it. Resending the list at each report would congest the link permanently.
func TestLongListIsSentOnce(t *testing.T) {
	t.Parallel()
	c := &fleet.Control{ControlHost: fleet.ControlHost{Name: "c", Region: "r", Zone: "z"}, Process: 1, Rand: rand.New(rand.NewPCG(1, 1)), Seeds: []string{"c"}}
	now := core.Hour
	if _, err := c.Start(now, core.Stored{Vote: core.Vote{Incarnation: 1}}); err != nil {
		t.Fatal(err)
	}
	// The list of the largest deployment; packed it takes a link of 250 KB a second more than half a second.
	const endpoints = 12000
	random := rand.New(rand.NewPCG(2, 2))
	var entries []roster.Entry
	for i := range endpoints {
		entries = append(entries, roster.Entry{ID: fmt.Sprintf("i-%x", random.Uint64()), Service: "s", Zone: "z", Address: fmt.Sprintf("10.0.0.1:%d", i), Slots: 3})
	}
	c.SetList(now, now, entries, 60)
	report := &fleet.Report{EntryHost: fleet.EntryHost{Name: "e", Region: "r", Zone: "z", Process: 1}}
	sent := func(effects core.Effects) (n int) {
		for _, s := range effects.Sends {
			if u, ok := s.Message.(*fleet.Update); ok && u.Endpoints != nil {
				n += u.Endpoints.Len()
			}
		}
		return n
	}
	total := 0
	// Five reports arrive while the list may be in transit.
	for range 5 {
		now += 200
		total += sent(c.Receive(now, "e", report))
	}
	if total != endpoints {
		t.Fatalf("%d entries were sent within a second, expected the %d of the list once", total, endpoints)
	}
	// A lost list is sent again after the transfer is overdue.
	now += 5 * core.Second
	if again := sent(c.Receive(now, "e", report)); again != endpoints {
		t.Fatalf("%d entries were sent after the list was lost, expected %d", again, endpoints)
	}
}

// TestProbeAnswerChangesNothing checks that an answer to a probe changes neither the state in force nor the counts
// of entry hosts.
func TestProbeAnswerChangesNothing(t *testing.T) {
	t.Parallel()
	e := &fleet.Entry{EntryHost: fleet.EntryHost{Name: "e", Region: "r", Zone: "z", Process: 1}, Rand: rand.New(rand.NewPCG(1, 1)), Seeds: []string{"c"}}
	e.Start(core.Hour)
	counts := fleet.EntryCounts{Zone: 3, Region: 5, All: 9}
	e.Receive(core.Hour, "c", &fleet.Update{Process: 1, LeaderHeard: true, Index: 4, Evacuated: []string{"z"}, Entries: counts})
	changed, _ := e.Receive(core.Hour, "d", &fleet.Update{Process: 2, ProbeAnswer: true})
	view := e.View(core.Hour)
	if changed || view.Entries != counts || view.Index != 4 || len(view.Evacuated) != 1 {
		t.Fatalf("the answer to a probe changed the view to %+v", view)
	}
}

// TestHostThatHasLeftGetsNothing checks that a control host sends no updates to an entry host that reports to
// another one, but still lists it for callers.
func TestHostThatHasLeftGetsNothing(t *testing.T) {
	t.Parallel()
	c := &fleet.Control{ControlHost: fleet.ControlHost{Name: "c", Region: "r", Zone: "z"}, Process: 1, Rand: rand.New(rand.NewPCG(1, 1)), Seeds: []string{"c"}}
	now := core.Hour
	if _, err := c.Start(now, core.Stored{Vote: core.Vote{Incarnation: 1}}); err != nil {
		t.Fatal(err)
	}
	host := fleet.EntryHost{Name: "e", Region: "r", Zone: "z", Address: "e:1", Process: 1, Ready: true}
	updates := func(effects core.Effects) (n int) {
		for _, s := range effects.Sends {
			if s.To == "e" {
				n++
			}
		}
		return n
	}
	if n := updates(c.Receive(now, "e", &fleet.Report{EntryHost: host})); n != 1 {
		t.Fatalf("a report was answered by %d updates, expected 1", n)
	}
	n := updates(c.Receive(now+10, "e", &fleet.Report{EntryHost: host, Left: true}))
	n += updates(c.SetList(now+20, now, []roster.Entry{{ID: "i", Service: "s", Zone: "z", Address: "a", Slots: 3}}, 1))
	if n != 0 {
		t.Fatalf("%d updates were sent to a host that has left, expected 0", n)
	}
	if named := c.Directory("r", "z"); len(named) != 1 {
		t.Fatalf("the directory holds %q, expected one address", named)
	}
	if n := updates(c.Receive(now+30, "e", &fleet.Report{EntryHost: host})); n != 1 {
		t.Fatalf("a report after the return was answered by %d updates, expected 1", n)
	}
}

// TestHostThatLeftBeforeItWasReady checks that a control host's outdated entry of a starting entry host does
// not hide it from callers once it is ready.
func TestHostThatLeftBeforeItWasReady(t *testing.T) {
	t.Parallel()
	c := &fleet.Control{ControlHost: fleet.ControlHost{Name: "c", Region: "r", Zone: "z"}, Process: 1, Rand: rand.New(rand.NewPCG(1, 1)), Seeds: []string{"c"}}
	now := core.Hour
	if _, err := c.Start(now, core.Stored{Vote: core.Vote{Incarnation: 1}}); err != nil {
		t.Fatal(err)
	}
	host := fleet.EntryHost{Name: "e", Region: "r", Zone: "z", Address: "e:1", Process: 1}
	c.Receive(now, "e", &fleet.Report{EntryHost: host})
	c.Receive(now+10, "e", &fleet.Report{EntryHost: host, Left: true})
	host.Ready = true
	c.Receive(now+20, "d", &fleet.Share{ControlHost: fleet.ControlHost{Name: "d", Region: "r", Zone: "y"}, Process: 2, Number: 2, Full: true, Entries: []fleet.EntryHost{host}})
	if named := c.Directory("r", "z"); len(named) != 1 {
		t.Fatalf("the directory holds %q, expected one address", named)
	}
}

// TestContactIsWithTheCurrentControlHost guards against hosts that count as in contact by the answers of others: only an
// update of the control host that they report to tells them of changes.
func TestContactIsWithTheCurrentControlHost(t *testing.T) {
	t.Parallel()
	e := &fleet.Entry{EntryHost: fleet.EntryHost{Name: "e", Region: "r", Zone: "z", Process: 1}, Rand: rand.New(rand.NewPCG(1, 1)), Seeds: []string{"c"}}
	now := core.Hour
	e.Start(now)
	if e.ContactAt() == now {
		t.Error("a host is in contact before it has heard anything")
	}
	e.Receive(now, "c", &fleet.Update{Process: 1, LeaderHeard: true, Index: 1})
	if e.ContactAt() != now {
		t.Error("a host is not in contact at an update of its control host")
	}
	now += 100
	e.Receive(now, "d", &fleet.Update{Process: 2, ProbeAnswer: true})
	if e.ContactAt() == now {
		t.Error("a host is in contact by another host's answer to a probe")
	}
}

// TestNoContactBehindAMinority guards against entry hosts that count as in contact though their control host is cut off
// with them: it answers them, but learns of no evacuation.
func TestNoContactBehindAMinority(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		s := newSite(t, seed)
		s.RunFor(8 * core.Second)
		s.cutZone("r0-a")
		cut := s.Now
		// A control host counts as in contact with a leader for a while after the last message.
		const noticed = 1500 * core.Millisecond
		s.RunFor(5 * core.Second)
		for name, e := range s.entries {
			if ago := e.Dump(s.Now).ContactAgo; s.zones[name] == "r0-a" && ago < s.Now-cut-noticed {
				t.Errorf("seed %d: entry host %s had contact %s ago through %s, which has heard no leader for %s", seed, name, ago, e.CurrentControl(), s.Now-cut)
			}
		}
		s.Heal()
		s.RunFor(contactWindow)
		for name, e := range s.entries {
			if ago := e.Dump(s.Now).ContactAgo; ago > noticed {
				t.Errorf("seed %d: entry host %s had contact %s ago, %s after the cut", seed, name, ago, contactWindow)
			}
		}
	}
}
