package call

import (
	"slices"

	"clementinelock/core"
	"clementinelock/core/ledger"
	"clementinelock/core/route"
	"clementinelock/core/slots"
)

// findSlot starts the search for a slot, in the region that the router picks.
func (d *Dispatcher) findSlot(now core.Millis, c *call, out *core.Effects) {
	if r := d.quarantine(now, c); r != nil {
		d.abandonSearch(now, c, r, out)
		return
	}
	c.phase = asking
	c.tried = 0
	c.region = d.Router.PickRegion(c.Service)
	if c.region != d.Region && !d.AllowCrossRegion(now, c.region, c.Service) {
		c.region = d.Region
	}
	c.targets = d.Router.Targets(now, c.region, c.Service)
	if len(c.targets) == 0 {
		d.failOver(now, c)
	}
	d.askNextZone(now, c, out)
}

// failOver chooses another region when the picked one has no reachable zone and the tree allows failover.
func (d *Dispatcher) failOver(now core.Millis, c *call) {
	others := d.Router.FailoverRegions(c.Service)
	if c.region != d.Region {
		others = append([]string{d.Region}, others...)
	}
	for _, region := range others {
		targets := d.Router.Targets(now, region, c.Service)
		if len(targets) > 0 && (region == d.Region || d.AllowCrossRegion(now, region, c.Service)) {
			c.region, c.targets = region, targets
			return
		}
	}
}

// askNextZone asks the next zone for a slot: first each zone once without waiting, then the one with the lowest wait
// cost, with waiting. A single zone, or a zone of another region, is asked with waiting at once.
func (d *Dispatcher) askNextZone(now core.Millis, c *call, out *core.Effects) {
	if c.answered || c.callerGone {
		return
	}
	if now >= c.deadline {
		d.abandonSearch(now, c, core.Refuse(core.DeadlinePassed, core.RanNo, "the deadline passed before a slot was free"), out)
		return
	}
	if len(c.targets) == 0 {
		d.abandonSearch(now, c, core.Refuse(core.NoUpstream, core.RanNo, "no availability zone with service %q can be reached", c.Service), out)
		return
	}
	if c.asks >= maxAsks || c.tried > len(c.targets) {
		d.abandonSearch(now, c, c.lastRefusal, out)
		return
	}
	wait := c.tried == len(c.targets) || len(c.targets) == 1 || c.region != d.Region
	target := c.targets[0]
	if c.tried < len(c.targets) {
		target = c.targets[c.tried]
	} else {
		target = d.chooseWaitTarget(c.targets)
	}
	if wait {
		c.tried = len(c.targets)
	}
	c.tried++
	d.sendAsk(now, c, target, wait, false, out)
}

// remoteWaitPenalty is the number of waiting requests added to the wait cost of another zone, which also counts its
// queue a quarter longer: a slot there stays idle while the request travels to it.
const remoteWaitPenalty = 8

// chooseWaitTarget returns the target with the lowest wait cost.
func (d *Dispatcher) chooseWaitTarget(targets []route.Target) route.Target {
	return slices.MinFunc(targets, func(a, b route.Target) int { return d.waitCost(a) - d.waitCost(b) })
}

// waitCost returns the number of waiting requests, with a penalty for other zones.
func (d *Dispatcher) waitCost(t route.Target) int {
	if t.Zone == d.zone {
		return t.Waiting
	}
	return t.Waiting*5/4 + remoteWaitPenalty
}

func (d *Dispatcher) sendAsk(now core.Millis, c *call, target route.Target, wait, hedge bool, out *core.Effects) {
	c.asks++
	d.lastNumber++
	c.ask = &ask{number: d.lastNumber, target: target, sentAt: now, wait: wait, hedge: hedge}
	d.callsByAsk[d.lastNumber] = c
	d.Slots.Ask(now, target.LeaseHolder, d.askMessage(now, c), out)
}

func (d *Dispatcher) askMessage(now core.Millis, c *call) *slots.Ask {
	return &slots.Ask{
		Ask: c.ask.number, Zone: c.ask.target.Zone, Service: c.Service,
		Remaining: c.deadline - now, Exclude: c.exclude, Wait: c.ask.wait, Content: c.Content,
	}
}

// abandonSearch ends the search for a slot and abandons the call, unless an attempt is still in progress.
func (d *Dispatcher) abandonSearch(now core.Millis, c *call, r *core.Refusal, out *core.Effects) {
	if len(c.attempts) > 0 {
		return
	}
	if r == nil {
		r = core.Refuse(core.NoUpstream, core.RanNo, "no slot of service %q was given", c.Service)
	}
	d.abandon(now, c, r, out)
}

