package pick

import (
	"fmt"

	"clementinelock/core"
)

// SpendRetry takes one extra attempt of the service from this host's part of the budget.
func (t *Table) SpendRetry(name string) bool {
	return t.service(name).budget.Spend()
}

// CountRequest counts a caller's request towards the service's budget of extra attempts.
func (t *Table) CountRequest(name string) {
	s := t.service(name)
	s.budget.Ratio = retryBudgetFraction * t.Bounds.RetryRatio
	s.budget.MaxTokens = max(1, retryBudgetFraction*t.Bounds.RetrySlack/float64(t.budgetHosts()))
	s.budget.SetInitial(initialBudgetFraction * s.budget.MaxTokens)
	s.budget.RecordFirst()
}

// budgetHosts returns among how many budgetHosts a budget of the deployment is divided: the most that were seen, and no fewer than are usual in so many availability zones, since after a start of all budgetHosts each knows of few at first.
func (t *Table) budgetHosts() int {
	return max(t.maxHosts, minHostsPerZone*len(t.Regions))
}

// Outcome tells how a sending ended.
type Outcome int

// The outcomes of a sending.
const (
	// Good is a whole answer of the endpoint, whatever its status.
	Good Outcome = iota
	// Failed is an answer that tells of the endpoint's own failure.
	Failed
	// Shed means that the endpoint turned the request away.
	Shed
	// Unreached means that no connection could be had.
	Unreached
	// Lost means that the answer broke off, was spoiled or did not come.
	Lost
	// Misled means that another endpoint has the address now.
	Misled
	// GivenUp means that the sender ended it, which says nothing of the endpoint.
	GivenUp
)

var outcomeNames = []string{"Good", "Failed", "Shed", "Unreached", "Lost", "Misled", "GivenUp"}

// String writes the outcome's name.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Done takes the end of a sending; took is its length, report the endpoint's account of its load, or nil.
func (t *Table) Done(now core.Millis, c Choice, outcome Outcome, took core.Millis, report *core.Report) {
	e := c.Endpoint
	e.inFlight--
	switch outcome {
	case Good:
		e.noteSuccess()
		e.noteReport(now, report)
		t.updateServiceTime(e, took, report)
		t.updateObjectiveShare(c, took)
	case Failed:
		e.noteReport(now, report)
		t.noteFailure(now, e, outcome)
	case Shed:
		e.noteShed(now)
	case Unreached, Lost:
		t.noteFailure(now, e, outcome)
	case Misled:
		e.gone = true
		t.log("Endpoint %s of %s at %s is another one now; it is not used any more.", e.ID, e.Service, e.Address)
	case GivenUp:
	}
}

// noteFailure counts a failure and tells when the endpoint is left alone for it.
func (t *Table) noteFailure(now core.Millis, e *Endpoint, outcome Outcome) {
	if e.noteFailure(now, outcome == Unreached) {
		t.log("Endpoint %s of %s in %s is left alone for %s after %d failures, the last %s.", e.ID, e.Service, e.Zone, e.ejectionTimeout, e.failures, outcome)
	}
}

func (t *Table) log(format string, args ...any) {
	if t.Log != nil {
		t.Log("endpoints", fmt.Sprintf(format, args...))
	}
}

// updateServiceTime learns the service's usual work from answers that waited for nothing.
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

// updateObjectiveShare learns from the requests that were expected to wait how long a queue may be.
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

// ServiceTime returns the usual work of a service.
func (t *Table) ServiceTime(name string) core.Millis {
	return core.Millis(t.service(name).serviceTime)
}
