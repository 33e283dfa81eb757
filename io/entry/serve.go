package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/core/creds"
	"clementinelock/core/pick"
	"clementinelock/core/routes"
	"clementinelock/io/pool"
	"clementinelock/io/proto"
)

// RequestRecord describes how one request was handled, for the log and the metrics.
type RequestRecord struct {
	RequestID string
	Route     string
	Service   string
	Version   uint64
	Attempts  int
	Hedged    bool
	Endpoint  string
	Zone      string
	Ending    string
	Status    int
	Kind      core.Kind
	Detail    string
	// NoRetryReason is set when a further attempt was due but not made.
	NoRetryReason NoRetryReason
	Wait          core.Millis
	Load          float64
	LoadAge       core.Millis
	// ContactAge is how old the host's contact with a control host was when the endpoint was chosen, -1 before the first.
	ContactAge    core.Millis
	Usable        int
	Cold          bool
	Object        string
	Affinity      pick.Affinity
	Latency       core.Millis
	CallerTimeout core.Millis
	// Caller is the address that the request came from; Digest is the same in all repetitions of the request.
	Caller string
	Digest crash.Digest
	// Helper is the entry host that the request was handed over to last, Handovers how often it was; From is the entry host
	// that handed it over to this one.
	Helper    string
	Handovers int
	From      string
	// Customer is the name of the customer whose key the request had.
	Customer string
}

// serve handles one request and hands its reply to the writer.
func (c *conn) serve(x *exchange) {
	s := c.server
	record := RequestRecord{RequestID: x.request.ID, CallerTimeout: x.timeout, Caller: addressOf(c.conn), Digest: x.digest}
	if x.handover != nil {
		record.From = record.Caller
	}
	r := s.handle(c.ctx, x, &record)
	c.serving.Add(-1)
	if r.answer != nil {
		c.holdAnswer(x, r.answer)
	}
	if x.rest != nil {
		if !x.rest.abandon() {
			// The end of the body was not reached, so the next request can't be told from the rest of it.
			r.close, x.closes = true, true
		}
		close(x.bodyRead)
	}
	x.reply <- r
	record.Status, record.Latency = r.status, s.Now()-x.arrived
	s.OnRequest(record)
}

// handle finds the request's route and runs the attempts that the route allows; it refuses the request if there is no
// route or no time is left.
func (s *Server) handle(ctx context.Context, x *exchange, record *RequestRecord) *reply {
	table := s.table.Load()
	if table == nil {
		return refuse(record, core.Refuse(core.NotReady, core.RanNo, "no routes received yet"))
	}
	record.Version = table.Version
	if x.handover != nil {
		if refusal := s.enterHandover(x, table.Version); refusal != nil {
			return refuse(record, refusal)
		}
		defer s.leaveHandover()
	}
	if s.finishing.Load() {
		refusal := core.Refuse(core.Stopping, core.RanNo, "this host takes no more requests")
		// Other hosts take the request at once.
		refusal.RetryAfter = 0
		return refuse(record, refusal)
	}
	route := table.Find(hostOf(x.request.Host), x.path)
	if route == nil {
		return refuse(record, core.Refuse(core.UnknownService, core.RanNo, "no route for host %q and path %q", x.request.Host, x.path))
	}
	record.Route = route.Name
	x.request.Idempotent = route.Idempotent
	if refusal := s.identify(x, table, route); refusal != nil {
		return refuse(record, refusal)
	}
	record.Customer = x.identity.name()
	if !route.Idempotent {
		select {
		case <-x.precedingWritten:
		case <-ctx.Done():
		}
	}
	deadline := x.arrived + timeoutFor(x, route)
	left := deadline - s.Now()
	if ctx.Err() != nil || left <= 0 {
		return refuse(record, core.Refuse(core.Overloaded, core.RanNo, "deadline passed before the request was started"))
	}
	if !x.conn.begin(x) {
		return refuse(record, core.Refuse(core.Stopping, core.RanNo, "a preceding answer has closed the connection"))
	}
	ctx, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	regions, ok := creds.IntersectRegions(route.Regions, x.identity.regions())
	if !ok {
		return refuse(record, core.Refuse(core.NoUpstream, core.RanNo, "route %q allows regions %v and customer %q %v, which have none in common", route.Name, route.Regions, record.Customer, x.identity.regions()))
	}
	if refusal := s.charge(ctx, x); refusal != nil {
		return refuse(record, refusal)
	}
	return s.settle(x, record.Customer, s.runAttempts(ctx, x, route, regions, deadline, record))
}

