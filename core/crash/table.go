package crash

import (
	"cmp"
	"maps"
	"slices"

	"clementinelock/core"
)

// Parameters of the crashes that are remembered.
const (
	// crashesToQuarantine is how many endpoints have to end under a request before it is kept from the others.
	crashesToQuarantine = 3
	// momentsToQuarantine is at how many different moments, each of momentLength, they have to end. Many endpoints may end
	// at once for another reason, and a request with its retries may meet several of them.
	momentsToQuarantine = 2
	momentLength        = 250 * core.Millisecond
	// endsOfSoleCause is how many endpoints have to end at one moment if no others do. Fewer decide too, but only after
	// soleCauseDelay without an answer, in which callers that repeat a sound request get one.
	endsOfSoleCause = 4
	soleCauseDelay  = 1800 * core.Millisecond
	// crashesToSuspect is the number from which hosts are asked whether endpoints answer the request.
	crashesToSuspect = 2
	// suspectPeriod is how long after a crash a request is a suspect.
	suspectPeriod = 30 * core.Second
	maxSuspects   = 64
	// answerDelay is the time that hosts have to report answers to a suspect.
	answerDelay = 800 * core.Millisecond
	// sameCrash is the time within which an endpoint can't end twice.
	sameCrash = core.Second
	// answerExcuse is how long an answer excuses its request: endpoints that end so soon after it end for other reasons.
	answerExcuse   = 5 * core.Second
	crashRetention = 30 * core.Minute
	// Beyond maxRequests, all but keptRequests are forgotten, so that the requests are rarely sorted.
	maxRequests  = 512
	keptRequests = 384
	// maxCrashes is how many crashes of a request are remembered.
	maxCrashes = 24
)

// Table holds the requests that endpoints have ended under. The zero value is empty; calls must not overlap.
type Table struct {
	requests map[Digest]*request
	// causes are the requests that explain the crashes of others.
	causes    map[Digest]bool
	expiredAt core.Millis
}

// request is a request with the latest crashes under it, the oldest first.
type request struct {
	digest  Digest
	crashes []endpointCrash
	// suspectAt is when the request became a suspect, or one again.
	suspectAt core.Millis
	// excusedUntil is until when an answer excuses the request.
	excusedUntil core.Millis
}

// endpointCrash is the end of an endpoint.
type endpointCrash struct {
	endpoint string
	at       core.Millis
	// explained is set if another request caused the crash. It is kept, since its report may come again.
	explained bool
}

func (c endpointCrash) isSame(other endpointCrash) bool {
	return c.endpoint == other.endpoint && c.at-other.at < sameCrash && other.at-c.at < sameCrash
}

// Record adds a crash; it reports whether the crash is new under this request.
func (t *Table) Record(now core.Millis, report Report) bool {
	t.expire(now)
	crash := endpointCrash{endpoint: report.Endpoint, at: now - report.Age}
	r := t.requests[report.Digest]
	if r == nil {
		if t.requests == nil {
			t.requests = map[Digest]*request{}
		}
		r = &request{digest: report.Digest}
		t.requests[report.Digest] = r
	}
	full := len(r.crashes) == maxCrashes
	if crash.at <= r.excusedUntil || full && crash.at <= r.crashes[0].at || slices.ContainsFunc(r.crashes, crash.isSame) {
		return false
	}
	crash.explained = t.isExplained(report.Digest, crash)
	if r.count() == crashesToSuspect-1 || now-r.latest() > suspectPeriod {
		r.suspectAt = now
	}
	if full {
		r.crashes = r.crashes[1:]
	}
	r.crashes = append(r.crashes, crash)
	slices.SortStableFunc(r.crashes, func(a, b endpointCrash) int { return cmp.Compare(a.at, b.at) })
	if t.causes[report.Digest] {
		t.Explain(report.Digest)
	}
	t.evict()
	return true
}

// count returns how many crashes no other request explains.
func (r *request) count() (n int) {
	for _, c := range r.crashes {
		if !c.explained {
			n++
		}
	}
	return n
}

// moments returns at how many different moments endpoints ended that no other request explains.
func (r *request) moments() (n int) {
	began := -momentLength
	for _, c := range r.crashes {
		if !c.explained && c.at-began >= momentLength {
			began = c.at
			n++
		}
	}
	return n
}

// isSoleCause reports whether endpoints ended under a request, and none without it at about that time.
func (t *Table) isSoleCause(now core.Millis, r *request) bool {
	if r.count() < endsOfSoleCause && now-r.latest() < soleCauseDelay {
		return false
	}
	from, to := r.crashes[0].at-momentLength, r.latest()+momentLength
	for _, other := range t.requests {
		for _, c := range other.crashes {
			if c.at >= from && c.at <= to && !slices.ContainsFunc(r.crashes, c.isSame) {
				return false
			}
		}
	}
	return true
}

