package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
	"clementinelock/io/stand"
)

// TestUploadsThatEndEarly guards against two readers of one caller's connection, which end the process: a streamed body whose request ends
// before it was still read while the connection already waited for its end. The endpoint answers, breaks off, falls silent or
// sends an answer without end before the body is in; the caller goes on sending, leaves, or has requests behind it.
func TestUploadsThatEndEarly(t *testing.T) {
	const head = "HTTP/1.1 %d X\r\nId: %s\r\nStamp: s\r\nContent-Length: 2\r\n\r\nno"
	endings := map[string]func(conn net.Conn, id string){
		"answers 413": func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, head, 413, id)
			time.Sleep(100 * time.Millisecond)
		},
		"answers 503": func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, head, 503, id)
			time.Sleep(100 * time.Millisecond)
		},
		"answers 200": func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, head, 200, id)
			time.Sleep(100 * time.Millisecond)
		},
		"breaks off":      func(net.Conn, string) {},
		"resets":          func(conn net.Conn, _ string) { _ = conn.(*net.TCPConn).SetLinger(0) },
		"falls silent":    func(net.Conn, string) { time.Sleep(900 * time.Millisecond) },
		"sends no answer": func(conn net.Conn, _ string) { _, _ = io.WriteString(conn, strings.Repeat("x", 100<<10)) },
		"never ends its answer": func(conn net.Conn, id string) {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nId: %s\r\nStamp: s\r\n\r\n", id)
			for end := time.Now().Add(500 * time.Millisecond); err == nil && time.Now().Before(end); {
				_, err = conn.Write([]byte(filler))
			}
		},
	}
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHost(t, 0)
			address := startEarlyEndpoint(t, end)
			h.addEndpoint(address)
			var answered atomic.Int64
			var uploads sync.WaitGroup
			for i := range 24 {
				uploads.Go(func() { upload(t, h, i, &answered) })
			}
			uploads.Wait()
			c := h.dial(t)
			c.send("GET", "/read/after", "after", "")
			if response, err := http.ReadResponse(c.reader, nil); err != nil || response.StatusCode == 0 {
				t.Errorf("a request after the uploads gets no answer: %v", err)
			}
			if answered.Load() == 0 && (name == "answers 413" || name == "answers 200") {
				t.Error("no upload got the answer of the endpoint")
			}
		})
	}
}

// upload sends a body of 400 KB in parts, in chunks or with a length, and does one of several things after it.
func upload(t *testing.T, h *host, i int, answered *atomic.Int64) {
	c := h.dial(t)
	defer func() { _ = c.conn.Close() }()
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	part := strings.Repeat("u", 20<<10)
	length := fmt.Sprintf("Content-Length: %d\r\n", 20*len(part))
	if i%2 == 0 {
		length = "Transfer-Encoding: chunked\r\n"
	}
	_, _ = fmt.Fprintf(c.conn, "POST /write/up HTTP/1.1\r\nHost: h\r\nId: up%d\r\n%s\r\n", i, length)
	send := func() {
		for n := range 20 {
			text := part
			if i%2 == 0 {
				text = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
			}
			if _, err := io.WriteString(c.conn, text); err != nil {
				return
			}
			if n >= 8 {
				time.Sleep(time.Duration(5+i) * time.Millisecond)
			}
			if i%4 == 3 && n == 14 {
				_ = c.conn.Close()
				return
			}
		}
		if i%2 == 0 {
			_, _ = io.WriteString(c.conn, "0\r\n\r\n")
		}
		_, _ = io.WriteString(c.conn, "GET /read/behind HTTP/1.1\r\nHost: h\r\nId: behind\r\n\r\n")
	}
	var sending sync.WaitGroup
	sending.Go(send)
	if response, err := http.ReadResponse(c.reader, nil); err == nil && response.Header.Get("Stamp") != "" {
		answered.Add(1)
	}
	sending.Wait()
}

// startEarlyEndpoint starts an endpoint that reads 150 KB of a body and then ends the request.
func startEarlyEndpoint(t *testing.T, end func(conn net.Conn, id string)) string {
	t.Helper()
	address, stop, err := stand.Serve(func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if request.Method == http.MethodPost {
			_, _ = io.CopyN(io.Discard, request.Body, 150<<10)
		}
		end(conn, request.Header.Get("Id"))
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address
}

// addEndpoint adds an endpoint with many slots to the host's list.
func (h *host) addEndpoint(address string) {
	h.change(func(view *fleet.View, _ *routes.Table, _ *pick.Table) {
		view.Endpoints = append(view.Endpoints, roster.Entry{ID: "i-early", Service: "s", Zone: "z", Address: address, Slots: 64})
	})
}
