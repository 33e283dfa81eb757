package entry_test

import (
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
	"clementinelock/core/routes"
	"clementinelock/io/entry"
)

// TestSmallRequestsAfterALongAnswer guards against requests with short answers that are refused since one long answer before made
// the memory that is expected of each answer many times too large.
func TestSmallRequestsAfterALongAnswer(t *testing.T) {
	const count = 250
	h := startHostWith(t, 1, func(s *entry.Server) {
		// What a machine of 184 MB has for callers, with 4,100 descriptors.
		s.MaxHeldBytes, s.MaxConnections = 69<<20, 1640
	})
	h.change(func(view *fleet.View, _ *routes.Table, _ *pick.Table) { view.Endpoints[0].Slots = 1000 })
	h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
		if strings.HasSuffix(request.RequestURI, "long") {
			_, err := io.WriteString(conn, reply(request, 200, strings.Repeat("x", 255<<10)))
			return err == nil
		}
		time.Sleep(300 * time.Millisecond)
		return echo(conn, request, body)
	})
	c := h.dial(t)
	c.send("GET", "/many/long", "long", "")
	_, _, _ = c.readAnswer()
	var group sync.WaitGroup
	var refused atomic.Int64
	callers := make([]*caller, count)
	for i := range callers {
		callers[i] = h.dial(t)
	}
	for i, c := range callers {
		group.Go(func() {
			c.send("GET", "/many/x", fmt.Sprint("r-", i), "")
			if response, _, err := c.readAnswer(); err != nil || response.StatusCode != 200 {
				refused.Add(1)
			}
		})
	}
	group.Wait()
	held := h.server.Held()
	if n := refused.Load(); n > 0 {
		t.Errorf("%d of %d short requests were not served after one answer of 255 KB; %+v", n, count, held)
	}
}
