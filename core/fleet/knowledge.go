package fleet

import (
	"cmp"
	"slices"

	"clementinelock/core"
)

// knowledge is how new a control host's knowledge of changes is, as it tells an entry host.
type knowledge struct {
	// AskedAt is when the entry host sent the report or ping that is answered, by its own clock; 0 if it is not told.
	AskedAt core.Millis
	// LeaderHeard, LeaderAge and MajorityAge are those of an Update.
	LeaderHeard bool
	LeaderAge   core.Millis
	MajorityAge core.Millis
}

// asOf returns the time up to which the control host knew of all changes, by the clock of the entry host that gets the answer now;
// ok is false if it may have missed changes, since it hears neither a leader nor a majority.
func (k knowledge) asOf(now core.Millis) (at core.Millis, ok bool) {
	at = now
	if k.AskedAt != 0 {
		at = min(at, k.AskedAt)
	}
	switch {
	case k.LeaderHeard:
		return at - k.LeaderAge, true
	case k.MajorityAge != 0:
		return at - k.MajorityAge, true
	}
	return 0, false
}

const (
	// maxLeaderSilence is the time without word of the leader from which on the voters are asked: a heartbeat interval and a tick.
	maxLeaderSilence = heartbeatInterval + ControlTickInterval
	// askInterval keeps what is known through the voters no older than what a heartbeat tells.
	askInterval = 200 * core.Millisecond
	// unknownAge stands for knowledge that a control host never had; an age of 0 means that it is not told.
	unknownAge = core.Hour
)

// knowledgeAge returns the time since this host knew of all changes, through the leader or through a majority of the voters, and
// core.Never if it never did.
func (c *Control) knowledgeAge(now core.Millis) core.Millis {
	return max(1, min(c.pause.maxAge(now, c.quorum.SinceCommitsKnown(now)), c.quorum.SinceVotersConfirmed(now)))
}

// leaderAge returns the knowledgeAge while this host hears a leader, and 0 while it hears none.
func (c *Control) leaderAge(now core.Millis) core.Millis {
	if !c.leaderHeard(now) {
		return 0
	}
	return min(c.knowledgeAge(now), unknownAge)
}

// majorityAge returns the knowledgeAge while this host hears no leader, and 0 while it hears one or never knew of all changes.
func (c *Control) majorityAge(now core.Millis) core.Millis {
	age := c.knowledgeAge(now)
	if c.leaderHeard(now) || age == core.Never {
		return 0
	}
	return age
}

// askVoters asks the other voters for their last change while the leader is silent, or has not committed a record of its term yet.
func (c *Control) askVoters(now core.Millis, out *core.Effects) {
	if now < c.askAt || c.quorum.IsEstablished() || c.quorum.SinceCommitsKnown(now) <= maxLeaderSilence {
		return
	}
	c.askAt = now + askInterval
	for _, member := range c.quorum.Members() {
		if member.Voter && member.Name != c.Name {
			out.Send(member.Name, &Ping{SentAt: now, AsksLog: true})
		}
	}
}

// votersHeardAge returns the time since this host last heard the shares of a majority of the voters, itself among them, at least
// 1 ms; it returns 0 while it hears a leader, or if it has not heard so many.
func (c *Control) votersHeardAge(now core.Millis) core.Millis {
	if c.leaderHeard(now) {
		return 0
	}
	var ages []core.Millis
	voters := 0
	for _, member := range c.quorum.Members() {
		if !member.Voter {
			continue
		}
		voters++
		if member.Name == c.Name {
			ages = append(ages, 1)
		} else if other := c.controls[member.Name]; other != nil {
			ages = append(ages, max(1, now-other.heardAt))
		}
	}
	needed := voters/2 + 1
	if voters == 0 || len(ages) < needed {
		return 0
	}
	slices.SortFunc(ages, cmp.Compare[core.Millis])
	return c.pause.maxAge(now, ages[needed-1])
}
