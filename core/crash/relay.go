package crash

import (
	"cmp"
	"maps"
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
	// maxRelayed bounds the crashes and the answers in a message: many requests may be at endpoints that end at once, and the one
	// that crashes endpoints is among them. maxRelayedOfOne bounds the crashes under one request, maxEnded the ends: those of all
	// endpoints of a deployment.
	maxRelayed      = 512
	maxRelayedOfOne = 64
	maxEnded        = 2048
)

// Relay holds the latest reports that a host passes on. The zero value is empty; calls must not overlap.
type Relay struct {
	crashes []relayed[Report]
	served  []relayed[Served]
	// ended holds the ends by endpoint.
	ended map[string]relayed[Ended]
}

// relayed is a report with its time and until when it is passed on.
type relayed[T any] struct {
	report T
	at     core.Millis
	until  core.Millis
}

// AddCrash adds a report of a crash.
func (r *Relay) AddCrash(now core.Millis, report Report) {
	first, count := 0, 0
	for i := len(r.crashes) - 1; i >= 0; i-- {
		if r.crashes[i].report.Digest == report.Digest {
			first = i
			count++
		}
	}
	if count == maxRelayedOfOne {
		r.crashes = slices.Delete(r.crashes, first, first+1)
	}
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
	held, known := r.ended[ended.Endpoint]
	// An end is news beside the start before it, and a start beside the end.
	isKnown := known && (at <= held.at || at-held.at < endedInterval && (ended.ColdFor > 0) == (held.report.ColdFor > 0))
	if now >= at+endedPeriod || isKnown {
		return false
	}
	if r.ended == nil {
		r.ended = map[string]relayed[Ended]{}
	}
	if !known && len(r.ended) >= maxEnded {
		delete(r.ended, r.sortedEnded()[0].report.Endpoint)
	}
	r.ended[ended.Endpoint] = relayed[Ended]{ended, at, at + endedPeriod}
	return true
}

// sortedEnded returns the ends, the oldest first.
func (r *Relay) sortedEnded() []relayed[Ended] {
	return slices.SortedFunc(maps.Values(r.ended), func(a, b relayed[Ended]) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.report.Endpoint, b.report.Endpoint))
	})
}

// Ended returns the reports of endpoints' ends that are part of a message sent now.
func (r *Relay) Ended(now core.Millis) (ended []Ended) {
	maps.DeleteFunc(r.ended, func(_ string, each relayed[Ended]) bool { return now >= each.until })
	for _, each := range r.sortedEnded() {
		each.report.Age = now - each.at
		ended = append(ended, each.report)
	}
	return ended
}

// EndedLen returns how many ends are held.
func (r *Relay) EndedLen() int {
	return len(r.ended)
}

// Len returns how many reports of any kind are held.
func (r *Relay) Len() int {
	return len(r.crashes) + len(r.served) + len(r.ended)
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
