package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// crashAfter lets an endpoint go on with a request for a while, also once its connection is closed, and then ends it: its
// connections are closed, and new ones refused.
func (e *endpoint) crashAfter(delay time.Duration) {
	e.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
		if request.RequestURI != "/read/crash" {
			time.Sleep(30 * time.Millisecond)
			return echo(conn, request, body)
		}
		time.Sleep(delay)
		_ = e.listener.Close()
		e.mutex.Lock()
		defer e.mutex.Unlock()
		for _, each := range e.open {
			_ = each.Close()
		}
		return false
	})
}

// TestEndpointEndsAfterItsCallerHasLeft guards against a request that crashes endpoints without being recognised, since the
// caller has left, or the deadline has passed, by the time at which the endpoint ends: the connection is closed by then.
// What an endpoint does long after that has other causes.
func TestEndpointEndsAfterItsCallerHasLeft(t *testing.T) {
	for _, c := range []struct {
		name     string
		delay    time.Duration
		idle     bool
		deadline bool
		reported bool
	}{
		{"no other connection", 300 * time.Millisecond, false, false, true},
		{"another connection", 300 * time.Millisecond, true, false, true},
		{"deadline", 900 * time.Millisecond, false, true, true},
		{"long after", 1800 * time.Millisecond, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := startHost(t, 1)
			h.endpoints[0].crashAfter(c.delay)
			var callers []*caller
			// Two requests at a time leave two connections.
			for i := range 2 {
				if other := h.dial(t); c.idle {
					other.send("GET", "/read/good", fmt.Sprint("good", i), "")
					callers = append(callers, other)
				}
			}
			for i, other := range callers {
				other.expect(fmt.Sprint("good", i), http.StatusOK, "GET /read/good ")
			}
			leaving := h.dial(t)
			leaving.send("GET", "/read/crash", "r1", "")
			for h.runs() == int64(len(callers)) {
				time.Sleep(time.Millisecond)
			}
			if c.deadline {
				_, _, _ = leaving.readAnswer()
			} else {
				_ = leaving.conn.Close()
			}
			reports := h.crashReports(t, 1)
			if c.delay > time.Second {
				reports = append(reports, h.crashReports(t, 1)...)
			}
			if got := len(reports) > 0 && reports[0].Digest == h.digestOf(t, "r1"); got != c.reported || len(reports) > 1 {
				t.Errorf("reported %v, expected the crash under %s to be reported: %t", reports, h.digestOf(t, "r1"), c.reported)
			}
		})
	}
}
