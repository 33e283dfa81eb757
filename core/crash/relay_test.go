package crash_test

import (
	"fmt"
	"testing"

	"clementinelock/core"
	"clementinelock/core/crash"
)

// TestEndsOfManyEndpoints guards against ends of endpoints that are not passed on since many end at once, as those of an
// availability zone do: each may start again, cold, under its id.
func TestEndsOfManyEndpoints(t *testing.T) {
	const count = 1212
	var seen, passedOn crash.Relay
	now := core.Hour
	for i := range count {
		seen.AddEnded(now, crash.Ended{Endpoint: fmt.Sprint("i-", i)})
	}
	now += 100
	told := map[string]bool{}
	for _, each := range seen.Ended(now) {
		passedOn.AddEnded(now, each)
	}
	for _, each := range passedOn.Ended(now) {
		told[each.Endpoint] = each.Age == 100
	}
	if len(told) != count {
		t.Errorf("of %d endpoints that ended at once %d are passed on", count, len(told))
	}
	for id, aged := range told {
		if !aged {
			t.Errorf("the end of %s is passed on with another age", id)
		}
	}
	if left := seen.Ended(now + 10*core.Second); len(left) > 0 {
		t.Errorf("%d ends are passed on for longer than they tell anything", len(left))
	}
}

// TestEndsAreBounded guards against memory and messages that grow with ids that a host is told.
func TestEndsAreBounded(t *testing.T) {
	const most = 2048
	var r crash.Relay
	for i := range 3 * most {
		r.AddEnded(core.Hour+core.Millis(i), crash.Ended{Endpoint: fmt.Sprint("i-", i)})
	}
	ended := r.Ended(core.Hour + 3*most)
	if len(ended) != most || ended[0].Endpoint != fmt.Sprint("i-", 2*most) || ended[most-1].Endpoint != fmt.Sprint("i-", 3*most-1) {
		t.Errorf("%d ends are held, from %v to %v, expected the latest %d", len(ended), ended[0], ended[len(ended)-1], most)
	}
}

// TestEndsOfOneEndpoint guards against the end of a later process that is taken for that of the one before, and against one
// end that counts twice since several hosts saw it.
func TestEndsOfOneEndpoint(t *testing.T) {
	var r crash.Relay
	for _, c := range []struct {
		at, age core.Millis
		news    bool
	}{{0, 0, true}, {100, 0, false}, {300, 300, false}, {499, 0, false}, {500, 0, true}, {600, 400, false}, {4000, 100, true}, {20000, 10000, false}, {20000, 9999, true}} {
		if news := r.AddEnded(core.Hour+c.at, crash.Ended{Endpoint: "i-0", Age: c.age}); news != c.news {
			t.Errorf("an end that was seen at %s, told at %s: news %t, expected %t", c.at-c.age, c.at, news, c.news)
		}
	}
}

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
	if relay.AddEnded(now+50, crash.Ended{Endpoint: "i-1", Age: 100}) {
		t.Error("the end from before the start is news")
	}
	if ended := relay.Ended(now + 100); len(ended) != 1 || ended[0].ColdFor != 2500 || ended[0].Age != 100 {
		t.Errorf("passed on: %+v", ended)
	}
}

// TestEndSoonAfterAStart guards against an end that is not passed on since the start before it was noticed less than half a second earlier.
func TestEndSoonAfterAStart(t *testing.T) {
	var r crash.Relay
	now := 10 * core.Second
	r.AddEnded(now, crash.Ended{Endpoint: "i-0", ColdFor: 3000})
	now += 300
	if !r.AddEnded(now, crash.Ended{Endpoint: "i-0"}) {
		t.Error("the end is no news")
	}
	if got := r.Ended(now); len(got) != 1 || got[0].ColdFor != 0 {
		t.Errorf("passed on: %+v", got)
	}
}
