package fleet

import "clementinelock/core"

const (
	// minPause is the time without an input from which on the next ones may have waited for this process; ticks come each 50 ms.
	minPause = 250 * core.Millisecond
	// minOrderPause is the same for orders of an operator, who gives them to another host only after some time.
	minOrderPause = 500 * core.Millisecond
	// resumeDelay is how long after a pause inputs are read that arrived before its end.
	resumeDelay = 300 * core.Millisecond
)

// pause is the latest time in which this process did not run.
type pause struct {
	// inputAt is when the latest input came.
	inputAt core.Millis
	// beganAt and endedAt are the latest pause; orderEndedAt is the end of the latest one that counts for orders.
	beganAt, endedAt core.Millis
	orderEndedAt     core.Millis
}

// newPause returns the state of a process that has just started.
func newPause(now core.Millis) pause {
	return pause{inputAt: now, beganAt: now, endedAt: now - resumeDelay, orderEndedAt: now - resumeDelay}
}

// record records an input, and the pause that it ends.
func (p *pause) record(now core.Millis) {
	gap := now - p.inputAt
	if gap > minPause {
		if p.inputAt >= p.endedAt+resumeDelay {
			p.beganAt = p.inputAt
		}
		p.endedAt = now
	}
	if gap > minOrderPause {
		p.orderEndedAt = now
	}
	p.inputAt = now
}

// mayBeOldOrder reports whether an order that is read now may have come before a pause.
func (p *pause) mayBeOldOrder(now core.Millis) bool {
	return now < p.orderEndedAt+resumeDelay
}

// maxAge returns how old a message may be that was read an age ago: one that was read right after a pause may have been sent at
// its begin.
func (p *pause) maxAge(now, age core.Millis) core.Millis {
	if readAt := now - age; readAt >= p.endedAt && readAt < p.endedAt+resumeDelay {
		return now - p.beganAt
	}
	return age
}
