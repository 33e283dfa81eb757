package fleet_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
)

// TestContactIsNoNewerThanWhatIsKnown guards against hosts that count as in contact for a second or more after the last
// message by which their control host, cut off with them, could learn of an evacuation: evacuated endpoints that turn cold
// within that time get their requests as if they were warm.
func TestContactIsNoNewerThanWhatIsKnown(t *testing.T) {
	t.Parallel()
	// slack is the delay of a message between regions and a tick.
	const slack = 100 * core.Millisecond
	for seed := range uint64(20) {
		s := newSite(t, seed)
		s.RunFor(8*core.Second + core.Millis(seed)*70)
		zone := controlZones[seed%uint64(len(controlZones))]
		s.cutZone(zone)
		cut := s.Now
		latest := core.Millis(0)
		for range 400 {
			s.RunFor(10)
			for name, e := range s.entries {
				if s.zones[name] == zone {
					latest = max(latest, e.ContactAt()-cut)
				}
			}
		}
		if latest > slack {
			t.Errorf("seed %d: a host cut off with its control host takes itself to know all changes until %s after the cut", seed, latest)
		}
	}
}

// TestContactByTheAnswerToAProbe guards against a host that counts as in contact once a control host has answered its probe,
// before it has got any state: for a moment it takes endpoints for warm that have turned cold behind a cut.
func TestContactByTheAnswerToAProbe(t *testing.T) {
	t.Parallel()
	e := &fleet.Entry{EntryHost: fleet.EntryHost{Name: "e", Region: "r", Zone: "z", Process: 1}, Rand: rand.New(rand.NewPCG(1, 1)), Seeds: []string{"c"}}
	now := core.Hour
	e.Start(now)
	controls := []fleet.ControlHost{{Name: "c", Region: "r2", Zone: "z2"}, {Name: "nearer", Region: "r", Zone: "z"}}
	e.Receive(now, "c", &fleet.Update{Process: 1, LeaderHeard: true, Index: 1, Controls: controls})
	now += 5 * core.Second
	e.Receive(now, "nearer", &fleet.Update{Process: 2, LeaderHeard: true, ProbeAnswer: true, Version: 1})
	if e.CurrentControl() != "nearer" {
		t.Fatalf("the host reports to %s, expected the nearer control host", e.CurrentControl())
	}
	if e.ContactAt() != now-5*core.Second {
		t.Errorf("the answer to a probe counts as contact %s ago", now-e.ContactAt())
	}
}

// TestContactByADelayedUpdate guards against an update that was held up on its way, or in the socket of a host that was
// frozen, and counts as contact at the time of its arrival.
func TestContactByADelayedUpdate(t *testing.T) {
	t.Parallel()
	e := &fleet.Entry{EntryHost: fleet.EntryHost{Name: "e", Region: "r", Zone: "z", Process: 1}, Rand: rand.New(rand.NewPCG(1, 1)), Seeds: []string{"c"}}
	now := core.Hour
	e.Start(now)
	var report *fleet.Report
	for report == nil {
		now += fleet.EntryTickInterval
		effects := e.Tick(now)
		for _, m := range effects.Sends {
			report, _ = m.Message.(*fleet.Report)
		}
	}
	sent := now
	answer := &fleet.Update{Process: 1, LeaderHeard: true, Index: 1, ReportSentAt: report.SentAt}
	e.Receive(now+5, "c", answer)
	if e.ContactAt() != sent {
		t.Errorf("an answer to a report counts as contact %s after the report", e.ContactAt()-sent)
	}
	e.Receive(now+1500, "c", answer)
	if e.ContactAt() != sent {
		t.Errorf("an update that was 1.5 s on its way counts as contact %s after the report", e.ContactAt()-sent)
	}
	// Control hosts of older builds tell neither.
	e.Receive(now+1600, "c", &fleet.Update{Process: 1, LeaderHeard: true, Index: 1})
	if e.ContactAt() != now+1600 {
		t.Error("an update of an older build is no contact")
	}
}

// TestContactThroughAHostThatWasFrozen guards against a control host that wakes up, reads what the leader sent before it froze
// and, cut off meanwhile, takes that for news: its entry hosts count as in contact and miss an evacuation.
func TestContactThroughAHostThatWasFrozen(t *testing.T) {
	t.Parallel()
	const slack = 300 * core.Millisecond
	for seed := range uint64(20) {
		s := newSite(t, seed)
		s.RunFor(8*core.Second + core.Millis(seed)*70)
		zone := controlZones[seed%uint64(len(controlZones))]
		var frozen []string
		for name := range s.controls {
			if s.zones[name] == zone {
				frozen = append(frozen, name)
				s.Freeze(name, true)
			}
		}
		s.RunFor(300)
		s.cutZone(zone)
		cut := s.Now
		s.RunFor(400 + core.Millis(seed)*60)
		for _, name := range frozen {
			s.Freeze(name, false)
		}
		latest := -core.Hour
		for range 300 {
			s.RunFor(10)
			for name, e := range s.entries {
				if s.zones[name] == zone {
					latest = max(latest, e.ContactAt()-cut)
				}
			}
		}
		if latest > slack {
			t.Errorf("seed %d: a host takes itself to know all changes until %s after it was cut off with its control host, which was frozen then", seed, latest)
		}
	}
}

// TestContactThroughALeaderThatIsCutOff guards against hosts that count as in contact since their control host hears a leader which
// is cut off with it from the others: these may have elected another one by then, and evacuated a zone.
func TestContactThroughALeaderThatIsCutOff(t *testing.T) {
	t.Parallel()
	// electionDelay is less than the time after which the others vote for another leader.
	const electionDelay = 850 * core.Millisecond
	controls := append(slices.Clone(controlZones), controlZones...)
	tested := 0
	for seed := range uint64(20) {
		s := newSiteIn(t, seed, controls, append(slices.Clone(entryZones), entryZones...))
		s.RunFor(8*core.Second + core.Millis(seed)*70)
		leader := s.leader()
		zone := s.zones[leader]
		s.cutZone(zone)
		cut := s.Now
		latest := core.Millis(0)
		for range 300 {
			s.RunFor(10)
			for name, e := range s.entries {
				if s.zones[name] == zone && e.CurrentControl() != leader {
					tested++
					latest = max(latest, e.ContactAt()-cut)
				}
			}
		}
		if latest > electionDelay {
			t.Errorf("seed %d: a host cut off with the leader takes itself to know all changes until %s after the cut", seed, latest)
		}
	}
	if tested == 0 {
		t.Error("no host reports to another control host than the leader, so that nothing was tested")
	}
}
