package fleet

import (
	"slices"

	"clementinelock/core"
)

// Timing of pings, by which entry hosts learn between two updates that they have missed no change.
const (
	minPingInterval = 200 * core.Millisecond
	// pingIntervalPerHost keeps the pings of a control host's entry hosts within 0.5% of a core, 57 µs for each message. Where
	// they would be as rare as reports, reports take their place.
	pingIntervalPerHost = 25 * core.Millisecond
	// maxContactLag is how much older than a ping interval contact gets while nothing is wrong: the leader's heartbeat
	// interval, the ticks of three hosts and two round trips between regions.
	maxContactLag = 550 * core.Millisecond
	// maxPingDelay is how much older than a ping interval contact gets before other control hosts are asked.
	maxPingDelay = 350 * core.Millisecond
	// minReportInterval is that of the reports of a host that lacks a change; what it lacks may take long on its way.
	minReportInterval = 300 * core.Millisecond
	// maxPingTime is how long an answer of the control host takes before another one is asked: a round trip between regions
	// and a tick.
	maxPingTime = 90 * core.Millisecond
)

// Ping goes from an entry host to a control host and back, and asks how new the control host's knowledge is. It goes between
// control hosts too, and asks what the other one's log holds.
type Ping struct {
	// SentAt is when the host that asks sent it, by its own clock.
	SentAt core.Millis `cbor:"1,keyasint"`
	// Answer is set on the way back; the other fields then are those of an Update.
	Answer      bool        `cbor:"2,keyasint,omitempty"`
	Index       uint64      `cbor:"3,keyasint,omitempty"`
	LeaderHeard bool        `cbor:"4,keyasint,omitempty"`
	LeaderAge   core.Millis `cbor:"5,keyasint,omitempty"`
	MajorityAge core.Millis `cbor:"6,keyasint,omitempty"`
	// QuarantineIndex identifies the quarantines in force.
	QuarantineIndex uint64 `cbor:"7,keyasint,omitempty"`
	// AsksLog asks for LastChange.
	AsksLog bool `cbor:"8,keyasint,omitempty"`
	// LastChange is the index of the last change in the control host's log, committed or not, and Incarnation that of its replica; an
	// Incarnation of 0 means that they are not told.
	Incarnation uint64 `cbor:"9,keyasint,omitempty"`
	LastChange  uint64 `cbor:"10,keyasint,omitempty"`
}

// MessageName returns the name that the message is listed by.
func (Ping) MessageName() string { return "FleetPing" }

// pingInterval returns how often the entry hosts that report here send pings.
func (c *Control) pingInterval() core.Millis {
	return min(max(minPingInterval, core.Millis(len(c.entries))*pingIntervalPerHost), reportInterval)
}

// onPing answers a ping, or takes in the answer of another control host.
func (c *Control) onPing(now core.Millis, from string, m *Ping, out *core.Effects) {
	if m.Answer {
		c.quorum.RecordLastChange(now, from, m.Incarnation, m.LastChange, m.SentAt)
		return
	}
	answer := &Ping{
		SentAt: m.SentAt, Answer: true, Index: c.store.Published().Index,
		LeaderHeard: c.leaderHeard(now), LeaderAge: c.leaderAge(now), MajorityAge: c.majorityAge(now),
		QuarantineIndex: c.store.Published().QuarantineIndex,
	}
	if m.AsksLog {
		answer.Incarnation, answer.LastChange = c.quorum.LastChange()
	}
	out.Send(from, answer)
}

// sendPing sends the control host a ping, and another one too if contact has become old: the leader may be down, or the path to
// it.
func (e *Entry) sendPing(now core.Millis, out *core.Effects) {
	e.pingAt, e.askedAt = now+e.pingInterval, now
	out.Send(e.currentControl, &Ping{SentAt: now})
	if now-e.contactAt > e.pingInterval+maxPingDelay {
		e.pingOther(now, out)
	}
}

// isUnanswered reports whether the control host has not answered this host's latest report or ping in time, and no other one was
// asked in its place.
func (e *Entry) isUnanswered(now core.Millis) bool {
	return e.answeredAt < e.askedAt && e.otherAskedAt < e.askedAt && now-e.askedAt >= maxPingTime
}

// pingOther sends a ping to a control host that this host does not report to.
func (e *Entry) pingOther(now core.Millis, out *core.Effects) {
	e.otherAskedAt = now
	others := slices.DeleteFunc(slices.Clone(e.controls), func(c ControlHost) bool { return c.Name == e.currentControl })
	if len(others) > 0 {
		out.Send(others[e.Rand.IntN(len(others))].Name, &Ping{SentAt: now})
	}
}

// onPing records contact through the answer to a ping of a control host that knows of no change which this host lacks.
func (e *Entry) onPing(now core.Millis, from string, m *Ping, out *core.Effects) {
	if !m.Answer {
		return
	}
	e.recordAnswer(from, m.SentAt)
	if from == e.currentControl && (m.Index > e.index || m.QuarantineIndex > e.quarantineIndex) {
		// The update with the change was lost, or is on its way.
		e.reportAt = min(e.reportAt, e.reportedAt+minReportInterval)
	}
	if m.Index > e.index {
		return
	}
	e.recordContact(now, from, knowledge{m.SentAt, m.LeaderHeard, m.LeaderAge, m.MajorityAge}, out)
}

// recordAnswer records that a control host has answered what this host sent it at a time.
func (e *Entry) recordAnswer(from string, sentAt core.Millis) {
	if from == e.currentControl {
		e.answeredAt = max(e.answeredAt, sentAt)
	}
}

// ContactLease returns how old this host's contact may be before it must take endpoints for cold: little more than it gets
// while nothing is wrong.
func (e *Entry) ContactLease() core.Millis {
	if e.pingInterval == 0 {
		return contactTimeout
	}
	return e.pingInterval + maxContactLag
}
