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

// leaderAge returns the time since this host last heard from the leader or, as the leader, from a majority of the voters, at
// least 1 ms: how old its knowledge of the newest changes may be. It returns 0 while it hears no leader.
func (c *Control) leaderAge(now core.Millis) core.Millis {
	if !c.leaderHeard(now) {
		return 0
	}
	if c.quorum.IsLeader() {
		return max(1, c.pause.maxAge(now, c.quorum.SinceMajorityContact(now)))
	}
	return max(1, c.pause.maxAge(now, c.quorum.SinceLeaderContact(now)))
}

// majorityAge returns the time since this host last heard from a majority of the voters, itself among them, at least 1 ms;
// it returns 0 while it hears a leader, or if it has not heard so many. Without a majority, others may decide on changes.
func (c *Control) majorityAge(now core.Millis) core.Millis {
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
