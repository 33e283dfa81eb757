package fleet

import (
	"context"

	"clementinelock/core"
	"clementinelock/core/quota"
)

// Acquire takes a token of a customer's quota; it waits for a control host if this host holds none, and returns a refusal if
// the quota is used up or no control host has answered.
func (e *Entry) Acquire(ctx context.Context, customer string, version uint64) *core.Refusal {
	decided := make(chan quota.Decision, 1)
	d := e.takeQuota(customer, version, decided)
	if d.Result == quota.Pending {
		select {
		case d = <-decided:
		case <-ctx.Done():
			e.cancelQuota(customer, d.ID, decided)
			return core.Refuse(core.QuotaUnreached, core.RanNo, "customer %q: the request ended before a control host gave a token", customer)
		}
	}
	switch d.Result {
	case quota.Granted:
		return nil
	case quota.Exceeded:
		refusal := core.Refuse(core.QuotaExceeded, core.RanNo, "customer %q has used up its quota", customer)
		refusal.RetryAfter = d.RetryAfter
		return refusal
	}
	return core.Refuse(core.QuotaUnreached, core.RanNo, "customer %q: no control host gave a token in time", customer)
}

// takeQuota takes a token, or has the decision sent to decided.
func (e *Entry) takeQuota(customer string, version uint64, decided chan quota.Decision) (d quota.Decision) {
	e.step(func(now core.Millis) core.Effects {
		out := &core.Effects{}
		d = e.quotas.Take(now, customer, version, out)
		if d.Result == quota.Pending {
			e.acquiring[d.ID] = decided
		}
		return *out
	})
	return d
}

// cancelQuota ends the wait of a request. A token that it was given at this moment is returned.
func (e *Entry) cancelQuota(customer string, id uint64, decided chan quota.Decision) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.acquiring, id)
	select {
	case d := <-decided:
		if d.Result == quota.Granted {
			e.quotas.Return(customer)
		}
	default:
		e.quotas.Cancel(customer, id)
	}
}

// Return gives back the token of a request that has not run.
func (e *Entry) Return(customer string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.quotas.Return(customer)
}

func (e *Entry) receiveGrant(now core.Millis, from string, g *quota.Grant) core.Effects {
	out := &core.Effects{}
	e.decide(e.quotas.Receive(now, from, g, out))
	return *out
}

// decide passes decisions to the requests that wait for them.
func (e *Entry) decide(decisions []quota.Decision) {
	for _, d := range decisions {
		if decided := e.acquiring[d.ID]; decided != nil {
			delete(e.acquiring, d.ID)
			decided <- d
		}
	}
}

// quotaCounts returns the counts of decisions by quota.
func (e *Entry) quotaCounts() quota.ClientCounts {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.quotas.Counts()
}
