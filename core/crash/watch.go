package crash

import "clementinelock/core"

const (
	// answeredRetention is how long an answer excuses its request from crashes that come before it.
	answeredRetention = core.Minute
	maxAnswered       = 2048
	// servedInterval is the time between two reports of answers to the same suspect.
	servedInterval = core.Second
)

// Watch is a host's view of the requests that crash endpoints: which ones it must not send, and which answers it has to
// report. The zero value is empty; calls must not overlap.
type Watch struct {
	quarantined map[Digest]Quarantine
	// suspects holds when this host last reported an answer to each suspect.
	suspects map[Digest]core.Millis
	// answered and answeredBefore hold when endpoints answered requests; the first replaces the second once it is full or
	// old.
	answered       map[Digest]core.Millis
	answeredBefore map[Digest]core.Millis
	answeredSince  core.Millis
	served         map[Digest]core.Millis
}

// Set replaces the quarantines and the suspects, of which earlier answers are reported too.
func (w *Watch) Set(quarantined []Quarantine, suspects []Digest) {
	w.quarantined = make(map[Digest]Quarantine, len(quarantined))
	for _, q := range quarantined {
		w.quarantined[q.Digest] = q
	}
	before := w.suspects
	w.suspects = make(map[Digest]core.Millis, len(suspects))
	for _, digest := range suspects {
		reportedAt, known := before[digest]
		w.suspects[digest] = reportedAt
		if at, answered := w.answeredAt(digest); answered && !known {
			w.report(digest, at)
		}
	}
}

func (w *Watch) answeredAt(digest Digest) (core.Millis, bool) {
	if at, known := w.answered[digest]; known {
		return at, true
	}
	at, known := w.answeredBefore[digest]
	return at, known
}

// Remaining returns for how long the request must not be sent to endpoints; 0 means that it may be.
func (w *Watch) Remaining(now core.Millis, digest Digest) core.Millis {
	return max(0, w.quarantined[digest].Until-now)
}

// RecordAnswer records that an endpoint has answered a request.
func (w *Watch) RecordAnswer(now core.Millis, digest Digest) {
	if len(w.answered) >= maxAnswered || now-w.answeredSince > answeredRetention/2 {
		w.answeredBefore, w.answered, w.answeredSince = w.answered, map[Digest]core.Millis{}, now
	}
	w.answered[digest] = now
	_, quarantined := w.quarantined[digest]
	reportedAt, suspect := w.suspects[digest]
	if quarantined || suspect && now-reportedAt >= servedInterval {
		w.report(digest, now)
	}
}

func (w *Watch) report(digest Digest, at core.Millis) {
	if w.served == nil {
		w.served = map[Digest]core.Millis{}
	}
	w.served[digest] = at
	if _, suspect := w.suspects[digest]; suspect {
		w.suspects[digest] = at
	}
}

// TakeServed returns the answers that have to be reported, once each.
func (w *Watch) TakeServed(now core.Millis) []Served {
	var out []Served
	for digest, at := range w.served {
		out = append(out, Served{Digest: digest, Age: now - at})
	}
	w.served = nil
	return out
}
