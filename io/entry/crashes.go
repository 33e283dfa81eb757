package entry

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/core/pick"
	"clementinelock/io/pool"
)

const (
	// probeTimeout is several round trips to the farthest region.
	probeTimeout = 250 * time.Millisecond
	// idleCheckInterval is the time between two looks whether idle connections to an endpoint are left that refuses new ones.
	idleCheckInterval = 5 * time.Millisecond
	// maxOthersProbed is the number of other endpoints that are tried before this host counts as cut off from all.
	maxOthersProbed = 3
	// maxSpreadProbed is the number of endpoints of several availability zones that are tried if those have ended too.
	maxSpreadProbed = 6
	// reachedRetention is how long an endpoint that was reached shows that this host is not cut off, so that the examinations of many
	// that end at once do not each open a connection.
	reachedRetention = 100 * core.Millisecond
	// maxPendingCrashes bounds the requests of one endpoint whose end is examined.
	maxPendingCrashes = 64
)

// crashes holds what this host has seen of requests that crash endpoints, and which ones it must not send.
type crashes struct {
	watch crash.Watch
	// broken holds, by endpoint, the requests that broke while it is examined whether the endpoint has ended.
	broken map[string][]crash.Digest
	// abandoned holds, by the address of their endpoint, requests that were given up there.
	abandoned map[string]*abandoned
	// ended holds the endpoints that this host saw end and the driver has not taken yet.
	ended []timedEnd
	// startAsked holds the endpoints that were asked lately for their start, idleExamined those that were examined since they closed an
	// idle connection.
	startAsked   recentEndpoints
	idleExamined recentEndpoints
	// reachedAt is when an endpoint was last reached in an examination.
	reachedAt core.Millis
	// reports are those that the driver has not taken yet.
	reports []timedReport
	// inFlight holds what cancels the requests in flight, by digest.
	inFlight map[crash.Digest][]*cancellation
}

// cancellation cancels the attempts of one request.
type cancellation struct {
	cancel context.CancelCauseFunc
}

// errQuarantined cancels the attempts of a request that is quarantined while they are in flight.
var errQuarantined = errors.New("the request was quarantined")

// timedReport is a report of an endpoint that ended at a time.
type timedReport struct {
	crash.Report
	at core.Millis
}

// timedEnd is an endpoint that was seen to have ended at a time, and for how long its next process is cold, 0 if none has started.
type timedEnd struct {
	endpoint string
	at       core.Millis
	coldFor  core.Millis
}

// SetQuarantined replaces the requests that are not sent to endpoints, and those whose answers are reported. Attempts of
// quarantined requests are cancelled, since they may wait in the queues of endpoints.
func (s *Server) SetQuarantined(quarantined []crash.Quarantine, suspects []crash.Digest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.crashes.watch.Set(quarantined, suspects)
	for _, q := range quarantined {
		if !q.Holds(s.Now()) {
			continue
		}
		for _, each := range s.crashes.inFlight[q.Digest] {
			each.cancel(errQuarantined)
		}
	}
}

// trackInFlight lets a quarantine cancel the request until the returned function is called.
func (s *Server) trackInFlight(digest crash.Digest, cancel context.CancelCauseFunc) (stop func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.crashes.inFlight == nil {
		s.crashes.inFlight = map[crash.Digest][]*cancellation{}
	}
	own := &cancellation{cancel}
	s.crashes.inFlight[digest] = append(s.crashes.inFlight[digest], own)
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		others := slices.DeleteFunc(s.crashes.inFlight[digest], func(each *cancellation) bool { return each == own })
		if s.crashes.inFlight[digest] = others; len(others) == 0 {
			delete(s.crashes.inFlight, digest)
		}
	}
}

// TakeReports returns the endpoints that ended while they held requests, and the answers to suspects, each once.
func (s *Server) TakeReports(now core.Millis) (reports []crash.Report, served []crash.Served) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range s.crashes.reports {
		each.Age = now - each.at
		reports = append(reports, each.Report)
	}
	s.crashes.reports = nil
	return reports, s.crashes.watch.TakeServed(now)
}

// TakeEnded returns the endpoints that this host saw end, each once.
func (s *Server) TakeEnded(now core.Millis) (ended []crash.Ended) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range s.crashes.ended {
		ended = append(ended, crash.Ended{Endpoint: each.endpoint, Age: now - each.at, ColdFor: each.coldFor})
	}
	s.crashes.ended = nil
	return ended
}

// quarantine returns a refusal if the request must not be sent to endpoints.
func (s *Server) quarantine(digest crash.Digest) *core.Refusal {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	remaining := s.crashes.watch.Remaining(s.Now(), digest)
	if remaining == 0 {
		return nil
	}
	refusal := core.Refuse(core.Quarantined, core.RanNo, "endpoints ended under request %s; it is not sent to any for %s", digest, remaining)
	refusal.RetryAfter = remaining
	return refusal
}

