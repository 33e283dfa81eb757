package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestTruncatedAnswers guards against an answer that breaks off halfway and reaches the caller as a complete success: a
// short one is replaced by a failure, and a long one that is being passed on ends without its end.
func TestTruncatedAnswers(t *testing.T) {
	for _, size := range []int{2000, 100 << 10, 300 << 10, 2 << 20} {
		for _, c := range []struct{ name, header, begin, end string }{
			{"with a length", fmt.Sprintf("Content-Length: %d\r\n", size+1000), "", ""},
			{"in chunks", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n", size+1000), ""},
			{"between chunks", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n", size), "\r\n"},
			{"without a length, reset", "Connection: close\r\n", "", ""},
		} {
			t.Run(fmt.Sprintf("%s, %d bytes", c.name, size), func(t *testing.T) {
				t.Parallel()
				h := startHost(t, 1)
				h.setAnswer(func(conn net.Conn, request *http.Request, _ []byte) bool {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n%s\r\n%s%s%s", request.Header.Get("Id"), c.header, c.begin, strings.Repeat("x", size), c.end)
					if strings.HasSuffix(c.name, "reset") {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				caller := h.dial(t)
				caller.send("POST", "/write/", "one", "")
				response, err := http.ReadResponse(caller.reader, nil)
				if err != nil {
					// The connection ended before any of the answer was passed on.
					return
				}
				n, err := io.Copy(io.Discard, response.Body)
				if err == nil && response.StatusCode < http.StatusInternalServerError {
					t.Errorf("the caller got status %d with %d bytes as a complete answer", response.StatusCode, n)
				}
			})
		}
	}
}
