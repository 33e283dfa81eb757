package entry

import (
	"context"
	"errors"
	"net/http"

	"clementinelock/core"
	"clementinelock/core/pick"
	"clementinelock/io/pool"
)

// spendRetry spends an extra attempt from the budget; a retry of an attempt that reached no endpoint is free.
func (t *attempts) spendRetry(outcome pick.Outcome) bool {
	if outcome == pick.Unreached || outcome == pick.Refused || outcome == pick.Withdrawn {
		return true
	}
	t.server.mutex.Lock()
	defer t.server.mutex.Unlock()
	return t.server.Picks.SpendRetry(t.pickRequest.Service)
}

// classify returns what a result says about the endpoint and about whether the request has run.
func (s *Server) classify(result pool.Result) pick.Outcome {
	switch result.Ending {
	case pool.NotSent:
		if result.Refused {
			return pick.Refused
		}
		return pick.Unreached
	case pool.Cancelled:
		return pick.GivenUp
	case pool.Withdrawn:
		return pick.Withdrawn
	case pool.Answered:
	default:
		return pick.Lost
	}
	header := result.Answer.Header
	stamped := header.Get(s.Dialect.Stamp) != ""
	switch {
	case result.Answer.Status == http.StatusMisdirectedRequest && !stamped:
		return pick.Misled
	case header.Get(s.Dialect.NotRun) != "":
		return pick.Shed
	case header.Get("Content-Encoding") != "" || !stamped:
		return pick.Lost
	case result.Answer.Status >= http.StatusInternalServerError:
		return pick.Failed
	}
	return pick.Good
}

// fail ends a request whose last attempt brought no answer that may be forwarded; a caller whose request has not run
// may return after retryAfter.
func (t *attempts) fail(ctx context.Context, attempt attemptResult, retryAfter core.Millis) *reply {
	record := t.record
	switch {
	case errors.Is(context.Cause(ctx), errQuarantined):
		return t.failQuarantined()
	case attempt.outcome == pick.Failed:
		// The endpoint's error response is forwarded as the answer.
		return &reply{status: attempt.result.Answer.Status, answer: attempt.result.Answer, endpoint: attempt.endpoint()}
	case !t.mayHaveRun:
		refusal := core.Refuse(core.Overloaded, core.RanNo, "no endpoint accepted the request: %s", attempt.result.Detail)
		refusal.RetryAfter = retryAfter
		return refuse(record, refusal)
	case ctx.Err() != nil:
		return refuse(record, core.Refuse(core.DeadlinePassed, core.RanUnknown, "deadline passed after %d attempts: %s", record.Attempts, attempt.result.Detail))
	}
	refusal := core.Refuse(core.UpstreamFailed, core.RanUnknown, "last of %d attempts failed: %s", record.Attempts, attempt.result.Detail)
	refusal.RetryAfter = 0
	return refuse(record, refusal)
}

// failQuarantined ends a request that was quarantined while its attempts were in flight.
func (t *attempts) failQuarantined() *reply {
	if refusal := t.server.quarantine(t.exchange.digest); refusal != nil && !t.mayHaveRun {
		return refuse(t.record, refusal)
	}
	refusal := core.Refuse(core.UpstreamFailed, core.RanUnknown, "%v after %d attempts", errQuarantined, t.record.Attempts)
	refusal.RetryAfter = 0
	return refuse(t.record, refusal)
}
