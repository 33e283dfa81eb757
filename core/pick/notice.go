package pick

import (
	"cmp"
	"math"
	"slices"

	"clementinelock/core"
)

// Parameters of what endpoints say about themselves.
const (
	// leavingTimeout ends an endpoint's announcement that the list has not confirmed for so long: the list calls
	// the endpoint ready all the time.
	leavingTimeout = 30 * core.Second
	// noticeRetention is how long an endpoint's notices outlast its row in the list; a row that can't be read is
	// missing for one reading.
	noticeRetention = 5 * core.Second
	// maxBackoff bounds the time for which an endpoint may ask for no requests.
	maxBackoff = core.Hour
	// returnSpread spreads the hosts that return to an endpoint after its backoff, as a fraction of the backoff up
	// to maxReturnSpread.
	returnSpread    = 0.25
	maxReturnSpread = core.Second
	// callerSpacing is the time between the returns of callers of successive priorities to a service whose
	// endpoints all asked for no requests.
	callerSpacing = 200 * core.Millisecond
	// maxSpacedPriority is the rank beyond which callers return no later.
	maxSpacedPriority = 50
)

// Notice is what an answer of an endpoint says about the endpoint itself.
type Notice struct {
	// Leaving reports that the endpoint is about to stop.
	Leaving bool
	// RetryAfter is how long the endpoint asks this host for no requests; 0 means that it does not ask.
	RetryAfter core.Millis
	// InvalidRetryAfter is the endpoint's text for RetryAfter, quoted, if it can't be read.
	InvalidRetryAfter string
	// ColdFor is for how long the endpoint remains cold.
	ColdFor core.Millis
	// SentAt is when the request was sent whose answer this is; 0 means that it is not known.
	SentAt core.Millis
	// Limit is how many requests per second the endpoint takes from all hosts together; it holds if LimitNamed is set.
	Limit      float64
	LimitNamed bool
	// InvalidLimit is the endpoint's text for Limit, quoted, if it can't be read.
	InvalidLimit string
}

// NoticeCounts counts the notices that endpoints gave.
type NoticeCounts struct {
	Leaving uint64
	Backoff uint64
	Limit   uint64
	Invalid uint64
}

// readiness is what an endpoint has said about itself.
type readiness struct {
	pace
	// leavingSince is when the endpoint first announced that it is leaving; 0 means that it did not.
	leavingSince core.Millis
	// drainListed is set once the list has called the leaving endpoint draining.
	drainListed bool
	// backoffUntil is until when the endpoint asked for no requests, reopenAt when this host sends the first one.
	backoffUntil core.Millis
	reopenAt     core.Millis
	// reopening limits the endpoint to one request in flight until it has answered one after its backoff.
	reopening bool
	// invalidLogged is set once a log line has reported an invalid notice.
	invalidLogged bool
}

// inBackoff reports whether the endpoint asked for no requests at this time.
func (e *Endpoint) inBackoff(now core.Millis) bool {
	return now < e.reopenAt
}

// isReopened reports whether the endpoint's backoff admits one more request.
func (e *Endpoint) isReopened(now core.Millis) bool {
	return !e.inBackoff(now) && (!e.reopening || e.inFlight == 0)
}

// IsReady reports whether an endpoint that was chosen still takes the request, which may have waited for a connection.
func (t *Table) IsReady(now core.Millis, c Choice) bool {
	return t.IsReadyOver(now, c, now)
}

// IsReadyOver does the same for a request that is about to be sent over a connection that was opened at a time.
func (t *Table) IsReadyOver(now core.Millis, c Choice, openedAt core.Millis) bool {
	e := c.Endpoint
	isDoubted := t.mayHaveEnded(e) && openedAt >= e.endedAt-maxEndDelay
	isCold := e.isCold(now) || isDoubted && t.coldRate(e) > 0
	if !e.isActive() || e.inBackoff(now) || isDoubted && t.isUnlisted(now, e) || isCold && !c.Cold {
		return false
	}
	return (!t.isIsolated(now) || t.isIsolated(c.chosenAt)) && e.isWithinLimit(c.chosenAt)
}

// RecordNotice applies what an endpoint's answer says about the endpoint; answers to requests that were cancelled or
// superseded count too. It reports whether the answer tells of a start that was not known.
func (t *Table) RecordNotice(now core.Millis, id string, n Notice) (started bool) {
	e := t.endpoints[id]
	if e == nil {
		return false
	}
	if n.ColdFor > 0 {
		// The process was up when the request was sent; the answer may have waited since.
		at := cmp.Or(n.SentAt, now)
		started = t.RecordStarted(at, id, n.ColdFor+now-at)
	}
	if n.Leaving {
		t.Notices.Leaving++
		t.recordLeaving(now, e)
	}
	if n.InvalidRetryAfter != "" {
		t.recordInvalid(e, "Retry-After", n.InvalidRetryAfter)
	}
	if n.InvalidLimit != "" {
		t.recordInvalid(e, "limit", n.InvalidLimit)
	}
	if n.LimitNamed {
		t.Notices.Limit++
		t.recordLimit(now, e, n.Limit)
	}
	if n.RetryAfter > 0 {
		t.Notices.Backoff++
		t.recordBackoff(now, e, min(n.RetryAfter, maxBackoff))
	}
	return started
}

