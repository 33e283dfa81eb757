package call

import (
	"maps"
	"slices"

	"clementinelock/core"
	"clementinelock/core/crash"
)

// quarantine returns a refusal if the call must not be sent to endpoints. An earlier attempt may have run.
func (d *Dispatcher) quarantine(now core.Millis, c *call) *core.Refusal {
	remaining := d.Crashes.Remaining(now, c.Content)
	if remaining == 0 {
		return nil
	}
	if c.mayHaveRun {
		return core.Refuse(core.UpstreamFailed, core.RanUnknown, "endpoints ended under request %s; it is not sent again", c.Content)
	}
	r := core.Refuse(core.Quarantined, d.ranStatus(c), "endpoints ended under request %s; it is not sent to any for %s", c.Content, remaining)
	r.RetryAfter = remaining
	return r
}

// recordCrash records what the end of an attempt says about its request: whether an endpoint has ended under it, or has
// run it to its end.
func (d *Dispatcher) recordCrash(now core.Millis, a *attempt, e End, out *core.Effects) {
	switch {
	case e.EndpointGone:
		d.Crashes.RecordCrash(now, crash.Report{Digest: a.call.Content, Endpoint: a.endpoint}, out)
	case e.Ending == Whole && a.headReceived && !a.shed && a.status < statusServerError:
		d.Crashes.RecordAnswer(now, a.call.Content)
	}
}

// statusServerError is the lowest status of an answer that reports a failure of the endpoint.
const statusServerError = 500

// OnQuarantine cancels the calls of a request that must no longer be sent, since they may wait for a slot or in the queue
// of an endpoint.
func (d *Dispatcher) OnQuarantine(now core.Millis, digest crash.Digest, out *core.Effects) {
	for _, id := range slices.Sorted(maps.Keys(d.calls)) {
		c := d.calls[id]
		if c == nil || c.Content != digest || c.answered || c.callerGone || c.phase == claiming || c.phase == closing {
			continue
		}
		d.withdraw(now, c, out)
		if len(c.attempts) == 0 {
			d.abandon(now, c, d.quarantine(now, c), out)
			continue
		}
		d.abortAll(c, out)
		d.refuse(c, core.Refuse(core.UpstreamFailed, core.RanUnknown, "the request was quarantined while it was in flight"), out)
	}
}
