package fleet

import (
	"clementinelock/core"
	"clementinelock/core/roster"
)

const (
	// moveWithin is how long a host without a list is left the time to turn to a nearer control host; all hosts know only three of them at their start.
	moveWithin = 2 * core.Second
	// longList is from how many endpoints on a list is only sent to hosts that stay: below, sending it twice takes less than a tenth of a second of the smallest link.
	longList = 1000
)

// rateMargin leaves a third of the list's rate to hosts that nobody here knows of.
const rateMargin = 1.5

// A host that misses the leader's readings waits for up to nine steps more before it reads the list itself; even the last one is within the 3 s in which a leaving endpoint has to be known.
const (
	staggerSteps = 10
	staggerStep  = 80
)

// addList adds what the entry host lacks of the list and is not just getting.
func (c *Control) addList(now core.Millis, e *entryState, u *Update) {
	if e.ListProcess == 0 && c.list.Len() >= longList && now-e.firstAt < moveWithin && c.knowsNearer(now, e) {
		return
	}
	process, number := e.ListProcess, e.ListNumber
	if e.sentNumber > 0 && now < e.numberDueAt {
		process, number = c.list.Process, e.sentNumber
	}
	u.Endpoints = c.list.Since(now, process, number)
	if u.Endpoints != nil && u.Endpoints.From != u.Endpoints.Number {
		e.sentNumber = c.list.Number()
		e.numberDueAt = max(e.numberDueAt, now+transferFor(u.Endpoints.Size()))
	}
}

// knowsNearer tells whether a control host in the entry host's availability zone was heard, from which the entry host will take the list.
func (c *Control) knowsNearer(now core.Millis, e *entryState) bool {
	if c.Zone == e.Zone {
		return false
	}
	for _, other := range c.controls {
		if other.Zone == e.Zone && now-other.heard < moveWithin {
			return true
		}
	}
	return false
}

// sharesList tells whether the other control hosts get the list that this one reads. Without a leader each reads a long list itself, since sending it from each to all would cost far more.
func (c *Control) sharesList() bool {
	return c.reading && (c.quorum.IsLeader() || c.list.Len() < longList)
}

// adoptList takes another host's list when it is newer than what is held here.
func (c *Control) adoptList(now core.Millis, other *controlState, every core.Millis) {
	if c.reading && c.quorum.IsLeader() || c.list.Loaded() && other.list.Age(now) > c.list.Age(now) {
		return
	}
	c.reading, c.readerEvery = false, every
	c.list.Set(now-other.list.Age(now), other.list.Entries())
}

// WantsList tells whether the platform's list is to be read now; the driver hands it in by TakeList.
func (c *Control) WantsList(now core.Millis) bool {
	if now < c.listAt {
		return false
	}
	stale := max(listEvery, c.readerEvery) + listLate + c.stagger()
	if !c.quorum.IsLeader() && c.list.Loaded() && c.list.Age(now) < stale {
		return false
	}
	c.listAt = now + c.readEvery()
	return true
}

// readEvery returns how often this host reads the list: a long one less often, and none beyond its share of the calls that the platform takes.
func (c *Control) readEvery() core.Millis {
	every := max(listEvery, min(core.Millis(c.listCalls)*listPerCall, listEveryMost))
	if c.ListCallsPerSecond <= 0 {
		return every
	}
	readers := 1.0
	if !c.quorum.IsLeader() {
		// All control hosts may be reading; the list's rate is divided among them.
		readers = float64(len(c.controls) + 1)
	}
	return max(every, core.Millis(rateMargin*readers*float64(c.listCalls)/c.ListCallsPerSecond*float64(core.Second)))
}

// stagger keeps hosts that miss the same reader from all reading at once.
func (c *Control) stagger() core.Millis {
	return core.Millis(c.Process % staggerSteps * staggerStep)
}

// TakeList takes the platform's list, which was asked for at the time in that many calls.
func (c *Control) TakeList(now, askedAt core.Millis, entries []roster.Entry, calls int) core.Effects {
	return c.step(now, func(out *core.Effects) {
		if !c.reading {
			c.reading = true
			out.Logf("list", "Reads the platform's list: %d endpoints.", len(entries))
		}
		c.listCalls = calls
		// Those that miss the leader's readings too are spared their own by this one.
		changed := c.list.Set(askedAt, entries)
		if c.sharesList() && (changed || !c.quorum.IsLeader()) {
			c.share(now, out)
		}
	})
}
