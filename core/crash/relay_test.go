package crash_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/core/crash"
)

// TestStartAfterAnEnd guards against the word that an endpoint has started again which is dropped since its end was reported just
// before.
func TestStartAfterAnEnd(t *testing.T) {
	var relay crash.Relay
	now := core.Hour
	if !relay.AddEnded(now, crash.Ended{Endpoint: "i-1"}) {
		t.Error("the end is no news")
	}
	now += 100
	if relay.AddEnded(now, crash.Ended{Endpoint: "i-1"}) {
		t.Error("the end is news twice")
	}
	for i, want := range []bool{true, false} {
		if got := relay.AddEnded(now, crash.Ended{Endpoint: "i-1", ColdFor: 2500}); got != want {
			t.Errorf("report %d of the start is news: %t, expected %t", i+1, got, want)
		}
	}
	if relay.AddEnded(now+50, crash.Ended{Endpoint: "i-1"}) {
		t.Error("the end is news after the start")
	}
	if ended := relay.Ended(now + 100); len(ended) != 1 || ended[0].ColdFor != 2500 || ended[0].Age != 100 {
		t.Errorf("passed on: %+v", ended)
	}
}
