package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestEndsOfManyAtOnce guards against ends that no host reports since the endpoints that answered last, by which a host finds out
// whether it is cut off, have ended at the same moment, while others go on.
func TestEndsOfManyAtOnce(t *testing.T) {
	const all = 43
	for _, ending := range []int{10, 40} {
		t.Run(fmt.Sprint(ending), func(t *testing.T) {
			h := startHost(t, all)
			h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
				time.Sleep(100 * time.Millisecond)
				return echo(conn, request, body)
			})
			var group sync.WaitGroup
			for i := range 2 * all {
				c := h.dial(t)
				group.Go(func() {
					c.send("GET", "/many/x", fmt.Sprint("r-", i), "")
					_, _, _ = c.readAnswer()
				})
			}
			group.Wait()
			// Those that answered first go on.
			for _, e := range h.endpoints[all-ending:] {
				_ = e.listener.Close()
			}
			before := int64(0)
			connected := 0
			for _, e := range h.endpoints[:all-ending] {
				before += int64(e.conns.Load())
			}
			for _, e := range h.endpoints[all-ending:] {
				e.mutex.Lock()
				if len(e.open) > 0 {
					connected++
				}
				for _, conn := range e.open {
					_ = conn.Close()
				}
				e.mutex.Unlock()
			}
			time.Sleep(700 * time.Millisecond)
			opened := -before
			for _, e := range h.endpoints[:all-ending] {
				opened += int64(e.conns.Load())
			}
			seen := len(h.server.TakeEnded(h.now()))
			t.Logf("%d of %d ends were seen; %d connections were opened to the %d that go on", seen, connected, opened, all-ending)
			if seen < connected {
				t.Errorf("%d of %d ends were seen", seen, connected)
			}
		})
	}
}