// isExplained reports whether another request is known to have caused a crash.
func (t *Table) isExplained(digest Digest, crash endpointCrash) bool {
	for cause := range t.causes {
		if r := t.requests[cause]; r != nil && cause != digest && slices.ContainsFunc(r.crashes, crash.isSame) {
			return true
		}
	}
	return false
}

// Clear forgets the crashes of a request that came before an answer to it or soon after: what endpoints answer does not
// crash them. It reports whether there were any.
func (t *Table) Clear(now core.Millis, served Served) bool {
	r := t.requests[served.Digest]
	if r == nil {
		return false
	}
	count := len(r.crashes)
	r.excusedUntil = max(r.excusedUntil, now-served.Age+answerExcuse)
	r.drop(func(c endpointCrash) bool { return c.at <= r.excusedUntil })
	return len(r.crashes) < count
}

// drop removes the crashes for which the function returns true.
func (r *request) drop(unwanted func(endpointCrash) bool) {
	r.crashes = slices.DeleteFunc(r.crashes, unwanted)
}

// forgetEmpty forgets a request without crashes that no answer excuses any more.
func (t *Table) forgetEmpty(now core.Millis, r *request) {
	if len(r.crashes) == 0 && now > r.excusedUntil {
		delete(t.requests, r.digest)
		delete(t.causes, r.digest)
	}
}

// Explain lets the crashes of other requests at endpoints that ended under this one no longer count: they were only held
// there too. A request that as many endpoints ended under may be the cause instead.
func (t *Table) Explain(digest Digest) {
	cause := t.requests[digest]
	if cause == nil {
		return
	}
	if t.causes == nil {
		t.causes = map[Digest]bool{}
	}
	t.causes[digest] = true
	for other, r := range t.requests {
		if other == digest || t.causes[other] || r.count() >= cause.count() {
			continue
		}
		for i, c := range r.crashes {
			r.crashes[i].explained = c.explained || slices.ContainsFunc(cause.crashes, c.isSame)
		}
	}
}

// Suspects returns the requests that hosts watch for answers, those with most crashes first.
func (t *Table) Suspects(now core.Millis) []Digest {
	t.expire(now)
	var out []Digest
	for _, r := range t.sorted() {
		if r.count() >= crashesToSuspect && now-r.latest() <= suspectPeriod && len(out) < maxSuspects {
			out = append(out, r.digest)
		}
	}
	return out
}

// Due returns the request that is to be quarantined now: the one that most endpoints ended under, at different moments or as
// the sole cause, once hosts have had the time to report answers to it. It returns false if there is none.
func (t *Table) Due(now core.Millis, quarantined []Quarantine) (Digest, bool) {
	t.expire(now)
	due := t.sorted()
	due = slices.DeleteFunc(due, func(r *request) bool {
		i := slices.IndexFunc(quarantined, func(q Quarantine) bool { return q.Digest == r.digest && !q.IsForgotten(now) })
		if i >= 0 {
			return quarantined[i].Holds(now) || r.latest() < quarantined[i].Until
		}
		return r.count() < crashesToQuarantine || r.moments() < momentsToQuarantine && !t.isSoleCause(now, r) || now-r.suspectAt < answerDelay
	})
	if len(due) == 0 {
		return Digest{}, false
	}
	return due[0].digest, true
}

// Endpoints returns the endpoints that ended under a request.
func (t *Table) Endpoints(digest Digest) []string {
	var out []string
	if r := t.requests[digest]; r != nil {
		for _, c := range r.crashes {
			out = append(out, c.endpoint)
		}
	}
	return out
}

// sorted returns the requests, those with most crashes first.
func (t *Table) sorted() []*request {
	return slices.SortedFunc(maps.Values(t.requests), func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.count(), a.count()), cmp.Compare(b.latest(), a.latest()), compareDigests(a.digest, b.digest))
	})
}

func (r *request) latest() core.Millis {
	if len(r.crashes) == 0 {
		return 0
	}
	return r.crashes[len(r.crashes)-1].at
}

func compareDigests(a, b Digest) int {
	return slices.Compare(a[:], b[:])
}

// Len returns how many requests are remembered.
func (t *Table) Len() int {
	return len(t.requests)
}

// expire forgets old crashes, once a second.
func (t *Table) expire(now core.Millis) {
	if now-t.expiredAt < core.Second {
		return
	}
	t.expiredAt = now
	for _, r := range t.requests {
		r.drop(func(c endpointCrash) bool { return now-c.at > crashRetention })
		t.forgetEmpty(now, r)
	}
}

// evict forgets the requests with the fewest and oldest crashes beyond the limit.
func (t *Table) evict() {
	if len(t.requests) <= maxRequests {
		return
	}
	for _, r := range t.sorted()[keptRequests:] {
		delete(t.requests, r.digest)
		delete(t.causes, r.digest)
	}
}
