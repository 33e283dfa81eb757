package pick_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/roster"
)

// noticeFixture is a table of one entry host with a few endpoints of one service.
type noticeFixture struct {
	t      *testing.T
	table  *pick.Table
	view   fleet.View
	now    core.Millis
	lines  []string
	closed []string
}

func newNoticeFixture(t *testing.T, endpoints int) *noticeFixture {
	f := &noticeFixture{t: t, now: core.Hour, view: fleet.View{ListKnown: true, Entries: fleet.EntryCounts{Zone: 1, Region: 1, All: 1}}}
	f.table = &pick.Table{
		Region: "r", Zone: "z", RegionByZone: map[string]string{"z": "r"}, Rand: rand.New(rand.NewPCG(1, 1)),
		OnRemove: func(address string) { f.closed = append(f.closed, address) },
		Log:      func(_, text string) { f.lines = append(f.lines, text) },
	}
	for i := range endpoints {
		f.view.Endpoints = append(f.view.Endpoints, roster.Entry{ID: fmt.Sprint("i-", i), Service: "s", Zone: "z", Address: fmt.Sprint("a-", i), Slots: 3})
	}
	f.update(0)
	return f
}

// update applies the view with a list that was read age ago.
func (f *noticeFixture) update(age core.Millis) {
	f.view.ListAge = age
	f.table.Update(f.now, f.view, nil)
}

// targets sends requests at one moment, all of which stay in flight, and returns how many went to each endpoint.
func (f *noticeFixture) targets(requests int) map[string]int {
	counts := map[string]int{}
	for range requests {
		choice, refusal := f.table.Choose(f.now, pick.Request{Service: "s", Remaining: core.Minute})
		if refusal != nil {
			counts[string(refusal.Kind)]++
			continue
		}
		counts[choice.Endpoint.ID]++
		defer f.table.Done(f.now, choice, pick.GivenUp, 0, nil)
	}
	return counts
}

// TestLeavingEndpointGetsNoRequests covers an endpoint that says in an answer that it is leaving, long before the
// list does: it gets no request while the list still calls it ready, and again once the list has shown that it
// drained and came back.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	f := newNoticeFixture(t, 2)
	f.table.RecordNotice(f.now, "i-0", pick.Notice{Leaving: true})
	f.table.RecordNotice(f.now, "i-0", pick.Notice{})
	if len(f.closed) != 1 || f.closed[0] != "a-0" {
		t.Fatalf("idle connections to %q are closed, expected those to a-0 once", f.closed)
	}
	expectNone := func(when string) {
		t.Helper()
		if got := f.targets(12); got["i-0"] != 0 {
			t.Fatalf("the leaving endpoint gets %d of 12 requests %s", got["i-0"], when)
		}
	}
	expectNone("after its answer")
	f.now += 2 * core.Second
	f.update(200)
	expectNone("while the list calls it ready")
	f.view.Endpoints[0].Draining = true
	f.update(100)
	expectNone("while the list calls it draining")
	f.now += 5 * core.Second
	f.view.Endpoints[0].Draining = false
	f.update(100)
	if got := f.targets(12); got["i-0"] == 0 {
		t.Fatal("the endpoint gets no requests after the list has shown that it drained and became ready")
	}
	if len(f.lines) == 0 || !strings.Contains(f.lines[0], "i-0 of s in z") {
		t.Fatalf("log lines %q, expected one that names the leaving endpoint", f.lines)
	}
}

// TestLeavingEndpointVanishesFromTheList covers a row that can't be read for one reading of the list: the endpoint
// is still leaving when the row is back. An endpoint that started anew under the same id is not.
func TestLeavingEndpointVanishesFromTheList(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		f := newNoticeFixture(t, 2)
		f.table.RecordNotice(f.now, "i-0", pick.Notice{Leaving: true})
		all := f.view.Endpoints
		f.now += core.Second
		f.view.Endpoints = all[1:]
		f.update(100)
		f.now += core.Second
		f.view.Endpoints = all
		if restarted {
			all[0].ColdFor = 3 * core.Second
		}
		f.update(100)
		f.now += 10 * core.Second
		if got := f.targets(12)["i-0"] > 0; got != restarted {
			t.Fatalf("started anew: %t, gets requests: %t", restarted, got)
		}
	}
}

