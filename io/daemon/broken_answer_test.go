package daemon_test

import (
	"io"
	"net/http"
	"testing"

	"clementinelock/io/proto"
)

// TestBrokenAnswers guards against an answer of an endpoint that is none, and that a caller of a tree's host gets, or that ends the
// caller's connection.
func TestBrokenAnswers(t *testing.T) {
	o := startOneHost(t)
	for name, text := range map[string]string{
		"status 000":                      "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"status 000 before another head":  "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"status 099":                      "HTTP/1.1 099 X\r\nContent-Length: 5\r\n\r\nwhole",
		"status 101":                      "HTTP/1.1 101 X\r\n\r\nwhole",
		"a blank in the name of a length": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nwhole",
		"a name that is a blank":          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nOther: v\r\n : v\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			broken := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, text)
			})
			o.handler.Store(&broken)
			response, err := http.Post("http://"+hostAddress+proto.ServicePath+"s/broken", "", nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			data, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != http.StatusBadGateway {
				t.Errorf("the caller got %d with %q, %v", response.StatusCode, data, err)
			}
		})
	}
}
