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
)

// Shutdown carries out a planned stop within the time given, and returns how many requests it has cut off. From the beginning
// on, requests are passed on only if they end in time.
func (s *Server) Shutdown(timeout core.Millis) (left int) {
	end := time.Now().Add((timeout - exitMargin).Duration())
	s.lastAnswerAt.Store(int64(s.Now() + timeout - exitMargin - answerMargin))
	s.BeginShutdown()
	time.Sleep(time.Duration(drainFraction * float64(timeout.Duration())))
	return s.FinishShutdown(time.Until(end))
}

// checkStopTime refuses to send the request anywhere if its answer may come after the end of a planned stop. Other hosts take the
// request at once.
func (t *attempts) checkStopTime() *core.Refusal {
	s := t.server
	end := core.Millis(s.lastAnswerAt.Load())
	if end == 0 {
		return nil
	}
	now := s.Now()
	s.mutex.Lock()
	needed := s.Picks.TimeNeeded(now, t.pickRequest.Service, t.route.Idempotent, t.deadline-now)
	s.mutex.Unlock()
	if now+needed <= end {
		return nil
	}
	refusal := core.Refuse(core.Stopping, core.RanNo, "the request may take %s, and this host stops in %s", needed, max(0, end-now))
	refusal.RetryAfter = 0
	return refusal
}