// TestLastEndpointLeaves refuses requests at once when a service's last endpoint is leaving.
func TestLastEndpointLeaves(t *testing.T) {
	f := newNoticeFixture(t, 1)
	f.table.RecordNotice(f.now, "i-0", pick.Notice{Leaving: true})
	if got := f.targets(1); got[string(core.NoUpstream)] != 1 {
		t.Fatalf("got %v, expected a refusal", got)
	}
}

// TestBackoffOfBusyEndpoint covers an endpoint that turns requests away with 503 and Retry-After while the rest of
// its service is busy: it gets nothing for that time, then one request at first, and more once that was answered.
func TestBackoffOfBusyEndpoint(t *testing.T) {
	f := newNoticeFixture(t, 2)
	choice, refusal := f.table.Choose(f.now, pick.Request{Service: "s", Remaining: core.Minute})
	if refusal != nil {
		t.Fatal(refusal)
	}
	id := choice.Endpoint.ID
	f.table.RecordNotice(f.now, id, pick.Notice{RetryAfter: 1500})
	// A shorter time does not end a longer one.
	f.table.RecordNotice(f.now, id, pick.Notice{RetryAfter: 100})
	f.table.Done(f.now, choice, pick.Shed, 5, nil)
	for _, after := range []core.Millis{0, 700, 1499} {
		f.now += after - (f.now - core.Hour)
		f.update(0)
		if got := f.targets(40); got[id] != 0 {
			t.Fatalf("the endpoint gets %d requests %s after it asked for none for 1.5 s", got[id], after)
		}
	}
	f.now = core.Hour + 1500 + core.Second
	if got := f.targets(40); got[id] != 1 {
		t.Fatalf("the endpoint gets %d requests at once after its time is over, expected 1", got[id])
	}
	for {
		choice, refusal = f.table.Choose(f.now, pick.Request{Service: "s", Remaining: core.Minute})
		if refusal != nil {
			t.Fatal(refusal)
		}
		if choice.Endpoint.ID == id {
			break
		}
	}
	f.now += 50
	f.table.Done(f.now, choice, pick.Good, 50, nil)
	if got := f.targets(40); got[id] < 10 {
		t.Fatalf("the endpoint gets %d of 40 requests after it has answered one again", got[id])
	}
}

// TestBackoffIsNoFailure lets an endpoint ask for no requests several times in a row: it is not ejected for longer
// than it asked for.
func TestBackoffIsNoFailure(t *testing.T) {
	f := newNoticeFixture(t, 1)
	for range 6 {
		choice, refusal := f.table.Choose(f.now, pick.Request{Service: "s", Remaining: core.Minute})
		if refusal != nil {
			t.Fatalf("the endpoint gets no request after its time is over: %v", refusal)
		}
		f.table.RecordNotice(f.now, choice.Endpoint.ID, pick.Notice{RetryAfter: 400})
		f.table.Done(f.now, choice, pick.Shed, 5, nil)
		f.now += 500
	}
}

