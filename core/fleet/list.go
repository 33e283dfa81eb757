package fleet

import (
	"clementinelock/core"
	"clementinelock/core/roster"
)

const (
	// nearerSwitchTimeout is how long a host without a list is given to switch to a nearer control host; at its
	// start every host knows only three of them.
	nearerSwitchTimeout = 2 * core.Second
	// longListEndpoints is the number of endpoints from which a list is sent only to hosts that stay. Sending a
	// shorter one twice takes less than a tenth of a second of the smallest link.
	longListEndpoints = 1000
)

// listRateMargin leaves a third of the list's rate to readers that this host does not know of.
const listRateMargin = 1.5

// A host that misses the leader's reads waits for up to nine further steps, in milliseconds, before it reads
// the list itself. Even the last one is within the 3 s in which a leaving endpoint has to be known.
const (
	staggerSteps      = 10
	staggerStepMillis = 80
)

// addList adds the part of the list that the entry host lacks and that is not in transit to it.
func (c *Control) addList(now core.Millis, e *entryState, u *Update) {
	if e.ListProcess == 0 && c.list.Len() >= longListEndpoints && now-e.firstAt < nearerSwitchTimeout && c.hasNearerControl(now, e) {
		return
	}
	process, number := e.ListProcess, e.ListNumber
	if e.sentListNumber > 0 && now < e.listDueAt {
		process, number = c.list.Process, e.sentListNumber
	}
	u.Endpoints = c.list.Since(now, process, number)
	if u.Endpoints != nil && u.Endpoints.From != u.Endpoints.Number {
		e.sentListNumber = c.list.Number()
		e.listDueAt = max(e.listDueAt, now+transferTimeout(u.Endpoints.Size()))
	}
}

// hasNearerControl reports whether a control host in the entry host's availability zone was heard recently; the
// entry host will get the list from there.
func (c *Control) hasNearerControl(now core.Millis, e *entryState) bool {
	if c.Zone == e.Zone {
		return false
	}
	for _, other := range c.controls {
		if other.Zone == e.Zone && now-other.heardAt < nearerSwitchTimeout {
			return true
		}
	}
	return false
}

// sharesList reports whether the other control hosts get the list that this one reads. Without a leader each
// reads a long list itself, since sending it from each to all would cost far more.
func (c *Control) sharesList() bool {
	return c.readsList && (c.quorum.IsLeader() || c.list.Len() < longListEndpoints)
}

// adoptList replaces the list by another host's when that one is newer.
func (c *Control) adoptList(now core.Millis, other *controlState, interval core.Millis) {
	if c.readsList && c.quorum.IsLeader() || c.list.Loaded() && other.list.Age(now) > c.list.Age(now) {
		return
	}
	c.readsList, c.readerInterval = false, interval
	c.list.Set(now-other.list.Age(now), other.list.Entries())
}

// ListReadDue reports whether the platform's list is to be read now, and schedules the next read. The driver
// passes the list to SetList.
func (c *Control) ListReadDue(now core.Millis) bool {
	if now < c.nextListReadAt {
		return false
	}
	if !c.quorum.IsLeader() && len(c.entries) == 0 {
		// No entry host needs the list of this host.
		return false
	}
	stale := max(minListInterval, c.readerInterval) + listGracePeriod + c.stagger()
	if !c.quorum.IsLeader() && c.list.Loaded() && c.list.Age(now) < stale {
		return false
	}
	c.nextListReadAt = now + c.readInterval()
	return true
}

// readInterval returns how often this host reads the list: a long one less often, and none beyond this host's
// part of the calls that the platform accepts.
func (c *Control) readInterval() core.Millis {
	interval := max(minListInterval, min(core.Millis(c.listCalls)*listIntervalPerCall, maxListInterval))
	if c.ListCallsPerSecond <= 0 {
		return interval
	}
	readers := 1.0
	if !c.quorum.IsLeader() {
		// All control hosts may be reading, so the list's rate is divided among them.
		readers = float64(len(c.controls) + 1)
	}
	return max(interval, core.MillisOf(listRateMargin*readers*float64(c.listCalls)/c.ListCallsPerSecond*float64(core.Second)))
}

// stagger keeps hosts that miss the same reader from all reading at once.
func (c *Control) stagger() core.Millis {
	return core.Millis(c.Process % staggerSteps * staggerStepMillis)
}

// SetList sets the platform's list, which was requested at askedAt and took that many calls.
func (c *Control) SetList(now, askedAt core.Millis, entries []roster.Entry, calls int) core.Effects {
	return c.step(now, func(out *core.Effects) {
		if !c.readsList {
			c.readsList = true
			out.Logf("list", "Now reading the platform's list: %d endpoints.", len(entries))
		}
		c.listCalls = calls
		// Control hosts that also miss the leader's reads need not read the list themselves.
		changed := c.list.Set(askedAt, entries)
		if c.sharesList() && (changed || !c.quorum.IsLeader()) {
			c.sendShares(now, out)
		}
	})
}
