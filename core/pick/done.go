package pick

import (
	"fmt"

	"clementinelock/core"
	"clementinelock/core/retry"
)

// SpendRetry takes one extra attempt out of this host's share of the service's budget; it returns false when
// none is left.
func (t *Table) SpendRetry(name string) bool {
	return t.budget(name).Spend()
}

// CountRequest adds a caller's request to the service's budget of extra attempts.
func (t *Table) CountRequest(name string) {
	t.budget(name).RecordFirst()
}

// budget returns this host's share of the service's budget of extra attempts.
func (t *Table) budget(name string) *retry.Budget {
	b := &t.service(name).budget
	b.Ratio = retryBudgetFraction * t.Bounds.RetryRatio
	b.MaxTokens = max(1, retryBudgetFraction*t.Bounds.RetrySlack/float64(t.budgetHosts()))
	b.SetInitial(initialBudgetFraction * b.MaxTokens)
	return b
}

// budgetHosts returns the number of hosts among which the deployment's budget is divided: the largest number
// seen, but at least minHostsPerZone per availability zone, because after a start of all hosts each knows only a
// few of them at first.
func (t *Table) budgetHosts() int {
	return max(t.maxHosts, minHostsPerZone*len(t.RegionByZone))
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Good is a complete answer of the endpoint, whatever its status.
	Good Outcome = iota
	// Failed is an answer that reports a failure of the endpoint itself.
	Failed
	// Shed means that the endpoint rejected the request.
	Shed
	// Unreached means that no connection could be established.
	Unreached
	// Refused means that the endpoint's address refused the connection, as that of a process that has ended does.
	Refused
	// Lost means that the answer was cut off or corrupted, or did not arrive.
	Lost
	// Misled means that the address now belongs to another endpoint.
	Misled
	// GivenUp means that the sender cancelled the attempt, which tells nothing about the endpoint.
	GivenUp
	// Withdrawn means that the endpoint became unavailable before the request was sent.
	Withdrawn
)

var outcomeNames = []string{"Good", "Failed", "Shed", "Unreached", "Refused", "Lost", "Misled", "GivenUp", "Withdrawn"}

// MayHaveRun reports whether the endpoint may have run the request.
func (o Outcome) MayHaveRun() bool {
	return o != Shed && o != Unreached && o != Refused && o != Misled && o != Withdrawn
}

// String returns the outcome's name.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Done records the end of an attempt; took is its duration, report the load that the endpoint reported, or
// nil.
func (t *Table) Done(now core.Millis, c Choice, outcome Outcome, took core.Millis, report *core.Report) {
	e := c.Endpoint
	e.inFlight--
	if !outcome.MayHaveRun() {
		t.shift.withdraw(c.chosenAt, e.Region)
	}
	if outcome.MayHaveRun() {
		t.updateLongestRun(now, e.Service, took)
	}
	if outcome == Good || outcome == Failed || outcome == Shed {
		e.answeredAt = now
		t.recordNoLimit(e, c.chosenAt)
	}
	switch outcome {
	case Good:
		e.recordSuccess()
		e.recordReopening(now - took)
		e.recordReport(now, report)
		t.updateServiceTime(e, took, report)
		t.updateObjectiveShare(c, took)
	case Failed:
		e.recordReport(now, report)
		t.recordFailure(now, e, outcome)
	case Shed:
		if !e.inBackoff(now) {
			e.recordShed(now)
		}
	case Refused:
		t.RecordEnded(now, e.ID)
		t.recordFailure(now, e, outcome)
	case Unreached, Lost:
		t.recordFailure(now, e, outcome)
	case Misled:
		e.gone = true
		t.logf("Endpoint %s of %s is no longer used: its address %s belongs to another endpoint.", e.ID, e.Service, e.Address)
	case GivenUp, Withdrawn:
	}
}

// recordFailure records a failure and logs when the endpoint is ejected for it.
func (t *Table) recordFailure(now core.Millis, e *Endpoint, outcome Outcome) {
	if e.recordFailure(now, outcome == Unreached || outcome == Refused) {
		t.logf("Endpoint %s of %s in %s is ejected for %s after %d failures, the last %s.", e.ID, e.Service, e.Zone, e.ejectionTimeout, e.failures, outcome)
	}
}

func (t *Table) logf(format string, args ...any) {
	if t.Log != nil {
		t.Log("endpoints", fmt.Sprintf(format, args...))
	}
}

// updateServiceTime updates the service's estimated service time from answers that did not wait in a queue.
func (t *Table) updateServiceTime(e *Endpoint, took core.Millis, report *core.Report) {
	if report != nil && report.Queue > 0 || e.inFlight >= e.Slots {
		return
	}
	s := t.service(e.Service)
	weight := decreaseWeight
	if float64(took) > s.serviceTime {
		weight = increaseWeight
	}
	s.serviceTime += weight * (float64(took) - s.serviceTime)
}

// updateObjectiveShare adjusts the share of the objective that queueing and service may take, by the requests
// that were expected to wait.
func (t *Table) updateObjectiveShare(c Choice, took core.Millis) {
	if c.Objective == 0 || c.Wait == 0 {
		return
	}
	s := t.service(c.Endpoint.Service)
	if took > c.Objective {
		s.objectiveShare = max(minObjectiveShare, s.objectiveShare-lateStep)
		return
	}
	s.objectiveShare = min(maxObjectiveShare, s.objectiveShare+onTimeStep)
}

// ServiceTime returns the estimated service time of a service.
func (t *Table) ServiceTime(name string) core.Millis {
	return core.Millis(t.service(name).serviceTime)
}
