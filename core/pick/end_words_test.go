package pick_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/core/pick"
)

// TestColdWithoutAnEndKeepsNotices guards against an endpoint that becomes cold while its process goes on losing what
// it asked for (Retry-After, a leave).
func TestColdWithoutAnEndKeepsNotices(t *testing.T) {
	f := newProcessFixture(t)
	f.table.RecordNotice(f.now, "i-0", pick.Notice{RetryAfter: 3 * core.Second})
	f.now += 500
	f.table.RecordNotice(f.now, "i-0", pick.Notice{ColdFor: 2 * core.Second})
	f.now += 100
	if n := f.targets(processRequests)["i-0"]; n > 0 {
		t.Errorf("%d requests 0.6 s after the endpoint asked for none for 3 s, though its process was not seen to end", n)
	}
}
