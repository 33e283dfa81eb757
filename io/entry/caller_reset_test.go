package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"clementinelock/io/stand"
)

// TestCallerEndsDuringAnUpload guards against an endpoint whose connection is kept until the deadline after its caller has reset or closed
// its own in the middle of an upload: the reset is the caller's, and not that of the connection to the endpoint.
func TestCallerEndsDuringAnUpload(t *testing.T) {
	const bound = 300 * time.Millisecond
	for _, way := range []string{"direct", "through another host"} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(way, ", reset ", reset), func(t *testing.T) {
				reading, ended := make(chan struct{}), make(chan time.Time, 1)
				address, stop, err := stand.Serve(func(conn net.Conn) {
					request, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					_, _ = io.CopyN(io.Discard, request.Body, 150<<10)
					close(reading)
					_, _ = io.Copy(io.Discard, request.Body)
					ended <- time.Now()
				})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(stop)
				var h *host
				startSender(t, way, &h).addEndpoint(address)
				c := h.dial(t)
				_, _ = fmt.Fprintf(c.conn, "POST /write/up HTTP/1.1\r\nHost: h\r\nId: up\r\nContent-Length: 600000\r\n\r\n%s", strings.Repeat("u", 300_000))
				<-reading
				// The endpoint waits for more of the body.
				time.Sleep(50 * time.Millisecond)
				if reset {
					_ = c.conn.(*net.TCPConn).SetLinger(0)
				}
				left := time.Now()
				_ = c.conn.Close()
				select {
				case at := <-ended:
					if took := at.Sub(left); took > bound {
						t.Errorf("the endpoint's connection ends %s after the caller left, %s allowed", took, bound)
					}
				case <-time.After(5 * time.Second):
					t.Error("the endpoint's connection is kept")
				}
			})
		}
	}
}
