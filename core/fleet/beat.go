package fleet

import (
	"slices"

	"clementinelock/core"
)

// Timing of beats, by which entry hosts learn between two updates that they have missed no change.
const (
	minBeatInterval = 200 * core.Millisecond
	// beatIntervalPerHost keeps the beats of a control host's entry hosts within 0.5% of a core, 57 µs for each message. Where
	// they would be as rare as reports, reports take their place.
	beatIntervalPerHost = 25 * core.Millisecond
	// maxContactLag is how much older than a beat interval contact gets while nothing is wrong: the leader's heartbeat
	// interval, the ticks of three hosts and two round trips between regions.
	maxContactLag = 550 * core.Millisecond
	// maxBeatDelay is how much older than a beat interval contact gets before other control hosts are asked.
	maxBeatDelay = 350 * core.Millisecond
)

// Beat goes from an entry host to a control host and back. It asks how new the control host's knowledge is.
type Beat struct {
	// SentAt is when the entry host sent it, by its own clock.
	SentAt core.Millis `cbor:"1,keyasint"`
	// Answer is set on the way back; the other fields then are those of an Update.
	Answer      bool        `cbor:"2,keyasint,omitempty"`
	Index       uint64      `cbor:"3,keyasint,omitempty"`
	LeaderHeard bool        `cbor:"4,keyasint,omitempty"`
	LeaderAge   core.Millis `cbor:"5,keyasint,omitempty"`
	MajorityAge core.Millis `cbor:"6,keyasint,omitempty"`
}

// MessageName returns the name that the message is listed by.
func (Beat) MessageName() string { return "FleetBeat" }

// beatInterval returns how often the entry hosts that report here send beats.
func (c *Control) beatInterval() core.Millis {
	return min(max(minBeatInterval, core.Millis(len(c.entries))*beatIntervalPerHost), reportInterval)
}

// onBeat answers a beat.
func (c *Control) onBeat(now core.Millis, from string, m *Beat, out *core.Effects) {
	if m.Answer {
		return
	}
	out.Send(from, &Beat{
		SentAt: m.SentAt, Answer: true, Index: c.store.Published().Index,
		LeaderHeard: c.leaderHeard(now), LeaderAge: c.leaderAge(now), MajorityAge: c.majorityAge(now),
	})
}

// sendBeat sends the control host a beat, and another one if contact has become old: the control host or its leader may be
// down, or only the path to it.
func (e *Entry) sendBeat(now core.Millis, out *core.Effects) {
	e.beatAt = now + e.beatInterval
	out.Send(e.currentControl, &Beat{SentAt: now})
	if now-e.contactAt <= e.beatInterval+maxBeatDelay {
		return
	}
	others := slices.DeleteFunc(slices.Clone(e.controls), func(c ControlHost) bool { return c.Name == e.currentControl })
	if len(others) > 0 {
		out.Send(others[e.Rand.IntN(len(others))].Name, &Beat{SentAt: now})
	}
}

// onBeat records contact through the answer to a beat of a control host that knows of no change which this host lacks.
func (e *Entry) onBeat(now core.Millis, from string, m *Beat, out *core.Effects) {
	if !m.Answer || m.Index > e.index {
		return
	}
	e.recordContact(now, from, &Update{LeaderHeard: m.LeaderHeard, LeaderAge: m.LeaderAge, MajorityAge: m.MajorityAge, ReportSentAt: m.SentAt}, out)
}

// ContactLease returns how old this host's contact may be before it must take endpoints for cold: little more than it gets
// while nothing is wrong.
func (e *Entry) ContactLease() core.Millis {
	if e.beatInterval == 0 {
		return contactTimeout
	}
	return e.beatInterval + maxContactLag
}