// retryAsk repeats an ask whose answer is late. If the zone's keeper has changed or is dead, it withdraws the ask and
// searches for a slot again, or drops the hedge that the ask was for.
func (d *Dispatcher) retryAsk(now core.Millis, c *call, out *core.Effects) {
	keeper := c.ask.target.LeaseHolder
	fresh, known := d.Router.Membership.Keeper(now, c.ask.target.Zone, c.Service)
	if known && fresh.Host == keeper && d.Router.Membership.Liveness(now, keeper) != core.Dead {
		c.ask.sentAt = now
		d.Slots.Ask(now, keeper, d.askMessage(now, c), out)
		return
	}
	hedge := c.ask.hedge
	d.withdraw(now, c, out)
	if hedge {
		return
	}
	d.findSlot(now, c, out)
}

func (d *Dispatcher) withdraw(now core.Millis, c *call, out *core.Effects) {
	if c.ask == nil {
		return
	}
	a := c.ask
	c.ask = nil
	delete(d.callsByAsk, a.number)
	d.Slots.Withdraw(now, a.target.LeaseHolder, &slots.Withdraw{Ask: a.number, Zone: a.target.Zone, Service: c.Service}, out)
}

// OnGrant uses a slot that a keeper granted, or gives it back when the call no longer needs it.
func (d *Dispatcher) OnGrant(now core.Millis, m *slots.Grant, out *core.Effects) {
	d.Router.RecordLoad(now, m.Zone, m.Service, m.Free, 0)
	c := d.callsByAsk[m.Ask]
	if c == nil || c.ask == nil || c.ask.number != m.Ask {
		d.Slots.Done(now, m.Token, m.Zone, m.Service, slots.Result{Unused: true}, out)
		return
	}
	hedge := c.ask.hedge
	c.ask = nil
	delete(d.callsByAsk, m.Ask)
	if c.answered || c.callerGone || now >= c.deadline {
		d.Slots.Done(now, m.Token, m.Zone, m.Service, slots.Result{Unused: true}, out)
		return
	}
	if r := d.quarantine(now, c); r != nil {
		d.Slots.Done(now, m.Token, m.Zone, m.Service, slots.Result{Unused: true}, out)
		d.abandonSearch(now, c, r, out)
		return
	}
	d.dispatch(now, c, m, hedge, out)
}

func (d *Dispatcher) dispatch(now core.Millis, c *call, m *slots.Grant, hedge bool, out *core.Effects) {
	c.phase = running
	c.dispatched++
	c.mayHaveRun = true
	d.lastNumber++
	a := &attempt{id: d.lastNumber, call: c, token: m.Token, zone: m.Zone, endpoint: m.Endpoint, startedAt: now}
	c.attempts[a.id] = a
	d.attempts[a.id] = a
	if hedge {
		d.counts.Hedged++
	}
	d.Slots.Use(m.Token, m.Zone, m.Service, m.Endpoint, c.deadline)
	out.Dispatches = append(out.Dispatches, core.Dispatch{
		Request: c.ID, Attempt: a.id, Endpoint: m.Endpoint, Deadline: c.deadline,
		Fresh: !c.Idempotent || c.dispatched > 1, Capture: c.capture(),
	})
}

// capture returns how many bytes of the answer the driver keeps for the ledger, or -1 for a call without a key.
func (c *call) capture() int64 {
	if !c.keyed {
		return -1
	}
	return c.settings.StoredAnswerBytes
}

// OnRefused handles a keeper's refusal to grant a slot.
func (d *Dispatcher) OnRefused(now core.Millis, m *slots.Refused, out *core.Effects) {
	if !m.Moved {
		d.Router.RecordLoad(now, m.Zone, m.Service, 0, m.Waiting)
	}
	c := d.callsByAsk[m.Ask]
	if c == nil || c.ask == nil || c.ask.number != m.Ask {
		return
	}
	hedge := c.ask.hedge
	c.ask = nil
	delete(d.callsByAsk, m.Ask)
	if hedge || c.answered {
		return
	}
	c.lastRefusal = core.Refuse(m.Kind, core.RanNo, "zone %q has no slot of service %q free", m.Zone, m.Service)
	c.lastRefusal.RetryAfter = m.RetryAfter
	if m.Kind == core.Quarantined {
		d.abandonSearch(now, c, c.lastRefusal, out)
		return
	}
	if m.Moved && c.asks < maxAsks {
		c.searchAt = now + movedRetryDelay
		return
	}
	d.askNextZone(now, c, out)
}

