package entry_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"clementinelock/core/crash"
	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/routes"
	"clementinelock/io/clock"
)

// ends returns what the host has to tell of endpoints that ended, once there is any.
func (h *host) ends(within time.Duration) (ended []crash.Ended) {
	for end := time.Now().Add(within); len(ended) == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ended = h.server.TakeEnded(clock.New().Now())
	}
	return ended
}

// TestResetByANewProcess guards against an endpoint that ended silently and started again, cold, under its id: the first sign is
// that it resets connections to its former process, and until the list shows it all hosts take it for warm.
func TestResetByANewProcess(t *testing.T) {
	for _, c := range []struct {
		health string
		cold   bool
	}{{"Cold: 2500", true}, {"Cold: 0", false}, {"Other: 1", false}} {
		t.Run(c.health, func(t *testing.T) {
			h := startHost(t, 1)
			h.change(func(_ *fleet.View, _ *routes.Table, picks *pick.Table) { picks.Bounds.ColdSlack = 8 })
			var resets atomic.Bool
			h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
				if request.RequestURI == "/" {
					_, err := io.WriteString(conn, reply(request, 200, "", c.health))
					return err == nil
				}
				if resets.CompareAndSwap(true, false) {
					_ = conn.(*net.TCPConn).SetLinger(0)
					return false
				}
				return echo(conn, request, body)
			})
			caller := h.dial(t)
			caller.send("GET", "/read/x", "r-1", "")
			caller.expect("r-1", http.StatusOK, "GET /read/x ")
			resets.Store(true)
			caller.send("GET", "/read/x", "r-2", "")
			_, _, _ = caller.readAnswer()
			ended := h.ends(500 * time.Millisecond)
			if told := len(ended) == 1 && ended[0].ColdFor == 2500; told != c.cold {
				t.Errorf("other hosts are told %+v after an endpoint that answers %q", ended, c.health)
			}
			other := h.dial(t)
			other.send("GET", "/read/x", "r-3", "")
			other.expect("r-3", http.StatusOK, "GET /read/x ")
			if got := h.record(t, "r-3").Cold; got != c.cold {
				t.Errorf("the endpoint counts as cold: %t, expected %t", got, c.cold)
			}
		})
	}
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
