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

// driver steps a machine and carries out its effects. Steps never overlap.
type driver struct {
	machine *host.Machine
	clock   *clock.Clock
	network *link.Network
	folder  *disk.Folder
	fetch   *fetch.Client
	log     *logs.Logger
	latency func(service string, seconds float64)
	// failed is told of a broken invariant or a disk that can't be written.
	failed  func(error)
	context context.Context

	mutex     sync.Mutex
	dead      bool
	exchanges map[uint64]*open
	attempts  map[uint64]*running
	replies   map[uint64]chan core.Reply
	pending   []core.Write
	written   chan struct{}
	directory atomic.Pointer[route.Directory]
	peersAt   uint64
	ids       atomic.Uint64
	tickets   uint64
}

// open is a caller's request with the time of its arrival.
type open struct {
	*caller.Exchange
	arrived time.Time
}

// running is an attempt under way.
type running struct {
	cancel    context.CancelFunc
	attempt   *fetch.Attempt
	delivered bool
	capture   int64
}

func newDriver(ctx context.Context) *driver {
	return &driver{
		context: ctx, exchanges: map[uint64]*open{}, attempts: map[uint64]*running{},
		replies: map[uint64]chan core.Reply{}, written: make(chan struct{}, 1),
	}
}

// step runs one input under the lock and carries out its effects.
func (d *driver) step(input func(now core.Millis) core.Effects) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stepLocked(input)
}

func (d *driver) stepLocked(input func(now core.Millis) core.Effects) {
	if d.dead {
		return
	}
	defer d.catch()
	d.carryOut(input(d.clock.Now()))
	d.directory.Store(d.machine.Directory())
}

// catch turns a broken invariant into the end of the process, with the machine's last words.
func (d *driver) catch() {
	if fault := recover(); fault != nil {
		d.dead = true
		d.failed(fmt.Errorf("%v\n%s", fault, debug.Stack()))
	}
}

func (d *driver) carryOut(e core.Effects) {
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
	d.notePeers()
}

// notePeers takes the addresses of a new version.
func (d *driver) notePeers() {
	directory := d.machine.Directory()
	if directory == nil || directory.Version == d.peersAt {
		return
	}
	d.peersAt = directory.Version
	d.network.SetAddresses(d.machine.Peers())
}

// tick steps the machine's time until the context ends.
func (d *driver) tick(ctx context.Context) {
	ticker := time.NewTicker(host.TickEvery.Duration())
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
	d.pending = append(d.pending, writes...)
	select {
	case d.written <- struct{}{}:
	default:
	}
}

func (d *driver) takeWrites() []core.Write {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	batch := d.pending
	d.pending = nil
	return batch
}

// write syncs what the machine asks for, several writes at once when they wait.
func (d *driver) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.written:
			batch := d.takeWrites()
			if len(batch) == 0 {
				continue
			}
			if err := d.folder.Apply(batch...); err != nil {
				d.failed(fmt.Errorf("data folder: %w", err))
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
func (d *driver) dispatch(each core.Dispatch) {
	e := d.exchanges[each.Request]
	if e == nil {
		go d.end(each.Attempt, call.End{Ending: call.NotSent, Detail: "the request is gone"}, 0)
		return
	}
	ctx, cancel := context.WithCancel(d.context)
	d.attempts[each.Attempt] = &running{cancel: cancel, capture: each.Capture}
	remaining := each.Deadline - d.clock.Now()
	go d.run(ctx, each, &e.Request, remaining)
}

func (d *driver) run(ctx context.Context, each core.Dispatch, request *fetch.Request, remaining core.Millis) {
	if remaining <= 0 {
		d.end(each.Attempt, call.End{Ending: call.NotSent, Detail: "no time is left"}, 0)
		return
	}
	attempt, failed := d.fetch.Start(ctx, request, each.Endpoint, remaining, each.Fresh)
	if failed != nil {
		d.end(each.Attempt, *failed, 0)
		return
	}
	if !d.head(each.Attempt, attempt) {
		d.end(each.Attempt, attempt.Discard(), 0)
	}
}

// head hands in an answer's head; it returns false when the machine does not want the answer.
func (d *driver) head(id uint64, attempt *fetch.Attempt) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	r := d.attempts[id]
	if r == nil || d.dead {
		return false
	}
	r.attempt = attempt
	d.stepLocked(func(now core.Millis) core.Effects { return d.machine.Head(now, id, attempt.Head()) })
	return r.delivered
}

func (d *driver) end(id uint64, end call.End, bits int64) {
	d.step(func(now core.Millis) core.Effects {
		if r := d.attempts[id]; r != nil {
			r.cancel()
		}
		delete(d.attempts, id)
		return d.machine.End(now, id, end, bits)
	})
}

// answer delivers a request's end to its caller.
func (d *driver) answer(a core.Answer) {
	e := d.exchanges[a.Request]
	delete(d.exchanges, a.Request)
	if e == nil {
		return
	}
	d.latency(e.Arrival.Service, time.Since(e.arrived).Seconds())
	delivery := caller.Delivery{Refusal: a.Refusal, Stored: a.Stored}
	if r := d.attempts[a.Attempt]; a.Attempt != 0 && r != nil {
		r.delivered = true
		id := a.Attempt
		delivery.Attempt, delivery.Capture = r.attempt, r.capture
		delivery.Finish = func(end call.End, bits int64) { d.end(id, end, bits) }
	}
	e.Deliver(delivery)
}

func (d *driver) poll(endpoint string) {
	report, err := d.fetch.Poll(d.context, endpoint)
	d.step(func(now core.Millis) core.Effects { return d.machine.Report(now, endpoint, report, err != nil) })
}

// NextID returns a number that no request has had.
func (d *driver) NextID() uint64 {
	return d.ids.Add(1)
}

// Submit hands in a caller's request.
func (d *driver) Submit(e *caller.Exchange) {
	d.step(func(now core.Millis) core.Effects {
		d.exchanges[e.Arrival.ID] = &open{e, time.Now()}
		return d.machine.Arrive(now, e.Arrival)
	})
}

// Cancel tells that a caller has gone.
func (d *driver) Cancel(id uint64) {
	d.step(func(now core.Millis) core.Effects { return d.machine.Cancel(now, id) })
}

// Directory returns the look-ups' table.
func (d *driver) Directory() *route.Directory {
	return d.directory.Load()
}

// IssueKey returns a new idempotency key.
func (d *driver) IssueKey() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.machine.IssueKey(d.clock.Now())
}

// Ready tells whether the host takes requests.
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

// LinkCounts returns the network's counts.
func (d *driver) LinkCounts() link.Counts {
	return d.network.Stats.Read()
}

// Ask puts an operator's question and waits for its answer.
func (d *driver) Ask(ctx context.Context, ask ctrl.Request) (ctrl.Body, *core.Refusal) {
	reply := make(chan core.Reply, 1)
	d.step(func(now core.Millis) core.Effects {
		d.tickets++
		d.replies[d.tickets] = reply
		return d.machine.Operator(now, d.tickets, ask)
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