// timeoutFor returns how long after its arrival a request must have its final answer.
func timeoutFor(x *exchange, route *routes.Route) core.Millis {
	timeout := x.timeout
	if timeout == 0 {
		timeout = defaultRequestTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return timeout
}

func refuse(record *RequestRecord, refusal *core.Refusal) *reply {
	record.Kind, record.Detail = refusal.Kind, refusal.Detail
	row := core.Answers[refusal.Kind]
	return &reply{status: row.Status, retryAfter: refusal.RetryAfter, kind: refusal.Kind, ran: refusal.Ran}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	choice  pick.Choice
	result  pool.Result
	outcome pick.Outcome
	// refusal is that of the entry host which the request was handed over to.
	refusal *core.Refusal
	// counted is how many attempts it counted for in attempts.reached, unused how many of them have reached no endpoint.
	counted int
	unused  int
}

// endpoint returns the name of the endpoint that the attempt went to.
func (a attemptResult) endpoint() string {
	if a.choice.Endpoint == nil {
		return ""
	}
	return a.choice.Endpoint.ID
}

// attempts holds the state of one request from its first attempt to its reply.
type attempts struct {
	server      *Server
	exchange    *exchange
	route       *routes.Route
	deadline    core.Millis
	record      *RequestRecord
	pickRequest pick.Request
	results     chan attemptResult
	// ended is closed when the request has its reply; results that come later are dropped.
	ended    chan struct{}
	inFlight int
	// reached counts the attempts that endpoints may have run, and those in flight; an entry host that the request was handed
	// over to counts for all attempts that it was allowed.
	reached int
	// counted is set once the request is in a budget of extra attempts.
	counted bool
	// handsOver is set if the next attempt goes to another entry host.
	handsOver bool
	// triedHelpers lists the entry hosts that the request was handed over to.
	triedHelpers []string
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
	// hedgeDelay is how long an answer may take before a hedged attempt starts.
	// An attempt that is superseded after this delay counts as lost.
	hedgeDelay core.Millis
}

// runAttempts sends the request to one endpoint after another until one answers or no further attempt is allowed.
func (s *Server) runAttempts(ctx context.Context, x *exchange, route *routes.Route, regions []string, deadline core.Millis, record *RequestRecord) *reply {
	service := route.Choose(rand.Float64())
	record.Service = service
	t := &attempts{server: s, exchange: x, route: route, deadline: deadline, record: record, results: make(chan attemptResult), ended: make(chan struct{})}
	defer close(t.ended)
	t.pickRequest = pick.Request{Service: service, Regions: regions, Objective: route.Objective, Priority: x.identity.priority(route)}
	if route.Affinity && x.object != "" {
		t.pickRequest.Object = route.Prefix + x.object
	}
	record.Object = x.object
	if x.handover != nil {
		t.counted, t.reached = x.handover.counted, x.handover.reached
		t.count()
		if t.reached >= t.mayReach() {
			return refuse(record, core.Refuse(core.Overloaded, core.RanNo, "no attempt left of a request that was handed over after %d", t.reached))
		}
		if t.reached > 0 && !t.spendRetry(pick.Lost) {
			return refuse(record, core.Refuse(core.Overloaded, core.RanNo, "no budget for a further attempt of a request that was handed over"))
		}
	}
	t.handsOver = t.goesToHelper()
	// The end of the request cancels an attempt that another one has superseded.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errSuperseded)
	defer s.trackInFlight(x.digest, cancel)()
	t.hedgeDelay = t.computeHedgeDelay()
	if refusal := t.start(ctx); refusal != nil {
		return refuse(record, refusal)
	}
	r := t.awaitAnswer(ctx)
	r.reached = t.reached
	if x.handover != nil {
		r.reached -= x.handover.reached
	}
	return r
}

// count adds the request to the budget of extra attempts of its service, once.
func (t *attempts) count() {
	if t.counted {
		return
	}
	t.counted = true
	t.server.mutex.Lock()
	defer t.server.mutex.Unlock()
	t.server.Picks.CountRequest(t.pickRequest.Service)
}

// errSuperseded cancels an attempt whose request was answered by another one.
var errSuperseded = errors.New("superseded by another attempt that was answered first")

// start chooses an endpoint and sends the request to it.
func (t *attempts) start(ctx context.Context) *core.Refusal {
	s, record := t.server, t.record
	if refusal := s.quarantine(t.exchange.digest); refusal != nil {
		return refusal
	}
	if refusal := s.checkKey(t.exchange); refusal != nil {
		return refusal
	}
	if refusal := t.checkStopTime(); refusal != nil {
		return refusal
	}
	if t.handsOver {
		if started, refusal := t.startHandover(ctx); started || refusal != nil {
			return refusal
		}
	}
	t.pickRequest.Remaining = t.deadline - s.Now()
	t.count()
	s.mutex.Lock()
	choice, refusal := s.Picks.Choose(s.Now(), t.pickRequest)
	s.mutex.Unlock()
	if refusal != nil {
		return refusal
	}
	record.Attempts++
	record.Endpoint, record.Zone = choice.Endpoint.ID, choice.Endpoint.Zone
	record.Wait, record.Load, record.Usable, record.Cold, record.Affinity = choice.Wait, choice.Load, choice.Usable, choice.Cold, choice.Affinity
	record.LoadAge, record.ContactAge = choice.LoadAge, choice.ContactAge
	t.pickRequest.Tried = append(t.pickRequest.Tried, choice.Endpoint.ID)
	t.inFlight++
	t.reached++
	extra := s.customerHeader(t.exchange)
	go func() { t.deliver(t.send(ctx, choice, extra)) }()
	return nil
}

// deliver hands over the result of an attempt, unless the request has its reply already.
func (t *attempts) deliver(result attemptResult) {
	select {
	case t.results <- result:
	case <-t.ended:
		result.result.Discard()
	}
}

// send sends the request, with extra headers, to the chosen endpoint and reports the outcome to the endpoint table.
func (t *attempts) send(ctx context.Context, choice pick.Choice, extra map[string]string) attemptResult {
	s, e := t.server, choice.Endpoint
	began, dialAt := s.Now(), time.Now()
	target := pool.Target{ID: e.ID, Address: e.Address, Deadline: time.Now().Add((t.deadline - began).Duration()), Extra: extra}
	target.Ready = func(openedAt time.Time) bool {
		if s.quarantine(t.exchange.digest) != nil || t.checkStopTime() != nil {
			return false
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return s.Picks.IsReadyOver(s.Now(), choice, s.Now()-core.Millis(time.Since(openedAt).Milliseconds()))
	}
	s.recordSent()
	result := s.Pool.Do(ctx, t.exchange.request, target)
	s.recordDone(e.Address, result)
	outcome := s.classify(result)
	if outcome == pick.Refused && s.Pool.HasIdleSince(e.Address, dialAt) {
		// The endpoint has not ended, since a connection to it is open.
		outcome = pick.Unreached
	}
	if rest := t.exchange.rest; rest != nil && rest.isCauseOf(result.Ending) {
		outcome = pick.GivenUp
	}
	// The host that handed the request over may have superseded this attempt by one of another helper.
	superseded := errors.Is(context.Cause(ctx), errSuperseded) || t.exchange.handover != nil
	if outcome == pick.GivenUp && superseded && s.Now()-began >= t.hedgeDelay {
		outcome = pick.Lost
	}
	var report *core.Report
	if result.Answer != nil {
		report = proto.ParseDialectLoad(result.Answer.Header.Get(s.Dialect.Load))
	}
	s.mutex.Lock()
	s.Picks.Done(s.Now(), choice, outcome, s.Now()-began, report)
	if outcome == pick.Good || outcome == pick.Failed || outcome == pick.Shed {
		s.Picks.RecordAnswer(s.Now(), e.ID, began, s.Now()-core.Millis(time.Since(result.OpenedAt).Milliseconds()))
	}
	s.mutex.Unlock()
	s.recordEnding(ctx, e, t.exchange.digest, result, outcome)
	if outcome == pick.Misled {
		s.Pool.CloseIdle(e.Address)
	}
	return attemptResult{choice: choice, result: result, outcome: outcome, counted: 1}
}

// awaitAnswer waits for the attempts in flight and starts further ones.
func (t *attempts) awaitAnswer(ctx context.Context) *reply {
	hedge := time.NewTimer(t.hedgeDelay.Duration())
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			t.hedge(ctx)
		case attempt := <-t.results:
			t.inFlight--
			r := t.handleResult(ctx, attempt)
			if r == nil || r.answer != attempt.result.Answer {
				attempt.result.Discard()
			}
			if r != nil {
				return r
			}
		}
	}
}

