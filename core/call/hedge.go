package call

import (
	"clementinelock/core"
	"clementinelock/core/route"
)

// hedge asks for a slot for a second attempt of an idempotent request in two cases. If the first attempt is slow and the
// tree allows hedges, it spends the hedge budget. If half of the request's time has passed, it spends the retry budget,
// since the first attempt may be on a connection that no longer answers.
func (d *Dispatcher) hedge(now core.Millis, c *call, out *core.Effects) {
	if d.Crashes.Remaining(now, c.Content) > 0 {
		return
	}
	if c.phase != running || c.hedged || !c.Idempotent || !c.Replayable || c.answered || c.ask != nil || len(c.attempts) != 1 {
		return
	}
	age := now - d.oldestAttempt(c).startedAt
	budget := budgetFor(d.hedgeBudgets, c.Service)
	due := c.settings.HedgeBudget > 0 && age >= c.settings.HedgeDelay
	if age >= (c.deadline-c.arrivedAt)/silentTimeDivisor {
		budget, due = budgetFor(d.retryBudgets, c.Service), true
	}
	if !due {
		return
	}
	c.hedged = true
	targets := d.Router.Targets(now, c.region, c.Service)
	if len(targets) == 0 || targets[0].Free == 0 || !budget.Spend() {
		return
	}
	first := d.oldestAttempt(c)
	c.exclude = append(c.exclude, first.endpoint)
	d.sendAsk(now, c, hedgeTarget(targets, first.zone), false, true, out)
}

// hedgeTarget prefers a zone with free slots other than the first attempt's, since that zone may be what is slow.
func hedgeTarget(targets []route.Target, zone string) route.Target {
	for _, target := range targets {
		if target.Free > 0 && target.Zone != zone {
			return target
		}
	}
	return targets[0]
}

func (d *Dispatcher) oldestAttempt(c *call) *attempt {
	var first *attempt
	for _, a := range c.attempts {
		if first == nil || a.id < first.id {
			first = a
		}
	}
	return first
}
