package pick_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/core/pick"
)

// TestColdAnswerOfTheFormerProcess guards against an answer that a process gave before its end, and which is read after the end is
// known (a host that was frozen, a slow link), being taken for a start of the next process.
func TestColdAnswerOfTheFormerProcess(t *testing.T) {
	f := newProcessFixture(t)
	// The process has been cold since before this host knew of it; the answer on its way says so.
	f.end(700)
	f.table.RecordNotice(f.now, "i-0", pick.Notice{ColdFor: 1500, SentAt: f.ended - 100})
	f.now += 4 * core.Second
	f.list(0)
	if f.isWarm() {
		t.Error("the endpoint is taken for warm 4.7 s after its end, though nothing has shown its next process")
	}
}

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

// TestLateWordOfTheEndAfterTheStart guards against an endpoint whose start is known being in doubt for 10 s since the word of its end,
// which is aged by its way, seems later than the start.
func TestLateWordOfTheEndAfterTheStart(t *testing.T) {
	f := newProcessFixture(t)
	f.table.RecordStarted(f.now, "i-0", processColdStart)
	f.table.RecordEnded(f.now+100, "i-0")
	f.now += processColdStart + 2*core.Second
	f.list(0)
	if !f.isWarm() {
		t.Error("the endpoint still counts as cold 2 s after its cold start")
	}
}

// TestFalseEndSeenFromAnotherZone guards against an endpoint that goes on, and which one host took for ended, getting nothing from
// hosts of other zones for ten seconds: they send it no request, so that none of its answers can show them that it goes on.
func TestFalseEndSeenFromAnotherZone(t *testing.T) {
	f := newProcessFixture(t)
	f.table.Zone = "other"
	f.now += 20 * core.Second
	f.list(0)
	f.end(0)
	for passed := core.Millis(0); passed < 12*core.Second; passed += core.Second {
		f.now += core.Second
		f.list(0)
		if f.targets(1)["i-0"] == 1 {
			t.Logf("used again %s after the false end", passed+core.Second)
			if passed >= 5*core.Second {
				t.Error("too late")
			}
			return
		}
	}
	t.Error("not used again within 12 s")
}
