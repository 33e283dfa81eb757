package fetch_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/io/fetch"
	"clementinelock/io/stand"
)

// TestBrokenStatus guards against an answer, or a load report, whose status code is none.
func TestBrokenStatus(t *testing.T) {
	for _, code := range []string{"000", "001", "099", "+20", "-20", "101", "0", "20", "2000", "2x0", ""} {
		t.Run(code, func(t *testing.T) {
			address, stop, err := stand.Serve(func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+code+" X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer stop()
			client := fetch.New(4)
			attempt, end := client.Start(context.Background(), &fetch.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Idempotent: true}, address, core.Second, false)
			if end == nil {
				copied, _, _ := attempt.Copy(io.Discard, -1, func() {})
				t.Errorf("the answer has status %d and ends %v", attempt.Response.StatusCode, copied.Ending)
			} else if end.Ending == call.NotSent {
				t.Error("a request that was sent counts as not sent")
			}
			if _, err := client.Poll(context.Background(), address); err == nil {
				t.Error("a load report is taken from it")
			}
		})
	}
}
