package entry_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"clementinelock/io/entry"
)

// TestRefusalsReachTheirCallers guards against a connection that ends without a status, or with one that promises something else, where
// a request is refused before it was read whole: only 503 tells that it may be tried again, and when.
func TestRefusalsReachTheirCallers(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"header too long", "GET /read/ HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 200<<10) + "\r\n\r\n", 431},
		{"no header", "what is this\r\n" + strings.Repeat("x", 200<<10), 400},
		{"body too long", "POST /write/ HTTP/1.1\r\nHost: h\r\nContent-Length: 99000000\r\n\r\n" + strings.Repeat("x", 200<<10), 413},
		{"no room for a header", "GET /read/ HTTP/1.1\r\nHost: h\r\n" + shortLines() + strings.Repeat("x", 200<<10), 503},
		{"no room for a body", "POST /write/ HTTP/1.1\r\nHost: h\r\nContent-Length: 600000\r\n\r\n" + strings.Repeat("x", 600_000), 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := startCrowded(t, func(s *entry.Server) {
				if c.status == 503 {
					s.MaxHeldBytes = 64 << 10
				}
			})
			for i := range 5 {
				from := h.dial(t)
				if _, err := io.WriteString(from.conn, c.text); err != nil {
					t.Fatal(err)
				}
				time.Sleep(50 * time.Millisecond)
				response, _, err := from.readAnswer()
				if err != nil || response.StatusCode != c.status || !response.Close {
					t.Fatalf("request %d got %v, %v; expected %d", i, response, err, c.status)
				}
				if retryAfter := response.Header.Get("Retry-After"); (retryAfter != "") != (c.status == 503) {
					t.Errorf("Retry-After of %d is %q", c.status, retryAfter)
				}
				// The host closes the connection also if the caller does not.
				if _, err := from.reader.ReadByte(); err == nil {
					t.Error("bytes after the last answer")
				}
			}
			if h.runs() != 0 {
				t.Error("a refused request has run")
			}
			if c.status == 503 {
				from := h.dial(t)
				from.send("GET", "/read/", "ordinary", "")
				from.expect("ordinary", 200, "GET /read/ ")
			}
		})
	}
}