// handleResult handles an attempt's result; it returns nil while others may still answer.
func (t *attempts) handleResult(ctx context.Context, attempt attemptResult) *reply {
	t.record.Ending, t.record.Detail = attempt.result.Ending.String(), attempt.result.Detail
	if attempt.outcome == pick.Good {
		t.record.NoRetryReason = ""
		return &reply{status: attempt.result.Answer.Status, answer: attempt.result.Answer, endpoint: attempt.endpoint()}
	}
	if !attempt.outcome.MayHaveRun() {
		attempt.unused = attempt.counted
	}
	t.reached -= attempt.unused
	t.mayHaveRun = t.mayHaveRun || attempt.outcome.MayHaveRun()
	if t.inFlight > 0 {
		return nil
	}
	if attempt.refusal != nil && (attempt.refusal.Ran != core.RanNo || !t.mayHaveRun) {
		return refuse(t.record, attempt.refusal)
	}
	reason := t.noRetryReason(ctx, attempt.outcome)
	retryAfter := core.Answers[core.Overloaded].RetryAfter
	if reason == "" {
		refusal := t.start(ctx)
		if refusal == nil {
			return nil
		}
		if (refusal.Kind == core.Quarantined || refusal.Kind == core.Unauthorized || refusal.Kind == core.Stopping) && !t.mayHaveRun {
			return refuse(t.record, refusal)
		}
		reason, retryAfter = NoneFree, refusal.RetryAfter
	}
	// The reason why there was no hedged attempt is more specific than that the deadline has passed by now.
	if reason != TimeOver || t.record.NoRetryReason == "" {
		t.record.NoRetryReason = reason
	}
	return t.fail(ctx, attempt, retryAfter)
}
