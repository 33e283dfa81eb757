package entry_test

import (
	"net/http"
	"testing"
	"time"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/routes"
	"clementinelock/io/clock"
	"clementinelock/io/entry"
)

// TestOnlyConnectionFromBeforeAFalseEnd guards against a request that is withdrawn since the only connection from before an end that
// others reported, by which the endpoint counts as going on, is no longer idle once that request has taken it.
func TestOnlyConnectionFromBeforeAFalseEnd(t *testing.T) {
	steady := clock.New()
	h := startHostWith(t, 1, func(s *entry.Server) {
		s.Picks.IsConnectedSince = func(address string, at core.Millis) bool {
			return s.Pool.HasIdleSince(address, time.Now().Add(-(steady.Now() - at).Duration()))
		}
	})
	caller := h.dial(t)
	caller.send("GET", "/read/x", "r-1", "")
	caller.expect("r-1", http.StatusOK, "GET /read/x ")
	time.Sleep(1200 * time.Millisecond)
	h.change(func(_ *fleet.View, _ *routes.Table, picks *pick.Table) { picks.RecordEnded(h.server.Now(), "i-0") })
	caller = h.dial(t)
	caller.send("GET", "/read/x", "r-2", "")
	caller.expect("r-2", http.StatusOK, "GET /read/x ")
	t.Logf("%+v", h.record(t, "r-2"))
}
