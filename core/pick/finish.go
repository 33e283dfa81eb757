package pick

import (
	"math"

	"clementinelock/core"
)

const (
	// longestRunHalfLife is how fast the longest run is forgotten while all are shorter.
	longestRunHalfLife = 20 * core.Second
	// maxRunFactor is by how much a run may take longer than the longest of its service lately.
	maxRunFactor = 1.5
)

// updateLongestRun records how long a run took.
func (t *Table) updateLongestRun(now core.Millis, service string, took core.Millis) {
	s := t.service(service)
	if float64(took) >= s.longestRunAsOf(now) {
		s.longestRun, s.longestRunAt = float64(took), now
	}
}

// longestRunAsOf returns how long the runs of the service took at most lately, in milliseconds; 0 means that it is not known.
func (s *service) longestRunAsOf(now core.Millis) float64 {
	return s.longestRun * math.Exp2(-float64(now-s.longestRunAt)/float64(longestRunHalfLife))
}

// TimeNeeded returns how long a request may take that has so much time left. One that must not run twice may take all of it; for
// others the longest run of their service lately tells, with its time in queues of endpoints.
func (t *Table) TimeNeeded(now core.Millis, service string, idempotent bool, left core.Millis) core.Millis {
	longest := t.service(service).longestRunAsOf(now)
	if !idempotent || longest == 0 {
		return left
	}
	return min(left, core.MillisOf(maxRunFactor*longest))
}
