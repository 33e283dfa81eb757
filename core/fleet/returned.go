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
		return max(1, c.quorum.SinceMajorityContact(now))
	}
	return max(1, c.quorum.SinceLeaderContact(now))
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
	return ages[needed-1]
}
