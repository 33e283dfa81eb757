package reach

import "clementinelock/core"

// Timing of the recognition of a cut. A host must recognise it and be known to other hosts within 3 s.
const (
	// silenceTimeout is how long requests may wait at endpoints without any answer before endpoints are probed.
	silenceTimeout = 700 * core.Millisecond
	// suspicionTimeout is how long connections that could not be opened count.
	suspicionTimeout = core.Second
	// minFailures is the number of endpoints to which no connection could be opened before others are probed.
	minFailures = 2
	// roundInterval is longer than a round of probes takes. quietTime is the time without a further one after a round that
	// found no cut, healInterval that between two probes during a cut.
	roundInterval = 500 * core.Millisecond
	quietTime     = core.Second
	healInterval  = 250 * core.Millisecond
	// roundSize is the number of endpoints in a round.
	roundSize = 4
	// rampTime is the time after a cut in which a growing share of the requests goes to endpoints directly, since all
	// connections to them have to be opened anew.
	rampTime = core.Second
)

// Watch is one host's knowledge of whether it reaches endpoints. The zero value reaches them; calls must not overlap.
type Watch struct {
	// unopened holds the endpoints to which no connection could be opened since the latest one that could, broken those whose
	// connections ended before an answer since the latest answer; both with the time.
	unopened map[string]core.Millis
	broken   map[string]core.Millis
	// inFlight counts the requests at endpoints; silentSince is when the latest answer came, or the first of them was
	// sent.
	inFlight    int
	silentSince core.Millis
	// answeredAt is when the latest answer came.
	answeredAt core.Millis
	// probedAt is when the latest round of probes began, quietUntil is when the next one may begin.
	probedAt   core.Millis
	quietUntil core.Millis
	// cutSince is when the host was recognised as cut off, 0 while it is not; healedAt is when the latest cut ended.
	cutSince core.Millis
	healedAt core.Millis
	// Cuts counts the cuts that were recognised.
	Cuts uint64
}

// RecordSent records that a request goes to an endpoint.
func (w *Watch) RecordSent(now core.Millis) {
	if w.inFlight == 0 {
		w.silentSince = now
	}
	w.inFlight++
}

// RecordDone records the end of a request that RecordSent recorded.
func (w *Watch) RecordDone() {
	w.inFlight--
}

// RecordAnswer records that an endpoint has answered, maybe on a connection from before a cut.
func (w *Watch) RecordAnswer(now core.Millis) {
	clear(w.broken)
	w.answeredAt, w.silentSince = now, now
}

// RecordOpened records that a connection to an endpoint was opened.
func (w *Watch) RecordOpened() {
	clear(w.unopened)
}

// RecordUnopened records that no connection to an endpoint could be opened.
func (w *Watch) RecordUnopened(now core.Millis, endpoint string) {
	if w.unopened == nil {
		w.unopened = map[string]core.Millis{}
	}
	w.unopened[endpoint] = now
}

// RecordBroken records that a connection to an endpoint ended before the answer.
func (w *Watch) RecordBroken(now core.Millis, endpoint string) {
	if w.broken == nil {
		w.broken = map[string]core.Millis{}
	}
	w.broken[endpoint] = now
}

// ProbesDue returns how many endpoints are to be probed now; RecordRound takes the result.
func (w *Watch) ProbesDue(now core.Millis) int {
	switch {
	case w.cutSince != 0 && now-w.probedAt >= healInterval:
		w.probedAt = now
		return 1
	case w.cutSince == 0 && now >= w.quietUntil && w.isSuspicious(now):
		w.probedAt, w.quietUntil = now, now+roundInterval
		return roundSize
	}
	return 0
}

// isSuspicious reports whether the host may be cut off.
func (w *Watch) isSuspicious(now core.Millis) bool {
	return countRecent(now, w.unopened) >= minFailures || countRecent(now, w.broken) >= minFailures || w.inFlight > 0 && now-w.silentSince > silenceTimeout
}

func countRecent(now core.Millis, failures map[string]core.Millis) (count int) {
	for _, at := range failures {
		if now-at <= suspicionTimeout {
			count++
		}
	}
	return count
}

// Round is the result of the probes that ProbesDue asked for.
type Round struct {
	// Began is when it began.
	Began core.Millis
	// Probed is the number of endpoints, Reached that of those that answered and Refused that of those whose connections were
	// refused or reset; the others were silent.
	Probed, Reached, Refused int
}

// RecordRound records a round of probes: it may begin a cut or end one. It begins none if endpoints answer on open
// connections and don't refuse new ones, since those that are overloaded leave connections unanswered.
func (w *Watch) RecordRound(now core.Millis, r Round) {
	switch {
	case w.cutSince != 0 && r.Reached > 0:
		w.cutSince, w.healedAt, w.quietUntil = 0, now, now+quietTime
		clear(w.unopened)
		clear(w.broken)
		w.silentSince = now
	case w.cutSince != 0 || r.Probed == 0:
	case r.Reached > 0 || w.answeredAt >= r.Began && r.Refused < r.Probed:
		w.quietUntil = now + quietTime
	default:
		w.cutSince = now
		w.Cuts++
	}
}

// IsCut reports whether the host is cut off from all endpoints.
func (w *Watch) IsCut() bool {
	return w.cutSince != 0
}

// CutFor returns for how long the host has been cut off, 0 if it is not.
func (w *Watch) CutFor(now core.Millis) core.Millis {
	if w.cutSince == 0 {
		return 0
	}
	return now - w.cutSince
}

// HandsOver reports whether a request goes to another entry host: all do during a cut, a shrinking share after it. chance
// is a random number from 0 to 1.
func (w *Watch) HandsOver(now core.Millis, chance float64) bool {
	if w.cutSince != 0 {
		return true
	}
	return w.healedAt != 0 && chance > float64(now-w.healedAt)/float64(rampTime)
}
