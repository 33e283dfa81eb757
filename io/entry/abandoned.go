package entry

import (
	"context"
	"slices"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/core/pick"
)

const (
	// abandonedRetention is how long an endpoint may go on with a request after its connection was closed.
	abandonedRetention = core.Second
	// maxAbandonedEndpoints bounds the endpoints whose abandoned requests are remembered.
	maxAbandonedEndpoints = 256
)

// abandoned holds the requests at one endpoint whose connections this host closed before the answer, since the caller had
// left or the deadline had passed. The endpoint may still end under them.
type abandoned struct {
	endpoint string
	requests []abandonedRequest
	probedAt core.Millis
}

// abandonedRequest is a request with the time at which its connection was closed.
type abandonedRequest struct {
	digest crash.Digest
	at     core.Millis
}

// isRecent reports whether the endpoint may still run the request.
func (r abandonedRequest) isRecent(now core.Millis) bool {
	return now-r.at <= abandonedRetention
}

// recordAbandoned remembers a request that an endpoint may still run. An idle connection shows when the endpoint ends;
// where there is none, one is opened.
func (s *Server) recordAbandoned(ctx context.Context, e *pick.Endpoint, digest crash.Digest) {
	now := s.Now()
	s.mutex.Lock()
	a := s.crashes.abandonedAt(now, e)
	if len(a.requests) == maxPendingCrashes {
		a.requests = a.requests[1:]
	}
	a.requests = append(a.requests, abandonedRequest{digest, now})
	probe := now-a.probedAt > abandonedRetention && !s.Pool.HasIdle(e.Address)
	if probe {
		a.probedAt = now
	}
	s.mutex.Unlock()
	if probe {
		s.examine(ctx, e.ID, e.Address, false)
	}
}

// abandonedAt returns the requests abandoned at an endpoint.
func (c *crashes) abandonedAt(now core.Millis, e *pick.Endpoint) *abandoned {
	a := c.abandoned[e.Address]
	if a == nil || a.endpoint != e.ID {
		if c.abandoned == nil {
			c.abandoned = map[string]*abandoned{}
		}
		c.forgetAbandoned(now)
		a = &abandoned{endpoint: e.ID, probedAt: now - 2*abandonedRetention}
		c.abandoned[e.Address] = a
	}
	return a
}

// forgetAbandoned makes room for another endpoint: those without a recent request are forgotten, or else any one.
func (c *crashes) forgetAbandoned(now core.Millis) {
	if len(c.abandoned) < maxAbandonedEndpoints {
		return
	}
	for address, a := range c.abandoned {
		if !a.requests[len(a.requests)-1].isRecent(now) {
			delete(c.abandoned, address)
		}
	}
	for address := range c.abandoned {
		if len(c.abandoned) < maxAbandonedEndpoints {
			return
		}
		delete(c.abandoned, address)
	}
}

// takeAbandoned returns the recent requests abandoned at an endpoint, once.
func (c *crashes) takeAbandoned(now core.Millis, endpoint, address string) (digests []crash.Digest) {
	a := c.abandoned[address]
	if a == nil || a.endpoint != endpoint {
		return nil
	}
	delete(c.abandoned, address)
	for _, r := range a.requests {
		if r.isRecent(now) && !slices.Contains(digests, r.digest) {
			digests = append(digests, r.digest)
		}
	}
	return digests
}

// RecordClosed records that an endpoint took no new connection at an address: it may have ended under requests that this host
// abandoned there.
func (s *Server) RecordClosed(address string) {
	s.mutex.Lock()
	a := s.crashes.abandoned[address]
	recent := a != nil && a.requests[len(a.requests)-1].isRecent(s.Now())
	s.mutex.Unlock()
	if recent {
		s.examine(context.Background(), a.endpoint, address, false)
	}
}

// RecordIdleClosed records that an idle connection to an address has ended on the endpoint's side. An idle endpoint that ends
// may have no other witness; it is examined once a second at most, since some close connections again and again.
func (s *Server) RecordIdleClosed(address string, expected bool) {
	s.RecordClosed(address)
	if expected {
		return
	}
	s.mutex.Lock()
	endpoint, ok := s.Picks.ActiveAt(address)
	ok = ok && s.crashes.idleExamined.begin(s.Now(), endpoint)
	s.mutex.Unlock()
	if ok {
		s.examine(context.Background(), endpoint, address, false)
	}
}
