package crash

import (
	"slices"

	"clementinelock/core"
)

const (
	// repeatPeriod is how long a report is part of each message, since messages may be lost.
	repeatPeriod = 2500 * core.Millisecond
	// endedPeriod is how long after it the end of an endpoint is passed on: hosts may be cut off meanwhile, and the endpoint may
	// be down for some seconds before it starts again, cold.
	endedPeriod = 10 * core.Second
	// endedInterval is the time within which reports of the end of the same endpoint tell nothing new.
	endedInterval = 500 * core.Millisecond
	// maxRelayed bounds the reports in a message.
	maxRelayed = 64
)

// Relay holds the latest reports that a host passes on. The zero value is empty; calls must not overlap.
type Relay struct {
	crashes []relayed[Report]
	served  []relayed[Served]
	ended   []relayed[Ended]
}

// relayed is a report with its time and until when it is passed on.
type relayed[T any] struct {
	report T
	at     core.Millis
	until  core.Millis
}

// AddCrash adds a report of a crash.
func (r *Relay) AddCrash(now core.Millis, report Report) {
	r.crashes = addRelayed(r.crashes, relayed[Report]{report, now - report.Age, now + repeatPeriod})
}

// HasNewCrash reports whether a report of a crash was added within a period.
func (r *Relay) HasNewCrash(now, period core.Millis) bool {
	return slices.ContainsFunc(r.crashes, func(each relayed[Report]) bool { return now-(each.until-repeatPeriod) <= period })
}

// AddServed adds a report of an answer in place of an earlier one to the same request.
func (r *Relay) AddServed(now core.Millis, served Served) {
	r.served = slices.DeleteFunc(r.served, func(each relayed[Served]) bool { return each.report.Digest == served.Digest })
	r.served = addRelayed(r.served, relayed[Served]{served, now - served.Age, now + repeatPeriod})
}

// AddEnded adds a report of an endpoint's end in place of an earlier one, and reports whether it is news.
func (r *Relay) AddEnded(now core.Millis, ended Ended) (news bool) {
	at := now - ended.Age
	if now >= at+endedPeriod || slices.ContainsFunc(r.ended, func(each relayed[Ended]) bool {
		return each.report.Endpoint == ended.Endpoint && (at <= each.at || at-each.at < endedInterval && (ended.ColdFor == 0 || each.report.ColdFor > 0))
	}) {
		return false
	}
	r.ended = slices.DeleteFunc(r.ended, func(each relayed[Ended]) bool { return each.report.Endpoint == ended.Endpoint })
	r.ended = addRelayed(r.ended, relayed[Ended]{ended, at, at + endedPeriod})
	return true
}

// Ended returns the reports of endpoints' ends that are part of a message sent now.
func (r *Relay) Ended(now core.Millis) (ended []Ended) {
	r.ended = dropOld(now, r.ended)
	for _, each := range r.ended {
		each.report.Age = now - each.at
		ended = append(ended, each.report)
	}
	return ended
}

// addRelayed adds a report in place of the oldest one if there are too many.
func addRelayed[T any](list []relayed[T], added relayed[T]) []relayed[T] {
	if len(list) == maxRelayed {
		list = list[1:]
	}
	return append(list, added)
}

// Reports returns the reports that are part of a message sent now.
func (r *Relay) Reports(now core.Millis) (crashes []Report, served []Served) {
	r.crashes, r.served = dropOld(now, r.crashes), dropOld(now, r.served)
	for _, each := range r.crashes {
		each.report.Age = now - each.at
		crashes = append(crashes, each.report)
	}
	for _, each := range r.served {
		each.report.Age = now - each.at
		served = append(served, each.report)
	}
	return crashes, served
}

// Extend passes reports of crashes and answers on for as long as at their beginning, since no message has arrived for a while.
func (r *Relay) Extend(now core.Millis) {
	for i := range r.crashes {
		r.crashes[i].until = now + repeatPeriod
	}
	for i := range r.served {
		r.served[i].until = now + repeatPeriod
	}
}

func dropOld[T any](now core.Millis, list []relayed[T]) []relayed[T] {
	return slices.DeleteFunc(list, func(r relayed[T]) bool { return now >= r.until })
}
