package daemon

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/core/crash"
	"clementinelock/core/ctrl"
	"clementinelock/core/host"
	"clementinelock/core/route"
	"clementinelock/io/caller"
	"clementinelock/io/clock"
	"clementinelock/io/disk"
	"clementinelock/io/fetch"
	"clementinelock/io/link"
	"clementinelock/io/logs"
)

// driver passes inputs to the state machine, one at a time, and executes the effects that it returns.
type driver struct {
	machine *host.Machine
	clock   *clock.Clock
	network *link.Network
	folder  *disk.Folder
	fetch   *fetch.Client
	log     *logs.Logger
	// observeLatency records the time from a request's arrival to the head of its answer.
	observeLatency func(service string, seconds float64)
	// onFailure is called on a broken invariant and on a disk that can't be written.
	onFailure func(error)
	context   context.Context

	mutex         sync.Mutex
	halted        bool
	openRequests  map[uint64]*openRequest
	attempts      map[uint64]*runningAttempt
	replies       map[uint64]chan core.Reply
	pendingWrites []core.Write
	writesQueued  chan struct{}
	directory     atomic.Pointer[route.Directory]
	peersVersion  uint64
	lastID        atomic.Uint64
	lastTicket    uint64
	// abandoned holds, by endpoint, the requests under which it may still end.
	abandoned map[string][]crash.Digest
}

// openRequest is a caller's request with its arrival time.
type openRequest struct {
	*caller.Exchange
	arrived time.Time
}

// runningAttempt is an attempt in progress.
type runningAttempt struct {
	cancel    context.CancelFunc
	attempt   *fetch.Attempt
	delivered bool
	capture   int64
}

func newDriver(ctx context.Context) *driver {
	return &driver{
		context: ctx, openRequests: map[uint64]*openRequest{}, attempts: map[uint64]*runningAttempt{},
		replies: map[uint64]chan core.Reply{}, writesQueued: make(chan struct{}, 1),
		abandoned: map[string][]crash.Digest{},
	}
}

// step passes one input to the machine under the lock and executes its effects.
func (d *driver) step(input func(now core.Millis) core.Effects) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stepLocked(input)
}

func (d *driver) stepLocked(input func(now core.Millis) core.Effects) {
	if d.halted {
		return
	}
	defer d.haltOnPanic()
	d.execute(input(d.clock.Now()))
	d.directory.Store(d.machine.Directory())
}

// haltOnPanic halts the driver when the machine panics on a broken invariant, and reports the panic with its stack,
// which ends the process.
func (d *driver) haltOnPanic() {
	if panicValue := recover(); panicValue != nil {
		d.halted = true
		d.onFailure(fmt.Errorf("%v\n%s", panicValue, debug.Stack()))
	}
}

func (d *driver) execute(e core.Effects) {
	for _, line := range e.Logs {
		d.log.Info(line.Part, line.Text)
	}
	d.queueWrites(e.Writes)
	for _, s := range e.Sends {
		d.network.Send(s.To, s.Message)
	}
	for _, each := range e.Dispatches {
		d.dispatch(each)
	}
	for _, each := range e.Aborts {
		if r := d.attempts[each.Attempt]; r != nil {
			r.cancel()
		}
	}
	for _, each := range e.Answers {
		d.answer(each)
	}
	for _, each := range e.Replies {
		if reply := d.replies[each.Ticket]; reply != nil {
			delete(d.replies, each.Ticket)
			reply <- each
		}
	}
	for _, each := range e.Polls {
		go d.poll(each.Endpoint)
	}
	d.updatePeers()
}

// updatePeers updates the peers' addresses when the tree has a new version.
func (d *driver) updatePeers() {
	directory := d.machine.Directory()
	if directory == nil || directory.Version == d.peersVersion {
		return
	}
	d.peersVersion = directory.Version
	d.network.SetAddresses(d.machine.Peers())
}

// tick passes the machine a tick at each interval until the context ends.
func (d *driver) tick(ctx context.Context) {
	ticker := time.NewTicker(host.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.step(d.machine.Tick)
		}
	}
}

func (d *driver) queueWrites(writes []core.Write) {
	if len(writes) == 0 {
		return
	}
	d.pendingWrites = append(d.pendingWrites, writes...)
	select {
	case d.writesQueued <- struct{}{}:
	default:
	}
}

func (d *driver) takeWrites() []core.Write {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	batch := d.pendingWrites
	d.pendingWrites = nil
	return batch
}

// syncWrites writes what the machine queues to disk until the context ends; writes that wait together share one sync.
func (d *driver) syncWrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.writesQueued:
			batch := d.takeWrites()
			if len(batch) == 0 {
				continue
			}
			if err := d.folder.Apply(batch...); err != nil {
				d.onFailure(fmt.Errorf("data folder: %w", err))
				return
			}
			last := batch[len(batch)-1].Seq
			d.step(func(now core.Millis) core.Effects { return d.machine.Synced(now, last) })
		}
	}
}

func (d *driver) receive(from string, message core.Message) {
	d.step(func(now core.Millis) core.Effects { return d.machine.Receive(now, from, message) })
}

