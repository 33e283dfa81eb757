package pick

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"clementinelock/core"
)

// SpendRetry takes one extra attempt out of this host's share of the service's budget; it returns false when
// none is left.
func (t *Table) SpendRetry(name string) bool {
	return t.service(name).budget.Spend()
}

// CountRequest adds a caller's request to the service's budget of extra attempts.
func (t *Table) CountRequest(name string) {
	s := t.service(name)
	s.budget.Ratio = retryBudgetFraction * t.Bounds.RetryRatio
	s.budget.MaxTokens = max(1, retryBudgetFraction*t.Bounds.RetrySlack/float64(t.budgetHosts()))
	s.budget.SetInitial(initialBudgetFraction * s.budget.MaxTokens)
	s.budget.RecordFirst()
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

// RecordEnded records that an endpoint's process was seen to have ended.
func (t *Table) RecordEnded(at core.Millis, id string) {
	e := t.endpoints[id]
	if e == nil || at <= e.endedAt {
		return
	}
	if e.endedAt == 0 {
		t.logf("Endpoint %s of %s in %s has ended; it counts as cold until a list that was read later.", e.ID, e.Service, e.Zone)
	}
	e.endedAt = at
}

// LastAnswered returns the addresses of at most count endpoints besides the one given, those that answered this host last
// first.
func (t *Table) LastAnswered(id string, count int) (addresses []string) {
	var others []*Endpoint
	for _, e := range t.endpoints {
		if e.ID != id && e.answeredAt != 0 {
			others = append(others, e)
		}
	}
	slices.SortFunc(others, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(b.answeredAt, a.answeredAt), cmp.Compare(a.ID, b.ID))
	})
	for _, e := range others[:min(count, len(others))] {
		addresses = append(addresses, e.Address)
	}
	return addresses
}

// Probe is an endpoint to be probed.
type Probe struct {
	Address    string
	HealthPath string
}

// Spread returns at most count endpoints to probe whether any can be reached: of as many services and availability zones as
// possible, this host's zone first.
func (t *Table) Spread(now core.Millis, count int) (probes []Probe) {
	var candidates []*Endpoint
	for _, name := range slices.Sorted(maps.Keys(t.endpoints)) {
		if e := t.endpoints[name]; !e.gone && e.leavingSince == 0 {
			candidates = append(candidates, e)
		}
	}
	t.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	services, zones := map[string]int{}, map[string]int{}
	for len(probes) < count && len(candidates) > 0 {
		// Endpoints that may have ended tell little.
		best := slices.MinFunc(candidates, func(a, b *Endpoint) int {
			weight := func(e *Endpoint) int {
				w := 2*services[e.Service] + 2*zones[e.Zone]
				if e.Zone != t.Zone {
					w++
				}
				if e.hasEnded(now) || now < e.ejectedUntil {
					w += 2
				}
				return w
			}
			return weight(a) - weight(b)
		})
		services[best.Service]++
		zones[best.Zone]++
		probes = append(probes, Probe{best.Address, t.configured[best.Service].HealthPath})
		candidates = slices.DeleteFunc(candidates, func(e *Endpoint) bool { return e == best })
	}
	return probes
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
