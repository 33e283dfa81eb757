package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestAnswersThatNobodyReads guards against connections to endpoints that stay open for good, each with a part of its answer in memory,
// when a long answer or one without end is not passed on: its caller has left, reads slowly, or has sent the request behind
// another one, another attempt was made in its place, or the deadline has passed as it came.
func TestAnswersThatNobodyReads(t *testing.T) {
	const requests = 12
	for _, c := range []struct {
		name string
		// status is that of the endless answers; delay is how long they take to begin.
		status int
		delay  time.Duration
		// call sends the requests on a connection and ends it.
		call func(c *caller, request func(i int))
	}{
		{"the caller leaves at once", 200, 0, func(c *caller, request func(int)) {
			for i := range requests {
				request(i)
			}
			_ = c.conn.Close()
		}},
		{"the caller leaves once answers wait", 200, 0, func(c *caller, request func(int)) {
			for i := range requests {
				request(i)
			}
			time.Sleep(300 * time.Millisecond)
			_ = c.conn.Close()
		}},
		{"the caller reads slowly and leaves", 200, 0, func(c *caller, request func(int)) {
			for i := range requests {
				request(i)
			}
			for range 5 {
				_, _ = io.CopyN(io.Discard, c.conn, 1000)
				time.Sleep(100 * time.Millisecond)
			}
			_ = c.conn.Close()
		}},
		{"the caller resets the connection", 200, 0, func(c *caller, request func(int)) {
			for i := range requests {
				request(i)
			}
			time.Sleep(200 * time.Millisecond)
			_ = c.conn.(*net.TCPConn).SetLinger(0)
			_ = c.conn.Close()
		}},
		{"failures without end", 503, 0, func(c *caller, request func(int)) {
			for i := range requests {
				request(i)
			}
			time.Sleep(300 * time.Millisecond)
			_ = c.conn.Close()
		}},
		{"answers at the deadline", 200, 395 * time.Millisecond, func(c *caller, request func(int)) {
			for i := range requests {
				request(i)
			}
			time.Sleep(600 * time.Millisecond)
			_ = c.conn.Close()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := startHost(t, 4)
			var writing atomic.Int64
			filler := []byte(filler)
			h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
				if !strings.HasPrefix(request.RequestURI, "/read/endless") {
					return echo(conn, request, body)
				}
				writing.Add(1)
				defer writing.Add(-1)
				time.Sleep(c.delay)
				_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\nStamp: s\r\n\r\n", c.status, request.Header.Get("Id"))
				for err == nil {
					_, err = conn.Write(filler)
				}
				return false
			})
			before := runtime.NumGoroutine()
			for round := range 4 {
				from := h.dial(t)
				c.call(from, func(i int) {
					from.send("GET", fmt.Sprintf("/read/endless%d", i), fmt.Sprintf("r%d-%d", round, i), "")
				})
			}
			// A caller that has left is noticed within half a second; what is on its way then ends with its deadline.
			for end := time.Now().Add(4 * time.Second); writing.Load() > 0 && time.Now().Before(end); {
				time.Sleep(20 * time.Millisecond)
			}
			if left := writing.Load(); left > 0 {
				t.Errorf("%d connections with answers that nobody reads are open 4 s after their callers have left", left)
			}
			time.Sleep(200 * time.Millisecond)
			if left := runtime.NumGoroutine() - before; left > 20 {
				t.Errorf("%d goroutines are left", left)
			}
		})
	}
}
