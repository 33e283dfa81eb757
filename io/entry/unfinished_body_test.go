package entry_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// TestUnfinishedBodiesBlameNoEndpoint guards against callers that stop before the end of a long body: the endpoints, which wait for
// the rest, counted as silent and were ejected, so that all callers got 503.
func TestUnfinishedBodiesBlameNoEndpoint(t *testing.T) {
	for name, leaves := range map[string]bool{"the caller stays": false, "the caller leaves": true} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, 2)
			for i := range 16 {
				c := h.dial(t)
				text := fmt.Sprintf("POST /write/ HTTP/1.1\r\nHost: h\r\nId: u%d\r\nContent-Length: 300000\r\n\r\n", i)
				if _, err := io.WriteString(c.conn, text+strings.Repeat("x", 299_999)); err != nil {
					t.Fatal(err)
				}
				if leaves {
					time.Sleep(50 * time.Millisecond)
					_ = c.conn.Close()
				}
			}
			for i := range 16 {
				h.record(t, fmt.Sprint("u", i))
			}
			for i := range 8 {
				c, id := h.dial(t), fmt.Sprint("ordinary", i)
				c.send("GET", "/read/", id, "")
				c.expect(id, 200, "GET /read/ ")
			}
		})
	}
}
