package call

import (
	"maps"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/core/ledger"
	"clementinelock/core/retry"
	"clementinelock/core/route"
	"clementinelock/core/slots"
	"clementinelock/core/tree"
)

// Intervals and bounds of a call.
const (
	// askRetryInterval is how long an unanswered ask for a slot waits before it is sent again.
	askRetryInterval = 200 * core.Millisecond
	maxAttempts      = 3
	// silentTimeDivisor divides the time between a request's arrival and its deadline: an attempt that has not answered
	// within that part of it is hedged.
	silentTimeDivisor = 2
	maxAsks           = 24
	// movedRetryDelay is how long a call waits before it looks for a slot again after a zone's keeper has moved.
	movedRetryDelay = 50 * core.Millisecond
)

// Arrival is a caller's request as the driver read it.
type Arrival struct {
	// ID is unique in the life of the process.
	ID      uint64
	Service string
	// Idempotent reports whether the method may be repeated.
	Idempotent bool
	// Key is the idempotency key with its scope, empty when the request has none.
	Key string
	// KeyText is the key as the caller sent it.
	KeyText string
	// Attempt is the caller's attempt number for the key; 0 when the caller gives none.
	Attempt uint64
	Digest  uint64
	// Content identifies the request by its content and its caller's credentials.
	Content crash.Digest
	// Remaining is the time left until the caller's deadline; 0 when the caller gives none.
	Remaining core.Millis
	// Replayable reports whether the driver can send the body more than once.
	Replayable bool
}

// Head is the start of an endpoint's answer.
type Head struct {
	Status int
	// NotRun reports whether the endpoint says that it did not start the request.
	NotRun bool
	Report *core.Report
	// RetryAfter is how long the endpoint asks for no requests; 0 means that it does not ask.
	RetryAfter core.Millis
	// Limit is how many requests per second the endpoint takes from all hosts together; it holds if LimitNamed is set.
	Limit      float64
	LimitNamed bool
}

// Ending says how an attempt ended.
type Ending int

// The endings of an attempt: a whole answer, or a failure before the request's first byte was sent (NotSent), before the
// answer's head (Broken) or after it (Truncated).
const (
	Whole Ending = iota
	NotSent
	Broken
	Truncated
)

// End is the end of an attempt; Answer is set when the answer was captured for storage, Detail when the attempt failed.
type End struct {
	Ending  Ending
	Latency core.Millis
	Answer  *core.StoredAnswer
	Detail  string
	// EndpointGone means that the endpoint refuses connections since the attempt broke off.
	EndpointGone bool
	// Abandoned means that this host ended the attempt, by its deadline or because it was cancelled.
	Abandoned bool
}

type phase int

const (
	claiming phase = iota
	asking
	running
	closing
)

// call is one request in progress.
type call struct {
	Arrival
	phase     phase
	settings  *tree.Service
	arrivedAt core.Millis
	deadline  core.Millis
	claim     ledger.Claim
	token     ledger.Token
	keyed     bool
	region    string
	targets   []route.Target
	// tried counts the targets asked in the current search for a slot; it exceeds len(targets) once an ask that waits is
	// sent. asks counts the asks of all searches.
	tried int
	asks  int
	// searchAt is when the next search begins after a keeper has moved; 0 means that none is due.
	searchAt       core.Millis
	ask            *ask
	attempts       map[uint64]*attempt
	dispatched     int
	mayHaveRun     bool
	answered       bool
	hedged         bool
	callerGone     bool
	finished       bool
	exclude        []string
	lastRefusal    *core.Refusal
	closingRefusal *core.Refusal
}

// ask is a call's pending request for a slot.
type ask struct {
	number uint64
	target route.Target
	sentAt core.Millis
	wait   bool
	hedge  bool
}

// attempt is one dispatch of a request to an endpoint.
type attempt struct {
	id           uint64
	call         *call
	token        slots.Token
	zone         string
	endpoint     string
	startedAt    core.Millis
	headReceived bool
	// status is that of the answer's head.
	status int
	// shed reports whether the endpoint answered that it did not start the request.
	shed   bool
	report *core.Report
	// retryAfter is how long the endpoint asked for no requests.
	retryAfter core.Millis
	// limit is how many requests per second the endpoint takes, if limitNamed is set.
	limit      float64
	limitNamed bool
	aborted    bool
	// expired reports whether the deadline passed before the answer's head arrived.
	expired bool
}

// Counts are the dispatcher's totals since the start.
type Counts struct {
	Arrived, Answered, Refused, Retried, Hedged, Replayed uint64
	RefusedBy                                             map[core.Kind]uint64
}

// Dispatcher handles the calls of one host. Set the exported fields before use.
type Dispatcher struct {
	Region string
	Rand   *rand.Rand
	Router *route.Router
	Slots  *slots.Node
	Ledger *ledger.Client
	// AllowCrossRegion reports whether a request may go to another region now, and charges it to the link's limit.
	AllowCrossRegion func(now core.Millis, region, service string) bool
	// Crashes knows the requests that crash endpoints.
	Crashes *crash.Node

	view         *tree.View
	zone         string
	regions      []string
	calls        map[uint64]*call
	callsByAsk   map[uint64]*call
	attempts     map[uint64]*attempt
	lastNumber   uint64
	retryBudgets map[string]*retry.Budget
	hedgeBudgets map[string]*retry.Budget
	arrivals     map[string]uint64
	counts       Counts
}

