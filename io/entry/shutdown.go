package entry

import (
	"time"

	"clementinelock/core"
)

// Parts of the time that a planned stop may take.
const (
	// drainFraction is the part after which the host accepts no more connections; callers have learnt by then that it stops.
	drainFraction = 0.5
	// answerMargin is left at the end for writing answers, exitMargin for the end of the process.
	answerMargin = 250 * core.Millisecond
	exitMargin   = 100 * core.Millisecond
	// maxRunFactor is by how much a run may take longer than the longest of its service lately.
	maxRunFactor = 1.5
)

// Shutdown carries out a planned stop within the time given, and returns how many requests it has cut off. From the beginning
// on, requests are passed on only if they end in time.
func (s *Server) Shutdown(timeout core.Millis) (left int) {
	end := time.Now().Add((timeout - exitMargin).Duration())
	s.answersEndAt.Store(int64(s.Now() + timeout - exitMargin - answerMargin))
	s.BeginShutdown()
	time.Sleep(time.Duration(drainFraction * float64(timeout.Duration())))
	return s.FinishShutdown(time.Until(end))
}

// checkEnd refuses to send the request anywhere if its answer may come after the end of a planned stop. One that must not run
// twice has to end by its deadline; for others, the longest run of late tells how long they take. Other hosts take the request
// at once.
func (t *attempts) checkEnd() *core.Refusal {
	s := t.server
	end := core.Millis(s.answersEndAt.Load())
	if end == 0 {
		return nil
	}
	now := s.Now()
	needed := t.deadline - now
	if t.route.Idempotent {
		s.mutex.Lock()
		if longest := s.Picks.LongestRun(now, t.pickRequest.Service); longest > 0 {
			needed = min(needed, core.MillisOf(maxRunFactor*float64(longest)))
		}
		s.mutex.Unlock()
	}
	if now+needed <= end {
		return nil
	}
	refusal := core.Refuse(core.Stopping, core.RanNo, "the request may take %s, and this host stops in %s", needed, max(0, end-now))
	refusal.RetryAfter = 0
	return refusal
}
