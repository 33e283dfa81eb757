package call

import (
	"maps"
	"slices"

	"clementinelock/core"
	"clementinelock/core/ledger"
)

// replay answers with the stored outcome of an earlier copy of the request.
func (d *Dispatcher) replay(c *call, o ledger.Outcome, out *core.Effects) {
	if o.Answer == nil {
		d.refuse(c, core.Refuse(core.OutcomeLost, o.Ran, "an earlier copy was dispatched and its answer is not known"), out)
		return
	}
	d.counts.Replayed++
	d.answer(c, core.Answer{Request: c.ID, Stored: o.Answer}, out)
	d.finish(c)
}

// ranStatus returns what is known of whether the call ran. For a keyed call that is never "no", since another copy of it
// may have run or still run.
func (d *Dispatcher) ranStatus(c *call) core.Ran {
	if c.mayHaveRun || c.Key != "" && !c.Idempotent {
		return core.RanUnknown
	}
	return core.RanNo
}

func (d *Dispatcher) answer(c *call, a core.Answer, out *core.Effects) {
	core.Assert(!c.answered, "request %d is already answered", c.ID)
	core.Assert(a.Refusal == nil || a.Refusal.Ran != core.RanNo || !c.mayHaveRun, "request %d may have run but is answered as not run", c.ID)
	c.answered = true
	if a.Refusal != nil {
		d.counts.Refused++
		d.counts.RefusedBy[a.Refusal.Kind]++
	} else {
		d.counts.Answered++
	}
	out.Answers = append(out.Answers, a)
}

func (d *Dispatcher) refuse(c *call, r *core.Refusal, out *core.Effects) {
	d.answer(c, core.Answer{Request: c.ID, Refusal: r}, out)
	d.finish(c)
}

// abandon ends a call that this host will not dispatch any more. A keyed call with an attempt number waits for the
// ledger to close its attempt before it is refused.
func (d *Dispatcher) abandon(now core.Millis, c *call, r *core.Refusal, out *core.Effects) {
	if !c.keyed || c.mayHaveRun {
		r.Ran = d.ranStatus(c)
		d.refuse(c, r, out)
		return
	}
	token := c.token
	c.token = ledger.Token{}
	if c.Attempt == 0 {
		r.Ran = core.RanUnknown
		d.Ledger.Release(now, 0, c.claim, token, false, out)
		d.refuse(c, r, out)
		return
	}
	c.phase, c.closingRefusal = closing, r
	d.Ledger.Release(now, c.ID, c.claim, token, true, out)
}

// OnSettled handles the ledger's report of whether a majority has recorded the call's attempt as closed; only then is it
// certain that the attempt does not run.
func (d *Dispatcher) OnSettled(_ core.Millis, request uint64, recorded bool, out *core.Effects) {
	c := d.calls[request]
	if c == nil || c.phase != closing || c.answered {
		return
	}
	c.closingRefusal.Ran = core.RanUnknown
	if recorded {
		c.closingRefusal.Ran = core.RanNo
	}
	d.refuse(c, c.closingRefusal, out)
}

// finish removes a call once it is answered or its caller has gone, and none of its attempts is in progress.
func (d *Dispatcher) finish(c *call) {
	if !c.answered && !c.callerGone || len(c.attempts) > 0 {
		return
	}
	c.finished = true
	delete(d.calls, c.ID)
}

// Cancel handles the caller closing its connection.
func (d *Dispatcher) Cancel(now core.Millis, id uint64, out *core.Effects) {
	c := d.calls[id]
	if c == nil || c.callerGone {
		return
	}
	c.callerGone = true
	d.withdraw(now, c, out)
	switch {
	case c.answered:
		d.abortAll(c, out)
	case c.phase == claiming:
		d.Ledger.Cancel(now, id, out)
		d.refuse(c, core.Refuse(core.CallerGone, core.RanUnknown, "the caller closed its connection"), out)
	case c.phase == closing:
	case len(c.attempts) == 0:
		d.abandon(now, c, core.Refuse(core.CallerGone, core.RanNo, "the caller closed its connection"), out)
	case !c.keyed:
		d.abortAll(c, out)
		d.refuse(c, core.Refuse(core.CallerGone, core.RanUnknown, "the caller closed its connection"), out)
	}
}

func (d *Dispatcher) abortAll(c *call, out *core.Effects) {
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		if a := c.attempts[id]; !a.aborted {
			a.aborted = true
			out.Aborts = append(out.Aborts, core.Abort{Attempt: id})
		}
	}
}

func (d *Dispatcher) expire(now core.Millis, c *call, out *core.Effects) {
	d.withdraw(now, c, out)
	d.abortAll(c, out)
	for _, a := range c.attempts {
		a.expired = !a.headReceived
	}
	if c.answered || c.callerGone || c.phase == closing {
		return
	}
	r := core.Refuse(core.DeadlinePassed, core.RanUnknown, "the deadline passed")
	switch {
	case c.phase == claiming:
		d.Ledger.Cancel(now, c.ID, out)
		d.refuse(c, r, out)
	case len(c.attempts) == 0:
		d.abandon(now, c, r, out)
	default:
		d.refuse(c, r, out)
	}
}