// Start prepares the dispatcher for the host's zone.
func (d *Dispatcher) Start(zone string) {
	d.zone = zone
	d.calls = map[uint64]*call{}
	d.callsByAsk = map[uint64]*call{}
	d.attempts = map[uint64]*attempt{}
	d.retryBudgets = map[string]*retry.Budget{}
	d.hedgeBudgets = map[string]*retry.Budget{}
	d.arrivals = map[string]uint64{}
	d.counts.RefusedBy = map[core.Kind]uint64{}
}

// SetView applies a new version of the tree.
func (d *Dispatcher) SetView(view *tree.View) {
	d.view = view
	d.regions = nil
	for _, region := range view.Regions {
		d.regions = append(d.regions, region.Name)
	}
	for _, service := range view.Services {
		s := view.Service(d.zone, service)
		if s == nil {
			continue
		}
		budgetFor(d.retryBudgets, service).Ratio = s.RetryBudget
		budgetFor(d.hedgeBudgets, service).Ratio = s.HedgeBudget
	}
}

func budgetFor(budgets map[string]*retry.Budget, service string) *retry.Budget {
	b := budgets[service]
	if b == nil {
		b = &retry.Budget{}
		budgets[service] = b
	}
	return b
}

// Arrive accepts a caller's request; the answer is an effect of this or a later event.
func (d *Dispatcher) Arrive(now core.Millis, a Arrival, out *core.Effects) {
	d.counts.Arrived++
	c := &call{Arrival: a, attempts: map[uint64]*attempt{}, keyed: a.Key != "" && !a.Idempotent}
	core.Assert(d.calls[a.ID] == nil, "request ID %d is already in use", a.ID)
	d.calls[a.ID] = c
	if d.view == nil || d.view.Version == 0 {
		d.refuse(c, core.Refuse(core.NotReady, d.ranStatus(c), "this host has no configuration yet"), out)
		return
	}
	c.settings = d.view.Service(d.zone, a.Service)
	if c.settings == nil {
		d.refuse(c, core.Refuse(core.UnknownService, d.ranStatus(c), "service %q is not in version %d of the tree", a.Service, d.view.Version), out)
		return
	}
	if r := d.quarantine(now, c); r != nil {
		d.refuse(c, r, out)
		return
	}
	d.arrivals[a.Service]++
	c.arrivedAt, c.deadline = now, now+d.timeout(c)
	budgetFor(d.retryBudgets, a.Service).RecordFirst()
	budgetFor(d.hedgeBudgets, a.Service).RecordFirst()
	if c.keyed {
		d.claimKey(now, c, out)
		return
	}
	d.findSlot(now, c, out)
}

// timeout returns the time that the call has: the caller's, up to the service's maximum, or the service's default.
func (d *Dispatcher) timeout(c *call) core.Millis {
	if c.Remaining == 0 {
		return c.settings.DefaultDeadline
	}
	return min(c.Remaining, c.settings.MaxDeadline)
}

func (d *Dispatcher) claimKey(now core.Millis, c *call, out *core.Effects) {
	key, err := ledger.ParseKey(c.KeyText, d.regions)
	if err != nil {
		d.refuse(c, core.Refuse(core.BadRequest, core.RanUnknown, "%v", err), out)
		return
	}
	key.Text = c.Key
	c.phase = claiming
	c.claim = ledger.Claim{Key: key, Digest: c.Digest, Attempt: max(1, c.Attempt), Deadline: c.deadline}
	d.Ledger.Claim(now, c.ID, c.claim, out)
}

// OnDecision handles the ledger's decision on a claim.
func (d *Dispatcher) OnDecision(now core.Millis, request uint64, decision ledger.Decision, out *core.Effects) {
	c := d.calls[request]
	switch {
	case c == nil || c.finished:
		if decision.Run {
			d.Ledger.Release(now, 0, claimOf(c), decision.Token, false, out)
		}
	case decision.Refusal != nil:
		d.refuse(c, decision.Refusal, out)
	case decision.Outcome != nil:
		d.replay(c, *decision.Outcome, out)
	default:
		c.token = decision.Token
		d.findSlot(now, c, out)
	}
}

func claimOf(c *call) ledger.Claim {
	if c == nil {
		return ledger.Claim{}
	}
	return c.claim
}

// Tick expires calls past their deadline, repeats unanswered asks for slots, and hedges slow attempts.
func (d *Dispatcher) Tick(now core.Millis, out *core.Effects) {
	for _, id := range slices.Sorted(maps.Keys(d.calls)) {
		c := d.calls[id]
		if c == nil {
			continue
		}
		switch {
		case now >= c.deadline:
			d.expire(now, c, out)
		case c.searchAt != 0 && now >= c.searchAt:
			c.searchAt = 0
			d.findSlot(now, c, out)
		case c.ask != nil && now-c.ask.sentAt >= askRetryInterval:
			d.retryAsk(now, c, out)
		default:
			d.hedge(now, c, out)
		}
	}
}

// AttemptTarget returns the zone and the service of an attempt in progress.
func (d *Dispatcher) AttemptTarget(id uint64) (zone, service string, ok bool) {
	a := d.attempts[id]
	if a == nil {
		return "", "", false
	}
	return a.zone, a.call.Service, true
}

// OpenCalls returns the number of calls in progress, including answered ones whose answers are still streaming.
func (d *Dispatcher) OpenCalls() int {
	return len(d.calls)
}

// Totals returns a copy of the dispatcher's counts.
func (d *Dispatcher) Totals() Counts {
	counts := d.counts
	counts.RefusedBy = maps.Clone(counts.RefusedBy)
	return counts
}

// Arrivals returns how many requests of each service have arrived since the start.
func (d *Dispatcher) Arrivals() map[string]uint64 {
	return maps.Clone(d.arrivals)
}
