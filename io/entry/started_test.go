package entry_test

import (
	"net/http"
	"testing"
	"time"

	"clementinelock/core/crash"
	"clementinelock/io/clock"
)

// ends returns what the host has to tell of endpoints that ended, once there is any.
func (h *host) ends(within time.Duration) (ended []crash.Ended) {
	for end := time.Now().Add(within); len(ended) == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ended = h.server.TakeEnded(clock.New().Now())
	}
	return ended
}

// TestIdleEndpointEnds guards against an endpoint that ends while it holds no request: a host with an idle connection to it
// is the only one that sees it before it starts again.
func TestIdleEndpointEnds(t *testing.T) {
	h := startHost(t, 1)
	caller := h.dial(t)
	caller.send("GET", "/read/x", "r-1", "")
	caller.expect("r-1", http.StatusOK, "GET /read/x ")
	e := h.endpoints[0]
	_ = e.listener.Close()
	e.mutex.Lock()
	for _, conn := range e.open {
		_ = conn.Close()
	}
	e.mutex.Unlock()
	if ended := h.ends(time.Second); len(ended) != 1 || ended[0].Endpoint != "i-0" {
		t.Errorf("other hosts are told of the ends %+v", ended)
	}
}