// recordEnding records what the end of an attempt says about the request: an endpoint that answers has survived it, and
// one that broke the connection may have ended under it. A failure that an endpoint reports, such as a deadline that
// passed, does not show that the request has run to its end.
func (s *Server) recordEnding(ctx context.Context, e *pick.Endpoint, digest crash.Digest, result pool.Result, outcome pick.Outcome) {
	switch {
	case outcome == pick.Good:
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.crashes.watch.RecordAnswer(s.Now(), digest)
	case result.Ending == pool.Broken || result.Ending == pool.Spoiled:
		s.examine(context.WithoutCancel(ctx), e.ID, e.Address, result.Reset && result.Reused, digest)
	case result.Ending == pool.Silent || result.Ending == pool.Cancelled && !errors.Is(context.Cause(ctx), errSuperseded):
		s.recordAbandoned(context.WithoutCancel(ctx), e, digest)
	case result.Refused:
		s.RecordClosed(e.Address)
		s.examine(context.WithoutCancel(ctx), e.ID, e.Address, false)
	case result.Ending == pool.NotSent:
		s.RecordClosed(e.Address)
	}
}

// examine finds out whether an endpoint has ended, and under which of the requests given. Requests that break in the
// meantime share the finding.
// A connection that was reset may have been one to a former process; reset tells so of the one that led here.
func (s *Server) examine(ctx context.Context, endpoint, address string, reset bool, broken ...crash.Digest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.crashes.broken == nil {
		s.crashes.broken = map[string][]crash.Digest{}
	}
	pending, examined := s.crashes.broken[endpoint]
	if len(pending) < maxPendingCrashes {
		pending = append(pending, broken...)
	}
	s.crashes.broken[endpoint] = pending
	if examined {
		return
	}
	at, began := s.Now(), time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		err := s.Pool.Probe(ctx, address)
		ended := errors.Is(err, syscall.ECONNREFUSED) && s.waitForIdle(ctx, address, began) && s.reachesOthers(ctx, endpoint)
		s.finishExamination(endpoint, address, at, ended)
		if err == nil && reset {
			s.askForStart(ctx, endpoint)
		}
	}()
}

// waitForIdle waits until no idle connection to an address is left, and reports whether that is so in time. Their ends may be read
// after that of the request's connection, and after the refusal.
func (s *Server) waitForIdle(ctx context.Context, address string, began time.Time) bool {
	for s.Pool.HasIdleSince(address, began) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(idleCheckInterval):
		}
	}
	return true
}

// reachesOthers reports whether this host can open a connection to another endpoint, so that a refused one is not due to
// a cut of this host from all endpoints. Too few others tell nothing, since they may have ended too. Many may have ended at once,
// those that answered last among them, so that others of several services and availability zones are tried as well.
func (s *Server) reachesOthers(ctx context.Context, endpoint string) bool {
	s.mutex.Lock()
	now := s.Now()
	addresses := s.Picks.LastAnswered(endpoint, maxOthersProbed)
	if len(addresses) == maxOthersProbed {
		for _, each := range s.Picks.Spread(now, maxSpreadProbed) {
			if each.ID != endpoint {
				addresses = append(addresses, each.Address)
			}
		}
	}
	s.mutex.Unlock()
	if s.hasReachedAny(now) || len(addresses) < maxOthersProbed {
		return true
	}
	for _, address := range addresses {
		if s.Pool.Probe(ctx, address) == nil {
			s.mutex.Lock()
			s.crashes.reachedAt = s.Now()
			s.mutex.Unlock()
			return true
		}
	}
	// The examination of another endpoint may try one that goes on.
	for !s.hasReachedAny(now) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(idleCheckInterval):
		}
	}
	return true
}

// hasReachedAny reports whether an examination has reached an endpoint shortly before a time, or since.
func (s *Server) hasReachedAny(at core.Millis) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.crashes.reachedAt != 0 && at-s.crashes.reachedAt <= reachedRetention
}

func (s *Server) finishExamination(endpoint, address string, at core.Millis, ended bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	broken := s.crashes.broken[endpoint]
	delete(s.crashes.broken, endpoint)
	if !ended {
		return
	}
	s.crashes.ended = append(s.crashes.ended, timedEnd{endpoint: endpoint, at: at})
	s.Picks.RecordEnded(at, endpoint)
	for _, digest := range append(broken, s.crashes.takeAbandoned(at, endpoint, address)...) {
		s.crashes.reports = append(s.crashes.reports, timedReport{crash.Report{Digest: digest, Endpoint: endpoint}, at})
	}
}
