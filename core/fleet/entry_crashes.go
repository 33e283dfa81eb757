package fleet

import (
	"slices"

	"clementinelock/core"
	"clementinelock/core/crash"
)

// RecordCrashes records endpoints that ended while they held requests of this host, and reports them at once.
func (e *Entry) RecordCrashes(now core.Millis, reports []crash.Report) core.Effects {
	out := &core.Effects{}
	for _, report := range reports {
		out.Logf("crashes", "Endpoint %s ended while it held request %s.", report.Endpoint, report.Digest)
		e.relay.AddCrash(now, report)
		e.ownCrashes.Record(now, report)
		e.reportSoon(now)
	}
	return *out
}

// reportSoon lets the host report at once, or when the link has carried its latest report.
func (e *Entry) reportSoon(now core.Millis) {
	e.reportAt = min(e.reportAt, max(now, e.reportedAt+transferTimeOf(e.relay.Len())))
}

// RecordEnded records endpoints that this host saw end, and reports them at once.
func (e *Entry) RecordEnded(now core.Millis, ended []crash.Ended) core.Effects {
	out := &core.Effects{}
	for _, each := range ended {
		e.addEnded(now, each)
		if !e.relay.AddEnded(now, each) {
			continue
		}
		e.reportSoon(now)
		if each.ColdFor > 0 {
			out.Logf("crashes", "Endpoint %s has started again and is cold for %s; other hosts are told.", each.Endpoint, each.ColdFor)
		} else {
			out.Logf("crashes", "Endpoint %s has ended; other hosts are told.", each.Endpoint)
		}
	}
	return *out
}

// applyEnded takes over the ends of endpoints that other hosts saw, and reports whether any is news: each update repeats them.
func (e *Entry) applyEnded(now core.Millis, u *Update) (news bool) {
	for _, each := range u.Ended {
		news = e.addEnded(now, each) || news
	}
	return news
}

func (e *Entry) addEnded(now core.Millis, ended crash.Ended) (news bool) {
	news = e.ended.AddEnded(now, ended)
	if news {
		e.latestEndAt = max(e.latestEndAt, now-ended.Age)
	}
	return news
}

// servedBatchDelay batches the answers to several suspects into one report.
const servedBatchDelay = 200 * core.Millisecond

// RecordServed records answers of endpoints to suspects, and reports them soon.
func (e *Entry) RecordServed(now core.Millis, served []crash.Served) {
	for _, each := range served {
		e.relay.AddServed(now, each)
		e.ownCrashes.Clear(now, each)
		e.reportAt = min(e.reportAt, now+servedBatchDelay)
	}
}

// applyQuarantines takes over the quarantines and suspects of an update; it reports whether they have changed.
func (e *Entry) applyQuarantines(u *Update) bool {
	changed := !slices.Equal(u.Suspects, e.suspects)
	e.suspects = u.Suspects
	if u.QuarantineIndex > e.quarantineIndex {
		e.quarantined, e.quarantineIndex = u.Quarantined, u.QuarantineIndex
		changed = true
	}
	return changed
}

// Parameters of a host that reaches no control host.
const (
	// aloneTimeout is the time without contact from which a host decides by its own crashes.
	aloneTimeout = contactTimeout
	// handoverTime is how long the host's own decisions outlast its return, until the leader has decided.
	handoverTime = 3 * core.Second
)

// DecideAlone keeps a host that reaches no control host from crashing endpoints by its own requests. It reports whether
// the host's View may have changed.
func (e *Entry) DecideAlone(now core.Millis) (changed bool, effects core.Effects) {
	if now-e.contactAt <= aloneTimeout {
		return e.handOverDecisions(now), effects
	}
	e.relay.Extend(now)
	digest, due := e.ownCrashes.Due(now, slices.Concat(e.quarantined, e.ownQuarantined))
	if !due {
		return false, effects
	}
	e.ownQuarantined = append(e.ownQuarantined, crash.Quarantine{Digest: digest}.Renewed(now))
	effects.Logf("crashes", "Request %s is not sent while no control host is reached: endpoints %v ended under it.", digest, e.ownCrashes.Endpoints(digest))
	return true, effects
}

// handOverDecisions ends the decisions of this host, and reports whether there was one.
func (e *Entry) handOverDecisions(now core.Millis) bool {
	if len(e.ownQuarantined) == 0 {
		return false
	}
	for i := range e.ownQuarantined {
		e.ownQuarantined[i].Until = min(e.ownQuarantined[i].Until, now+handoverTime)
	}
	e.ownQuarantined = slices.DeleteFunc(e.ownQuarantined, func(q crash.Quarantine) bool { return !q.Holds(now) })
	return true
}
