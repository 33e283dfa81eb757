package entry

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"clementinelock/core"
	"clementinelock/io/pool"
)

// startQuestionInterval is how often an endpoint is asked for its start at most: some reset connections again and again.
const startQuestionInterval = core.Second

// askForStart asks an endpoint for its health, by which it tells for how long it is cold: an endpoint that resets a connection
// which has carried requests may have started again since.
func (s *Server) askForStart(ctx context.Context, endpoint string) {
	s.mutex.Lock()
	probe, ok := s.Picks.ProbeOf(endpoint)
	now := s.Now()
	if asked, known := s.crashes.startAskedAt[endpoint]; !ok || known && now-asked < startQuestionInterval {
		s.mutex.Unlock()
		return
	}
	s.crashes.recordStartAsked(now, endpoint)
	s.mutex.Unlock()
	request := &pool.Request{Method: http.MethodGet, Target: cmp.Or(probe.HealthPath, "/"), Host: probe.Address, Header: http.Header{}, Idempotent: true}
	result := s.Pool.Do(ctx, request, pool.Target{ID: probe.ID, Address: probe.Address, Deadline: time.Now().Add(probeTimeout)})
	// The header of the answer was recorded.
	result.Discard()
}

// recordStartAsked records that an endpoint is asked for its start, and forgets when others were.
func (c *crashes) recordStartAsked(now core.Millis, endpoint string) {
	if c.startAskedAt == nil {
		c.startAskedAt = map[string]core.Millis{}
	}
	for each, at := range c.startAskedAt {
		if now-at >= startQuestionInterval {
			delete(c.startAskedAt, each)
		}
	}
	c.startAskedAt[endpoint] = now
}
