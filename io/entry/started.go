package entry

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"clementinelock/core"
	"clementinelock/io/pool"
)

// examinationInterval is how often an endpoint is asked for its start, or examined for an idle connection that it closed, at most: some
// close connections again and again.
const examinationInterval = core.Second

// recentEndpoints holds when something was last done for each endpoint of late.
type recentEndpoints map[string]core.Millis

// begin reports whether it was not done for the endpoint within the interval, and records that it is now.
func (r *recentEndpoints) begin(now core.Millis, endpoint string) bool {
	if at, known := (*r)[endpoint]; known && now-at < examinationInterval {
		return false
	}
	if *r == nil {
		*r = recentEndpoints{}
	}
	for each, at := range *r {
		if now-at >= examinationInterval {
			delete(*r, each)
		}
	}
	(*r)[endpoint] = now
	return true
}

// askForStart asks an endpoint for its health, by which it tells for how long it is cold: an endpoint that resets a connection
// which has carried requests may have started again since.
func (s *Server) askForStart(ctx context.Context, endpoint string) {
	s.mutex.Lock()
	probe, ok := s.Picks.ProbeOf(endpoint)
	ok = ok && s.crashes.startAsked.begin(s.Now(), endpoint)
	s.mutex.Unlock()
	if !ok {
		return
	}
	request := &pool.Request{Method: http.MethodGet, Target: cmp.Or(probe.HealthPath, "/"), Host: probe.Address, Header: http.Header{}, Idempotent: true}
	result := s.Pool.Do(ctx, request, pool.Target{ID: probe.ID, Address: probe.Address, Deadline: time.Now().Add(probeTimeout)})
	// The header of the answer was recorded.
	result.Discard()
}
