package pick

import (
	"cmp"

	"clementinelock/core"
	"clementinelock/core/roster"
)

// An endpoint's id, address and row in the list outlive its process. Once a process was seen to have ended, the endpoint
// counts as cold until something shows which process there is now: neither a row of the list that looks the same as before
// nor the time that has passed tells the former one from a new one.
const (
	// maxStaleRow is how long the list may show an endpoint that has ended as it was before.
	maxStaleRow = 10 * core.Second
	// maxEndDelay is by how much later than it was an end may seem to this host, since others report it: what was connected
	// longer before goes on.
	maxEndDelay = core.Second
	// maxStartError is by how much two reports of the same start may differ.
	maxStartError = 500 * core.Millisecond
	// defaultColdStart is the longest cold start that is assumed for a service that names none.
	defaultColdStart = 4 * core.Second
)

// process is what a host knows of the process behind an endpoint's id and address.
type process struct {
	// endedAt is when a process of the endpoint was last seen to have ended; 0 if none was, or if something has shown since
	// which process there is.
	endedAt core.Millis
	// endListed is set once a list was read well after the end.
	endListed bool
	// coldAtEnd is set if the process was cold when it ended: a row that shows the endpoint cold may be of that process.
	coldAtEnd bool
	// upAt is when the present process is known to have been up. An end that was seen before is that of a former one.
	upAt core.Millis
}

// mayHaveEnded reports whether the endpoint's process was seen to have ended, and nothing has shown since which process there
// is. A connection from before the end shows that the process goes on: other hosts may be cut off from it.
func (t *Table) mayHaveEnded(e *Endpoint) bool {
	return e.endedAt != 0 && (t.IsConnectedSince == nil || !t.IsConnectedSince(e.Address, e.endedAt-maxEndDelay))
}

// hasEnded reports whether the endpoint's process has ended and no list was read since: it is not asked whether it has started
// again.
func (t *Table) hasEnded(now core.Millis, e *Endpoint) bool {
	return t.isUnlisted(now, e) && t.mayHaveEnded(e)
}

// isUnlisted reports whether no list was read since the endpoint's end, for a limited time.
func (t *Table) isUnlisted(now core.Millis, e *Endpoint) bool {
	return !e.endListed && now-e.endedAt <= returnColdTimeout
}

// mayBeCold reports whether the endpoint is cold, or may have started again without this host's knowledge.
func (t *Table) mayBeCold(now core.Millis, e *Endpoint) bool {
	return e.isCold(now) || t.mayHaveEnded(e) && t.coldRate(e) > 0
}

// AwaitsList reports whether a later reading of the list, even if it shows the same rows, may tell which process an endpoint has.
func (t *Table) AwaitsList() bool {
	for _, e := range t.endpoints {
		if e.endedAt != 0 {
			return true
		}
	}
	return false
}

// coldStart returns how long an endpoint is cold after its start.
func (t *Table) coldStart(e *Endpoint) core.Millis {
	return cmp.Or(t.configured[e.Service].ColdStart, defaultColdStart)
}

// RecordEnded records that an endpoint's process was seen to have ended.
func (t *Table) RecordEnded(at core.Millis, id string) {
	e := t.endpoints[id]
	if e == nil || at <= e.endedAt || at <= e.upAt {
		return
	}
	if e.endedAt == 0 {
		e.coldAtEnd = e.coldUntil > at
		t.logf("Endpoint %s of %s in %s has ended; it gets no requests until a list that was read later, and counts as cold until its start is known.", e.ID, e.Service, e.Zone)
	}
	e.endedAt, e.endListed = at, false
}

// RecordAnswer records that an endpoint has answered a request that was sent at a time, over a connection that was opened at a
// time.
func (t *Table) RecordAnswer(now core.Millis, id string, sentAt, openedAt core.Millis) {
	e := t.endpoints[id]
	if e == nil || sentAt <= e.upAt {
		return
	}
	ended := e.endedAt
	switch {
	case ended == 0 || sentAt <= ended:
	case openedAt < ended-maxEndDelay:
		e.endedAt, e.upAt = 0, sentAt
		t.logf("Endpoint %s of %s in %s has not ended: it answers on a connection from before.", e.ID, e.Service, e.Zone)
	default:
		e.coldUntil = max(e.coldUntil, now+t.coldStart(e)+coldGraceInterval)
		t.recordStart(e, sentAt, "it answers")
	}
}

// RecordStarted records that an endpoint said at a time for how long it is cold, to this host or to another one. Where its end was
// seen before, it has a new process. RecordStarted reports whether that is news.
func (t *Table) RecordStarted(at core.Millis, id string, coldFor core.Millis) (news bool) {
	e := t.endpoints[id]
	if e == nil || at <= e.upAt {
		return false
	}
	coldUntil := at + coldFor + coldGraceInterval
	if at <= e.endedAt || coldUntil <= e.coldUntil+maxStartError {
		// That process has ended since, or its start is known already.
		e.coldUntil = max(e.coldUntil, coldUntil)
		return false
	}
	e.coldUntil = coldUntil
	if e.endedAt != 0 {
		t.recordStart(e, at, "it says that it is cold")
	} else {
		// It may have turned cold without an end.
		e.upAt = at
		t.logf("Endpoint %s of %s in %s says that it is cold for %s.", e.ID, e.Service, e.Zone, coldFor)
	}
	// Connections to the former process may not have noticed its end.
	t.OnRemove(e.Address)
	return true
}

// recordStart records that an endpoint that was seen to have ended has a new process, which was up at a time: what was known of
// the former one does not hold for it.
func (t *Table) recordStart(e *Endpoint, upAt core.Millis, reason string) {
	t.logf("Endpoint %s of %s in %s has started again: %s.", e.ID, e.Service, e.Zone, reason)
	e.endedAt, e.upAt = 0, max(upAt, e.endedAt)
	e.readiness = readiness{}
	e.objects = nil
	e.otherLoad, e.failureRate, e.failures = 0, 0, 0
	e.ejectedUntil, e.ejectionTimeout = 0, 0
}

// updateProcess applies a row of a list that was read at a time to what is known of the endpoint's process.
func (t *Table) updateProcess(e *Endpoint, readAt core.Millis, row roster.Entry) {
	if e.endedAt == 0 {
		return
	}
	e.endListed = e.endListed || readAt > e.endedAt+maxListLag
	// The row may be as old as the list's lag.
	latestStart := readAt + row.ColdFor - t.coldStart(e)
	earliestStart := latestStart - maxListLag
	switch {
	case row.ColdFor > 0 && (earliestStart > e.endedAt || latestStart > e.endedAt && !e.coldAtEnd):
		t.recordStart(e, readAt-maxListLag, "the list shows it cold")
	case row.ColdFor == 0 && readAt > e.endedAt+maxStaleRow:
		t.logf("Endpoint %s of %s in %s counts as warm: the list shows it so %s after it was seen down.", e.ID, e.Service, e.Zone, readAt-e.endedAt)
		e.endedAt, e.upAt = 0, readAt-maxListLag
	}
}