// TestServiceInBackoff closes every endpoint of a service: requests are refused at once, and their callers are told
// to return one after another after the first endpoint takes requests again, the more urgent first.
func TestServiceInBackoff(t *testing.T) {
	f := newNoticeFixture(t, 3)
	for i, seconds := range []core.Millis{3, 2, 5} {
		f.table.RecordNotice(f.now, fmt.Sprint("i-", i), pick.Notice{RetryAfter: seconds * core.Second})
	}
	for priority := range 3 {
		seen := map[core.Millis]bool{}
		for range 20 {
			_, refusal := f.table.Choose(f.now, pick.Request{Service: "s", Remaining: core.Minute, Priority: priority})
			if refusal == nil || refusal.Kind != core.Overloaded || refusal.Ran != core.RanNo {
				t.Fatalf("got %v, expected a refusal because the service is overloaded", refusal)
			}
			if refusal.RetryAfter < 2*core.Second || refusal.RetryAfter >= 4*core.Second {
				t.Fatalf("callers are told to return after %s, the first endpoint takes requests after 2 s", refusal.RetryAfter)
			}
			seen[refusal.RetryAfter] = true
		}
		if len(seen) < 10 {
			t.Fatalf("20 callers return at %d different times, expected 10 or more", len(seen))
		}
	}
	_, urgent := f.table.Choose(f.now, pick.Request{Service: "s", Remaining: core.Minute})
	_, patient := f.table.Choose(f.now, pick.Request{Service: "s", Remaining: core.Minute, Priority: 4})
	if urgent.RetryAfter >= patient.RetryAfter {
		t.Fatalf("a request of priority 0 may return after %s, one of priority 4 after %s", urgent.RetryAfter, patient.RetryAfter)
	}
}

// TestInvalidRetryAfter checks that a value that can't be read changes nothing, and is logged once per endpoint and
// counted each time.
func TestInvalidRetryAfter(t *testing.T) {
	f := newNoticeFixture(t, 1)
	f.table.RecordNotice(f.now, "i-0", pick.Notice{InvalidRetryAfter: "soon"})
	f.table.RecordNotice(f.now, "i-0", pick.Notice{InvalidRetryAfter: "soon"})
	if got := f.targets(1); got["i-0"] != 1 {
		t.Fatalf("got %v, expected a request at the endpoint", got)
	}
	if len(f.lines) != 1 || f.table.Notices.Invalid != 2 {
		t.Fatalf("%d log lines and a count of %d, expected 1 and 2", len(f.lines), f.table.Notices.Invalid)
	}
}

// TestAddressIsUsedAgain gives the address of an endpoint that is leaving, or that asked for no requests, to another
// instance: that one gets requests at once.
func TestAddressIsUsedAgain(t *testing.T) {
	for _, notice := range []pick.Notice{{Leaving: true}, {RetryAfter: 20 * core.Second}} {
		f := newNoticeFixture(t, 2)
		f.table.RecordNotice(f.now, "i-0", notice)
		f.now += core.Second
		f.view.Endpoints[0].ID = "i-9"
		f.update(100)
		if got := f.targets(12); got["i-9"] == 0 || got["i-0"] != 0 {
			t.Fatalf("after %+v of the former instance the requests go to %v", notice, got)
		}
		// A late answer of the former instance is not about the new one.
		f.table.RecordNotice(f.now, "i-0", pick.Notice{Leaving: true})
		if got := f.targets(12); got["i-9"] == 0 {
			t.Fatal("a notice of the former instance takes the new one out of the choice")
		}
	}
}

// TestNoticesOutlastAFreeze lets the host stand still while an endpoint is leaving and another asked for no requests:
// afterwards the first still gets nothing, and the second as soon as its time is over.
func TestNoticesOutlastAFreeze(t *testing.T) {
	f := newNoticeFixture(t, 3)
	f.table.RecordNotice(f.now, "i-0", pick.Notice{Leaving: true})
	f.table.RecordNotice(f.now, "i-1", pick.Notice{RetryAfter: 8 * core.Second})
	f.now += 6 * core.Second
	f.update(7 * core.Second)
	if got := f.targets(12); got["i-0"] != 0 || got["i-1"] != 0 {
		t.Fatalf("the requests go to %v during the notices", got)
	}
	f.now += 4 * core.Second
	f.update(100)
	if got := f.targets(12); got["i-0"] != 0 || got["i-1"] == 0 {
		t.Fatalf("the requests go to %v after the time of i-1 is over", got)
	}
}
