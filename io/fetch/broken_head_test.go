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
	"clementinelock/io/proto"
	"clementinelock/io/stand"
)

// TestBrokenHeads guards against an answer, or a load report, that is taken from a head with a line that is no field, or from a body with
// such a line behind it.
func TestBrokenHeads(t *testing.T) {
	for name, text := range map[string]string{
		"a blank before the colon":        "HTTP/1.1 200 OK\r\nOther : v\r\nContent-Length: 5\r\n\r\nwhole",
		"a blank in the name of a length": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nwhole",
		"two lengths, a blank in one":     "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: 5\r\n\r\nwhole",
		"a blank in the name of an id":    "HTTP/1.1 200 OK\r\n" + proto.RequestID + " : other\r\nContent-Length: 5\r\n\r\nwhole",
		"a name that is a blank":          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + proto.Load + ": a\r\n : v\r\n\r\nwhole",
		"a folded length":                 "HTTP/1.1 200 OK\r\nOther: v\r\n Content-Length: 2\r\n\r\nwhole",
		"a control byte in the phrase":    "HTTP/1.1 200 O\x01K\r\nContent-Length: 5\r\n\r\nwhole",
		"a blank in the trailer":          "HTTP/1.1 200 OK\r\nTrailer: Other\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nOther: v\r\nOt her: v\r\n\r\n",
		"a blank in an interim answer":    "HTTP/1.1 103 X\r\nLi nk: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			address, stop, err := stand.Serve(func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, text)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer stop()
			client := fetch.New(4)
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				request := &fetch.Request{Method: method, Target: "/", Host: "h", Header: http.Header{}, Idempotent: method == http.MethodGet}
				attempt, end := client.Start(context.Background(), request, address, core.Second, false)
				if end == nil {
					copied, n, _ := attempt.Copy(io.Discard, 1<<10, func() {})
					end = &copied
					if end.Ending == call.Whole {
						t.Errorf("%s: an answer with status %d and %d bytes counts as whole", method, attempt.Response.StatusCode, n)
					}
				}
				if end.Ending == call.NotSent {
					t.Errorf("%s: a request that was sent counts as not sent", method)
				}
			}
			if _, err := client.Poll(context.Background(), address); err == nil {
				t.Error("a load report is taken from it")
			}
		})
	}
}
