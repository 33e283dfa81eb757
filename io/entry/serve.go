package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"clementinelock/core"
	"clementinelock/core/pick"
	"clementinelock/core/routes"
	"clementinelock/io/pool"
	"clementinelock/io/proto"
)

// silentPart is the part of the remaining time after which an idempotent request is tried elsewhere.
const silentPart = 0.6

// Account tells how one request was decided, for the log and the metrics.
type Account struct {
	RequestID string
	Route     string
	Service   string
	Version   uint64
	Attempts  int
	Endpoint  string
	Zone      string
	Ending    string
	Status    int
	Kind      core.Kind
	Detail    string
	Wait      core.Millis
	Load      float64
	Usable    int
	Took      core.Millis
	Patience  core.Millis
}

// serve brings one request to its reply.
func (c *conn) serve(x *exchange) {
	s := c.server
	a := Account{RequestID: x.request.ID, Patience: x.patience}
	r := s.decide(c.ctx, x, &a)
	if x.bodyRead != nil {
		if rest, ok := x.request.Rest.(*restOfBody); ok && !rest.over {
			// What is left of the body can't be told from the next request.
			r.close, x.closes = true, true
		}
		close(x.bodyRead)
	}
	x.reply <- r
	a.Status, a.Took = r.status, s.Now()-x.arrived
	s.OnRequest(a)
}

// decide finds the route and serves the request by it.
func (s *Server) decide(ctx context.Context, x *exchange, a *Account) *reply {
	table := s.table.Load()
	if table == nil {
		return refuse(a, core.Refuse(core.NotReady, core.RanNo, "no routes are in force here yet"))
	}
	a.Version = table.Version
	route := table.Find(hostOf(x.request.Host), x.path)
	if route == nil {
		return refuse(a, core.Refuse(core.UnknownService, core.RanNo, "no route for host %q and path %q", x.request.Host, x.path))
	}
	a.Route = route.Name
	x.request.Idempotent = route.Idempotent
	if !route.Idempotent {
		select {
		case <-x.first:
		case <-ctx.Done():
		}
	}
	deadline := x.arrived + deadlineOf(x, route)
	left := deadline - s.Now()
	if ctx.Err() != nil || left <= 0 {
		return refuse(a, core.Refuse(core.Overloaded, core.RanNo, "the deadline passed before the request could start"))
	}
	ctx, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	return s.attempts(ctx, x, route, deadline, a)
}

// deadlineOf returns how long after its arrival a request must have its final answer.
func deadlineOf(x *exchange, route *routes.Route) core.Millis {
	most := x.patience
	if most == 0 {
		most = defaultDeadline
	}
	if route.Timeout > 0 {
		most = min(most, route.Timeout)
	}
	return most
}

func refuse(a *Account, refusal *core.Refusal) *reply {
	a.Kind, a.Detail = refusal.Kind, refusal.Detail
	row := core.Answers[refusal.Kind]
	return &reply{status: row.Status, retryAfter: refusal.RetryAfter}
}

// attempts sends the request to one endpoint after the other until one answers or nothing more may be tried.
func (s *Server) attempts(ctx context.Context, x *exchange, route *routes.Route, deadline core.Millis, a *Account) *reply {
	service := route.Choose(rand.Float64())
	a.Service = service
	want := pick.Want{Service: service, Regions: route.Regions}
	if route.Affinity && x.object != "" {
		want.Object = route.Prefix + x.object
	}
	s.mutex.Lock()
	s.Picks.NoteRequest(service)
	s.mutex.Unlock()
	mayHaveRun := false
	for {
		want.Remaining = deadline - s.Now()
		choice, refusal := s.choose(want)
		if refusal != nil {
			return s.giveUp(a, refusal, mayHaveRun)
		}
		a.Attempts++
		a.Endpoint, a.Zone = choice.Endpoint.ID, choice.Endpoint.Zone
		a.Wait, a.Load, a.Usable = choice.Wait, choice.Load, choice.Usable
		more := a.Attempts < max(1, route.MostAttempts) && x.request.Rest == nil
		result, outcome := s.try(ctx, x.request, choice, deadline, more && route.Idempotent)
		a.Ending = result.Ending.String()
		if outcome == pick.Good {
			return &reply{status: result.Answer.Status, answer: result.Answer}
		}
		ran := outcome != pick.Shed && outcome != pick.Unreached && outcome != pick.Misled
		mayHaveRun = mayHaveRun || ran
		a.Detail = result.Detail
		if ctx.Err() != nil || !more || mayHaveRun && !route.Idempotent || !s.mayRetry(service, outcome) {
			return s.fail(ctx, a, result, outcome, mayHaveRun)
		}
		want.Tried = append(want.Tried, choice.Endpoint.ID)
	}
}