// dispatch starts an attempt.
func (d *driver) dispatch(spec core.Dispatch) {
	e := d.openRequests[spec.Request]
	if e == nil {
		go d.endAttempt(spec.Attempt, call.End{Ending: call.NotSent, Detail: "the request is gone"}, 0)
		return
	}
	ctx, cancel := context.WithCancel(d.context)
	d.attempts[spec.Attempt] = &runningAttempt{cancel: cancel, capture: spec.Capture}
	remaining := spec.Deadline - d.clock.Now()
	go d.runAttempt(ctx, spec, e.Exchange, remaining)
}

func (d *driver) runAttempt(ctx context.Context, spec core.Dispatch, e *caller.Exchange, remaining core.Millis) {
	if remaining <= 0 {
		d.endAttempt(spec.Attempt, call.End{Ending: call.NotSent, Detail: "no time is left"}, 0)
		return
	}
	attempt, failed := d.fetch.Start(ctx, &e.Request, spec.Endpoint, remaining, spec.Fresh)
	if failed != nil {
		d.endAttempt(spec.Attempt, *failed, 0)
		if failed.Abandoned && failed.Ending != call.NotSent {
			d.watchAbandoned(spec.Endpoint, e.Arrival.Content)
		}
		return
	}
	if !d.handleHead(spec.Attempt, attempt) {
		d.endAttempt(spec.Attempt, attempt.Discard(), 0)
	}
}

// handleHead passes an answer's head to the machine; it returns false if the machine does not deliver the answer.
func (d *driver) handleHead(id uint64, attempt *fetch.Attempt) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.attempts[id]
	if r == nil || d.halted {
		return false
	}
	r.attempt = attempt
	d.stepLocked(func(now core.Millis) core.Effects { return d.machine.Head(now, id, attempt.Head()) })
	return r.delivered
}

func (d *driver) endAttempt(id uint64, end call.End, bits int64) {
	d.step(func(now core.Millis) core.Effects {
		if r := d.attempts[id]; r != nil {
			r.cancel()
		}
		delete(d.attempts, id)
		return d.machine.End(now, id, end, bits)
	})
}

// answer delivers a request's outcome to its caller.
func (d *driver) answer(a core.Answer) {
	e := d.openRequests[a.Request]
	delete(d.openRequests, a.Request)
	if e == nil {
		return
	}
	d.observeLatency(e.Arrival.Service, time.Since(e.arrived).Seconds())
	delivery := caller.Delivery{Refusal: a.Refusal, Stored: a.Stored}
	if r := d.attempts[a.Attempt]; a.Attempt != 0 && r != nil {
		r.delivered = true
		id := a.Attempt
		delivery.Attempt, delivery.Capture = r.attempt, r.capture
		delivery.Finish = func(end call.End, bits int64) { d.endAttempt(id, end, bits) }
	}
	e.Deliver(delivery)
}

func (d *driver) poll(endpoint string) {
	report, err := d.fetch.Poll(d.context, endpoint)
	d.step(func(now core.Millis) core.Effects { return d.machine.Report(now, endpoint, report, err != nil) })
}

// NextID returns a request number that has not been used.
func (d *driver) NextID() uint64 {
	return d.lastID.Add(1)
}

// Submit passes a caller's request to the machine.
func (d *driver) Submit(e *caller.Exchange) {
	d.step(func(now core.Millis) core.Effects {
		d.openRequests[e.Arrival.ID] = &openRequest{e, time.Now()}
		return d.machine.Arrive(now, e.Arrival)
	})
}

// Cancel reports to the machine that a caller has disconnected.
func (d *driver) Cancel(id uint64) {
	d.step(func(now core.Millis) core.Effects { return d.machine.Cancel(now, id) })
}

// Directory returns the look-up table, or nil before there is one.
func (d *driver) Directory() *route.Directory {
	return d.directory.Load()
}

// IssueKey returns a new idempotency key.
func (d *driver) IssueKey() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.machine.IssueKey(d.clock.Now())
}

// Ready reports whether the host takes requests, and if not, why.
func (d *driver) Ready() (ready bool, reason string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.machine.Ready()
}

// Dump returns the machine's state.
func (d *driver) Dump() host.Dump {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.machine.Dump(d.clock.Now())
}

// LinkCounts returns the counters of the peer network.
func (d *driver) LinkCounts() link.Counts {
	return d.network.Stats.Read()
}

// Ask passes an operator's request to the machine and waits for the reply.
func (d *driver) Ask(ctx context.Context, ask ctrl.Request) (ctrl.Body, *core.Refusal) {
	reply := make(chan core.Reply, 1)
	d.step(func(now core.Millis) core.Effects {
		d.lastTicket++
		d.replies[d.lastTicket] = reply
		return d.machine.RequestControl(now, d.lastTicket, ask)
	})
	select {
	case r := <-reply:
		if body, ok := r.Body.(*ctrl.Body); ok && body != nil {
			return *body, r.Refusal
		}
		return ctrl.Body{}, r.Refusal
	case <-ctx.Done():
		return ctrl.Body{}, core.Refuse(core.NoLeader, core.RanUnknown, "the question was given up")
	}
}
