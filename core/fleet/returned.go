package fleet

import (
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