func (s *Server) choose(want pick.Want) (pick.Choice, *core.Refusal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Picks.Choose(s.Now(), want)
}

// mayRetry takes an extra attempt from the budget; one that reached no endpoint costs nothing.
func (s *Server) mayRetry(service string, outcome pick.Outcome) bool {
	if outcome == pick.Unreached {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Picks.MayRetry(service)
}

// try sends the request to the chosen endpoint and tells the table how it ended.
func (s *Server) try(ctx context.Context, r *pool.Request, choice pick.Choice, deadline core.Millis, elsewhere bool) (pool.Result, pick.Outcome) {
	e := choice.Endpoint
	began := s.Now()
	left := deadline - began
	target := pool.Target{ID: e.ID, Address: e.Address, Deadline: time.Now().Add(left.Duration())}
	attempt := ctx
	if elsewhere {
		var cancel context.CancelFunc
		attempt, cancel = context.WithTimeout(ctx, time.Duration(silentPart*float64(left.Duration())))
		defer cancel()
	}
	result := s.Pool.Do(attempt, r, target)
	outcome := s.judge(result)
	var report *core.Report
	if result.Answer != nil {
		report = proto.ParseReport(result.Answer.Header.Get(s.Dialect.Load))
	}
	s.mutex.Lock()
	s.Picks.Done(s.Now(), e, outcome, s.Now()-began, report)
	s.mutex.Unlock()
	if outcome == pick.Misled {
		s.Pool.CloseTo(e.Address)
	}
	return result, outcome
}

// judge tells what a result says of the endpoint, and of whether the request has run.
func (s *Server) judge(result pool.Result) pick.Outcome {
	switch result.Ending {
	case pool.NotSent:
		return pick.Unreached
	case pool.Cancelled:
		return pick.GivenUp
	case pool.Answered:
	default:
		return pick.Lost
	}
	header := result.Answer.Header
	stamped := header.Get(s.Dialect.Stamp) != ""
	switch {
	case result.Answer.Status == http.StatusMisdirectedRequest && !stamped:
		return pick.Misled
	case header.Get(s.Dialect.NotRun) != "":
		return pick.Shed
	case header.Get("Content-Encoding") != "" || !stamped:
		return pick.Lost
	case result.Answer.Status >= http.StatusInternalServerError:
		return pick.Failed
	}
	return pick.Good
}

// giveUp refuses a request for which no endpoint can be chosen.
func (s *Server) giveUp(a *Account, refusal *core.Refusal, mayHaveRun bool) *reply {
	if mayHaveRun {
		refusal = core.Refuse(core.UpstreamFailed, core.RanUnknown, "an attempt failed, and no other endpoint can take the request: %s", refusal.Detail)
		refusal.RetryAfter = 0
	}
	return refuse(a, refusal)
}

// fail ends a request whose last attempt brought no answer that may be passed on.
func (s *Server) fail(ctx context.Context, a *Account, result pool.Result, outcome pick.Outcome, mayHaveRun bool) *reply {
	if outcome == pick.Failed {
		// The endpoint's own failure is its answer.
		return &reply{status: result.Answer.Status, answer: result.Answer}
	}
	if !mayHaveRun {
		refusal := core.Refuse(core.Overloaded, core.RanNo, "no endpoint took the request: %s", result.Detail)
		return refuse(a, refusal)
	}
	if ctx.Err() != nil {
		return refuse(a, core.Refuse(core.DeadlinePassed, core.RanUnknown, "the time was over after %d attempts: %s", a.Attempts, result.Detail))
	}
	refusal := core.Refuse(core.UpstreamFailed, core.RanUnknown, "the last of %d attempts failed: %s", a.Attempts, result.Detail)
	refusal.RetryAfter = 0
	return refuse(a, refusal)
}
