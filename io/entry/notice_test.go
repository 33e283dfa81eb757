package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"clementinelock/core/pick"
)

// shed returns an answer that turns the request away with 503 and the headers.
func shed(headers ...string) func(conn net.Conn, request *http.Request, body []byte) bool {
	return func(conn net.Conn, request *http.Request, _ []byte) bool {
		text := fmt.Sprintf("HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n", request.Header.Get("Id"))
		for _, header := range headers {
			text += header + "\r\n"
		}
		_, err := io.WriteString(conn, text+"\r\n")
		return err == nil
	}
}

// TestLeavingHeader covers endpoints that announce in an answer of any status that they are leaving: that answer is
// passed on, later requests go to other endpoints, and the connection is closed.
func TestLeavingHeader(t *testing.T) {
	for _, status := range []int{200, 404, 500} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			h := startHost(t, 2)
			closed := make(chan bool, 1)
			first := make(chan *endpoint, 1)
			for _, e := range h.endpoints {
				e.setAnswer(func(conn net.Conn, request *http.Request, _ []byte) bool {
					first <- e
					e.setAnswer(echo)
					_, _ = io.WriteString(conn, reply(request, status, "bye", "Leaving: 1"))
					_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
					_, err := conn.Read(make([]byte, 1))
					closed <- err == io.EOF
					return false
				})
			}
			c := h.dial(t)
			c.send("POST", "/write/", "one", "")
			c.expect("one", status, "bye")
			leaving := <-first
			h.setAnswer(echo)
			if !<-closed {
				t.Fatal("the connection to the leaving endpoint stays open")
			}
			runs := leaving.runs.Load()
			for i := range 20 {
				id := fmt.Sprint("later-", i)
				c.send("GET", "/read/later", id, "")
				c.expect(id, 200, "GET /read/later ")
			}
			if got := leaving.runs.Load() - runs; got != 0 {
				t.Fatalf("the leaving endpoint gets %d of 20 later requests", got)
			}
		})
	}
}

// TestLeavingHeaderOfOtherRequest covers an endpoint that announces that it is leaving in a late answer to an earlier
// request, which reaches no caller.
func TestLeavingHeaderOfOtherRequest(t *testing.T) {
	h := startHost(t, 2)
	h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
		id := request.Header.Get("Id")
		request.Header.Set("Id", "earlier")
		_, _ = io.WriteString(conn, reply(request, 200, "late", "Leaving: 1"))
		request.Header.Set("Id", id)
		return echo(conn, request, body)
	})
	c := h.dial(t)
	c.send("GET", "/read/a", "one", "")
	c.expect("one", 200, "GET /read/a ")
	before := []int64{h.endpoints[0].runs.Load(), h.endpoints[1].runs.Load()}
	h.setAnswer(echo)
	for i := range 10 {
		id := fmt.Sprint("later-", i)
		c.send("GET", "/read/b", id, "")
		c.expect(id, 200, "GET /read/b ")
	}
	for i, e := range h.endpoints {
		if got := e.runs.Load() - before[i]; before[i] > 0 && got != 0 {
			t.Fatalf("the leaving endpoint gets %d of 10 later requests", got)
		}
	}
}

// TestRetryAfterOfEndpoint covers an endpoint that turns a request away with 503 and Retry-After: the request runs
// elsewhere, and the endpoint gets nothing until its time is over. A value that can't be read has no effect.
func TestRetryAfterOfEndpoint(t *testing.T) {
	for _, c := range []struct {
		value  string
		paused bool
	}{{"0.9", true}, {"1", true}, {"soon", false}, {"-3", false}, {"", false}} {
		t.Run(c.value, func(t *testing.T) {
			t.Parallel()
			h := startHost(t, 2)
			h.endpoints[0].setAnswer(shed("Retry-After: " + c.value))
			client := h.dial(t)
			send := func(prefix string, count int) {
				for i := range count {
					id := fmt.Sprint(prefix, i)
					client.send("POST", "/write/", id, "")
					client.expect(id, 200, "POST /write/ ")
				}
			}
			for i := 0; h.endpoints[0].runs.Load() == 0; i++ {
				send(fmt.Sprint("first-", i, "-"), 1)
			}
			began := h.endpoints[0].runs.Load()
			h.endpoints[0].setAnswer(echo)
			send("within-", 10)
			if got := h.endpoints[0].runs.Load() - began; c.paused && got != 0 {
				t.Fatalf("the endpoint gets %d requests within its time", got)
			}
			var notices pick.NoticeCounts
			h.server.Update(nil, func(p *pick.Table) { notices = p.Notices })
			if c.paused && notices.Backoff != 1 || !c.paused && notices.Invalid != 1 {
				t.Fatalf("the host counts %+v", notices)
			}
			if !c.paused {
				return
			}
			time.Sleep(1400 * time.Millisecond)
			// The host has closed the idle connection.
			client = h.dial(t)
			for i := 0; h.endpoints[0].runs.Load() == began; i++ {
				if i == 50 {
					t.Fatal("the endpoint gets no requests after its time is over")
				}
				send(fmt.Sprint("after-", i, "-"), 1)
			}
		})
	}
}

// TestAllEndpointsAskForNoRequests checks that callers are refused at once, with the time after which to return.
func TestAllEndpointsAskForNoRequests(t *testing.T) {
	h := startHost(t, 2)
	h.setAnswer(shed("Retry-After: 5"))
	c := h.dial(t)
	c.send("POST", "/write/", "one", "")
	c.expect("one", 503, "")
	runs := h.runs()
	began := time.Now()
	c.send("POST", "/write/", "two", "")
	response := c.expect("two", 503, "")
	if response.Header.Get("Retry-After") < "4" || response.Header.Get("Retry-After") > "7" {
		t.Fatalf("Retry-After is %q, the endpoints asked for 5 s", response.Header.Get("Retry-After"))
	}
	if h.runs() != runs || time.Since(began) > 200*time.Millisecond {
		t.Fatalf("%d requests were sent, the refusal took %s", h.runs()-runs, time.Since(began))
	}
}