func (t *Table) recordInvalid(e *Endpoint, name, text string) {
	t.Notices.Invalid++
	if !e.invalidLogged {
		e.invalidLogged = true
		t.logf("Endpoint %s of %s in %s sent the invalid %s %.40s; ignored.", e.ID, e.Service, e.Zone, name, text)
	}
}

func (t *Table) recordLeaving(now core.Millis, e *Endpoint) {
	if e.leavingSince != 0 {
		return
	}
	e.leavingSince = now
	t.logf("Endpoint %s of %s in %s announced that it is leaving; it gets no new requests.", e.ID, e.Service, e.Zone)
	t.OnRemove(e.Address)
}

// recordBackoff keeps the latest end where several times overlap.
func (t *Table) recordBackoff(now core.Millis, e *Endpoint, backoff core.Millis) {
	until := now + backoff
	if until <= e.backoffUntil {
		return
	}
	if !e.inBackoff(now) {
		t.logf("Endpoint %s of %s in %s asked for no requests for %s.", e.ID, e.Service, e.Zone, backoff)
	}
	spread := min(maxReturnSpread, core.Millis(returnSpread*float64(backoff)))
	e.backoffUntil, e.reopening = until, true
	e.reopenAt = until + core.Millis(t.Rand.Int64N(int64(spread)+1))
}

// recordReopening ends the limit on a reopening endpoint when a request that was sent after the backoff is answered.
func (e *Endpoint) recordReopening(sentAt core.Millis) {
	if e.reopening && sentAt >= e.reopenAt {
		e.reopening = false
	}
}

// updateLeaving ends an endpoint's announcement when the list shows that it has drained and is ready again, or does
// not confirm the announcement.
func (e *Endpoint) updateLeaving(readAt core.Millis, draining bool) {
	switch {
	case e.leavingSince == 0:
	case draining:
		e.drainListed = true
	case e.drainListed, readAt-e.leavingSince > leavingTimeout:
		e.leavingSince, e.drainListed = 0, false
	}
}

// removedEndpoint is what outlasts the row of an endpoint that the list has lost, perhaps for one reading only.
type removedEndpoint struct {
	readiness
	process
	coldUntil core.Millis
	sentAt    []core.Millis
	// removedAt is when the list lost the endpoint.
	removedAt core.Millis
}

// keepRemoved keeps what is known of a removed endpoint in case that its row was only missing for a moment.
func (t *Table) keepRemoved(now core.Millis, e *Endpoint) {
	if t.removed == nil {
		t.removed = map[string]removedEndpoint{}
	}
	for id, r := range t.removed {
		if now-r.removedAt > noticeRetention {
			delete(t.removed, id)
		}
	}
	t.removed[e.ID+" "+e.Address] = removedEndpoint{e.readiness, e.process, e.coldUntil, e.sentAt, now}
}

// restoreRemoved gives an endpoint that is listed again what was known of it. An endpoint in its cold start is a new process
// under the same id, which has said nothing yet; requests that were sent before may still reach it.
func (t *Table) restoreRemoved(now core.Millis, e *Endpoint) {
	key := e.ID + " " + e.Address
	r, kept := t.removed[key]
	delete(t.removed, key)
	if !kept || now-r.removedAt > noticeRetention {
		return
	}
	e.sentAt = r.sentAt
	if e.ColdFor == 0 {
		e.readiness, e.process, e.coldUntil = r.readiness, r.process, r.coldUntil
	}
}

// refuseUnavailable refuses a request for which no endpoint is available. If endpoints only asked for no requests or
// for few, callers may return after the first of them takes requests again, spread, the more urgent first.
func (t *Table) refuseUnavailable(now core.Millis, s *service, r Request) *core.Refusal {
	earliest := core.Millis(math.MaxInt64)
	for _, e := range s.endpoints {
		if at := e.opensAt(now); at > 0 && e.isActive() && regionAllowed(r.Regions, e.Region) && !slices.Contains(r.Tried, e.ID) {
			earliest = min(earliest, at)
		}
	}
	if earliest == math.MaxInt64 && t.isIsolated(now) {
		return core.Refuse(core.NoUpstream, core.RanNo, "no endpoint of service %q can be used within its cold rate: no control host with a leader heard for %s", r.Service, now-t.contactAt)
	}
	if earliest == math.MaxInt64 {
		return core.Refuse(core.NoUpstream, core.RanNo, "no endpoint of service %q can be used: %d listed", r.Service, len(s.endpoints))
	}
	refusal := core.Refuse(core.Overloaded, core.RanNo, "all endpoints of service %q asked for no or few requests, the first takes one in %s", r.Service, earliest-now)
	refusal.RetryAfter = earliest - now + core.Millis(min(max(0, r.Priority), maxSpacedPriority))*callerSpacing + core.Millis(t.Rand.Int64N(int64(callerSpacing)))
	return refusal
}
