package fleet

import (
	"cmp"
	"slices"

	"clementinelock/core"
)

// returnNewsPeriod is how long entry hosts are told of the end of an evacuation. It is longer than the time for which the
// zone's endpoints count as cold.
const returnNewsPeriod = 10 * core.Second

// returnedZones returns the evacuations that ended lately, for hosts that have missed them: the endpoints may be cold.
func (c *Control) returnedZones(now core.Millis) (returned []ZoneReturn) {
	for _, r := range c.store.Published().Returned {
		if age := max(0, now-r.At); age <= returnNewsPeriod {
			returned = append(returned, ZoneReturn{r.Zone, age})
		}
	}
	return returned
}

// applyReturned takes over the evacuations that ended lately.
func (e *Entry) applyReturned(now core.Millis, u *Update) {
	e.returned, e.returnedAt = u.Returned, now
	for _, r := range u.Returned {
		e.evacuationEndedAt = max(e.evacuationEndedAt, now-r.Age)
	}
}

// returnedNow returns the evacuations that ended lately with their present age.
func (e *Entry) returnedNow(now core.Millis) []ZoneReturn {
	returned := slices.Clone(e.returned)
	for i := range returned {
		returned[i].Age += now - e.returnedAt
	}
	return returned
}

// leaderAge returns the time since this host last heard from the leader or, as the leader, from a majority of the voters, at
// least 1 ms: how old its knowledge of the newest changes may be. It returns 0 while it hears no leader.
func (c *Control) leaderAge(now core.Millis) core.Millis {
	if !c.leaderHeard(now) {
		return 0
	}
	if c.quorum.IsLeader() {
		return max(1, c.trueAge(now, c.quorum.SinceMajorityContact(now)))
	}
	return max(1, c.trueAge(now, c.quorum.SinceLeaderContact(now)))
}

const (
	// maxStepGap is the time without a tick or message from which on what is read next may have waited for this process.
	maxStepGap = 250 * core.Millisecond
	// stallReadTime is how long after a stall such messages are read.
	stallReadTime = 300 * core.Millisecond
)

// noticeStall records the end of a stall of this process.
func (c *Control) noticeStall(now core.Millis) {
	if now-c.steppedAt > maxStepGap {
		if c.steppedAt >= c.stallEndedAt+stallReadTime {
			c.stallBeganAt = c.steppedAt
		}
		c.stallEndedAt = now
	}
	c.steppedAt = now
}

// trueAge returns the age of a message that was read an age ago, as old as it may be: one that was read right after a stall may
// have been sent at its begin.
func (c *Control) trueAge(now, age core.Millis) core.Millis {
	if at := now - age; at >= c.stallEndedAt && at < c.stallEndedAt+stallReadTime {
		return now - c.stallBeganAt
	}
	return age
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
	return c.trueAge(now, ages[needed-1])
}
