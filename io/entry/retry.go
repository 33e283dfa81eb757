package entry

import (
	"context"

	"clementinelock/core"
	"clementinelock/core/pick"
)

// A hedged attempt starts after this multiple of the usual service time, and not before this share of the time that
// remains until the deadline.
const (
	hedgeServiceTimes  = 2.5
	hedgeDeadlineShare = 0.3
)

// NoRetryReason is the reason why an unanswered request got no further attempt.
type NoRetryReason string

// The reasons against a further attempt.
const (
	TimeOver     NoRetryReason = "TimeOver"
	MostAttempts NoRetryReason = "MostAttempts"
	// BodyPassedOn means that the body was streamed from the caller to an endpoint, so it can't be sent again.
	BodyPassedOn NoRetryReason = "BodyPassedOn"
	MayHaveRun   NoRetryReason = "MayHaveRun"
	BudgetSpent  NoRetryReason = "BudgetSpent"
	// NoneFree means that no other endpoint could take the request in time.
	NoneFree NoRetryReason = "NoneFree"
)

// computeHedgeDelay returns the delay after which an unanswered idempotent request is hedged;
// it is an hour, in effect never, for a request that must not be hedged.
func (t *attempts) computeHedgeDelay() core.Millis {
	if t.maxAttempts() < 2 || t.exchange.request.Rest != nil || !t.route.Idempotent {
		return core.Hour
	}
	t.server.mutex.Lock()
	usual := t.server.Picks.ServiceTime(t.pickRequest.Service)
	t.server.mutex.Unlock()
	return core.Millis(max(hedgeServiceTimes*float64(usual), hedgeDeadlineShare*float64(t.deadline-t.server.Now())))
}

// mostAttempts is more endpoints than a request reaches within any timeout; a route may allow more.
const mostAttempts = 1 << 20

// maxAttempts returns the number of endpoints that the route lets run the request.
func (t *attempts) maxAttempts() int {
	return min(max(1, t.route.MaxAttempts), mostAttempts)
}

// mayReach returns how many attempts may reach endpoints, those of other entry hosts included: what the route allows, and no
// more than the host that handed the request over.
func (t *attempts) mayReach() int {
	if h := t.exchange.handover; h != nil {
		return min(t.maxAttempts(), h.reached+h.attempts)
	}
	return t.maxAttempts()
}

// noRetryReason returns the reason against a further attempt after one with this outcome.
// It spends one attempt from the retry budget when there is none, unless the host that gets the request next does.
func (t *attempts) noRetryReason(ctx context.Context, outcome pick.Outcome) NoRetryReason {
	t.handsOver = t.goesToHelper()
	switch {
	case ctx.Err() != nil:
		return TimeOver
	case t.reached >= t.mayReach() || t.record.Attempts >= t.maxAttempts() && !t.mayHandOver():
		return MostAttempts
	case t.exchange.request.Rest != nil:
		return BodyPassedOn
	case t.mayHaveRun && !t.route.Idempotent:
		return MayHaveRun
	case !t.handsOver && !t.spendRetry(outcome):
		return BudgetSpent
	}
	return ""
}

// hedge sends the request to a second endpoint with a free slot, if there is one, while the first attempt goes on.
func (t *attempts) hedge(ctx context.Context) {
	if t.record.NoRetryReason = t.noRetryReason(ctx, pick.Lost); t.record.NoRetryReason != "" {
		return
	}
	t.pickRequest.FreeOnly = true
	refusal := t.start(ctx)
	t.pickRequest.FreeOnly = false
	if refusal != nil {
		t.record.NoRetryReason = NoneFree
		return
	}
	t.record.Hedged = true
}