// OnHead handles the head of an endpoint's answer: it passes the answer on to the caller or retries.
func (d *Dispatcher) OnHead(now core.Millis, id uint64, h Head, out *core.Effects) {
	a := d.attempts[id]
	if a == nil || a.headReceived {
		return
	}
	a.headReceived = true
	a.report = h.Report
	a.status = h.Status
	a.shed = h.NotRun
	a.retryAfter = h.RetryAfter
	a.limit, a.limitNamed = h.Limit, h.LimitNamed
	c := a.call
	if c.answered || c.callerGone && !c.keyed {
		d.abort(a, out)
		return
	}
	if h.NotRun && d.isOnlyAttempt(c, a) {
		c.mayHaveRun = c.dispatched > 1 && c.Idempotent
	}
	if d.mayRetry(c, h) {
		d.abort(a, out)
		c.exclude = append(c.exclude, a.endpoint)
		d.counts.Retried++
		d.findSlot(now, c, out)
		return
	}
	d.answer(c, core.Answer{Request: c.ID, Attempt: id}, out)
	d.withdraw(now, c, out)
	for _, other := range c.attempts {
		if other != a {
			d.abort(other, out)
		}
	}
}

func (d *Dispatcher) isOnlyAttempt(c *call, a *attempt) bool {
	return len(c.attempts) == 1 && c.attempts[a.id] == a
}

// mayRetry reports whether an answer is discarded for another attempt: when the endpoint did not start the request, or
// on a server error of an idempotent request, within the retry budget.
func (d *Dispatcher) mayRetry(c *call, h Head) bool {
	serverError := h.Status == 500 || h.Status == 502 || h.Status == 503 || h.Status == 504
	if !h.NotRun && !(serverError && c.Idempotent) {
		return false
	}
	return d.spendRetry(c)
}

// spendRetry reports whether one more attempt may be made, and takes it from the retry budget.
func (d *Dispatcher) spendRetry(c *call) bool {
	if c.dispatched >= maxAttempts || !c.Replayable || c.callerGone || c.answered || len(c.attempts) > 1 || c.ask != nil {
		return false
	}
	return budgetFor(d.retryBudgets, c.Service).Spend()
}

func (d *Dispatcher) abort(a *attempt, out *core.Effects) {
	if a.aborted {
		return
	}
	a.aborted = true
	out.Aborts = append(out.Aborts, core.Abort{Attempt: a.id})
}

// OnEnd handles the end of an attempt: it releases the slot, records the outcome, and retries or refuses.
func (d *Dispatcher) OnEnd(now core.Millis, id uint64, e End, out *core.Effects) {
	a := d.attempts[id]
	if a == nil {
		return
	}
	c := a.call
	delete(d.attempts, id)
	delete(c.attempts, id)
	d.Slots.Done(now, a.token, a.zone, c.Service, d.result(a, e), out)
	d.recordCrash(now, a, e, out)
	if c.keyed && c.token != (ledger.Token{}) {
		d.recordOutcome(now, c, a, e, out)
	}
	if c.answered || c.callerGone && !c.keyed {
		d.finish(c)
		return
	}
	if a.headReceived {
		return
	}
	d.afterFailure(now, c, a, e, out)
}

func (d *Dispatcher) result(a *attempt, e End) slots.Result {
	failed := a.expired || e.Ending != Whole && !a.aborted
	return slots.Result{
		Latency: e.Latency, Report: a.report, Shed: a.shed, RetryAfter: a.retryAfter,
		Answered: a.headReceived, Limit: a.limit, LimitNamed: a.limitNamed,
		Failed: failed, Unused: a.aborted && !a.headReceived && !a.expired, Aborted: a.aborted || e.Ending == Broken || e.Ending == Truncated,
	}
}

// recordOutcome records in the ledger how a keyed request ended. If the attempt did not run, there is no outcome: the
// claim is released if the call is already answered, and kept for a retry otherwise.
func (d *Dispatcher) recordOutcome(now core.Millis, c *call, a *attempt, e End, out *core.Effects) {
	if e.Ending == NotSent || a.shed {
		if c.answered {
			d.Ledger.Release(now, 0, c.claim, c.token, false, out)
			c.token = ledger.Token{}
		}
		return
	}
	outcome := ledger.Outcome{Ran: core.RanUnknown}
	if e.Ending == Whole {
		outcome = ledger.Outcome{Ran: core.RanYes, Answer: e.Answer}
	}
	d.Ledger.Finish(now, c.claim, c.token, outcome, out)
	c.token = ledger.Token{}
}

// afterFailure retries where that is safe, or else refuses the request with what is known.
func (d *Dispatcher) afterFailure(now core.Millis, c *call, a *attempt, e End, out *core.Effects) {
	if len(c.attempts) > 0 {
		return
	}
	if e.Ending == NotSent {
		c.mayHaveRun = c.dispatched > 1 && c.Idempotent
	}
	if (e.Ending == NotSent || c.Idempotent) && now < c.deadline && d.spendRetry(c) {
		c.exclude = append(c.exclude, a.endpoint)
		d.counts.Retried++
		d.findSlot(now, c, out)
		return
	}
	kind := core.UpstreamFailed
	if now >= c.deadline {
		kind = core.DeadlinePassed
	}
	r := core.Refuse(kind, core.RanUnknown, "endpoint %s: %s", a.endpoint, e.Detail)
	d.abandon(now, c, r, out)
}
