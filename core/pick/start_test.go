package pick_test

import (
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/core/pick"
	"clementinelock/core/routes"
)

// processFixture is a table of one entry host with one endpoint, which bears 12.5 requests a second while it is cold.
type processFixture struct {
	*noticeFixture
	ended core.Millis
}

const (
	processColdStart = 3 * core.Second
	// processRequests are more than a cold endpoint bears in a second.
	processRequests = 30
)

func newProcessFixture(t *testing.T) *processFixture {
	f := &processFixture{noticeFixture: newNoticeFixture(t, 1)}
	f.table.Bounds = pick.Bounds{ColdOverrun: 1.5, ColdSlack: 5}
	table, err := routes.NewTable(1, routes.Limits{}, []routes.Service{{Name: "s", ColdStart: processColdStart, ColdRequestsPerSecond: 5}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	f.table.Update(f.now, f.view, table)
	return f
}

// end lets the host see the endpoint's end, and time pass.
func (f *processFixture) end(passed core.Millis) {
	f.ended = f.now
	f.table.RecordEnded(f.ended, "i-0")
	f.now += passed
}

// list lets the host have a list that was just read, with a row that shows the endpoint cold for a time.
func (f *processFixture) list(coldFor core.Millis) {
	f.view.Endpoints[0].ColdFor = coldFor
	f.update(0)
}

// isWarm reports whether the endpoint gets more requests in a second than a cold one bears.
func (f *processFixture) isWarm() bool {
	return f.targets(processRequests)["i-0"] == processRequests
}

// TestWhatShowsAStart guards against an endpoint that is taken for warm though its process may have started lately, and
// against one that stays cold for good: what shows of which start its process is, and since when it counts as warm.
func TestWhatShowsAStart(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(f *processFixture)
		warm bool
	}{
		{"a list read 2 s after the end shows it as before", func(f *processFixture) { f.end(2 * core.Second); f.list(0) }, false},
		{"4.5 s after the end without a list", func(f *processFixture) { f.end(4500) }, false},
		{"a list read 11 s after the end shows it warm", func(f *processFixture) { f.end(11 * core.Second); f.list(0) }, true},
		{"the list shows its cold start, and then warm", func(f *processFixture) {
			f.end(2 * core.Second)
			f.list(2500)
			f.now += 4 * core.Second
			f.list(0)
		}, true},
		{"the list shows the cold start of the former process", func(f *processFixture) {
			f.list(2 * core.Second)
			f.now += 500
			f.end(1500)
			f.list(200)
			f.now += 3 * core.Second
			f.list(0)
		}, false},
		{"an answer to a request from before the end", func(f *processFixture) {
			f.end(100)
			f.table.RecordAnswer(f.now, "i-0", f.ended-100, f.ended-5*core.Second)
			f.now += 5 * core.Second
		}, false},
		{"an answer on a connection from before the end", func(f *processFixture) {
			f.end(2 * core.Second)
			f.table.RecordAnswer(f.now, "i-0", f.now-100, f.ended-5*core.Second)
		}, true},
		{"an answer on a new connection", func(f *processFixture) {
			f.end(2 * core.Second)
			f.table.RecordAnswer(f.now, "i-0", f.now-100, f.now-150)
			f.list(0)
		}, false},
		{"an answer on a new connection, and the time of a cold start", func(f *processFixture) {
			f.end(2 * core.Second)
			f.table.RecordAnswer(f.now, "i-0", f.now-100, f.now-150)
			f.now += processColdStart + 1300
		}, true},
		{"a late word of the end after an answer on a new connection", func(f *processFixture) {
			f.end(2 * core.Second)
			f.table.RecordAnswer(f.now, "i-0", f.now-100, f.now-150)
			f.now += processColdStart + 1300
			f.table.RecordEnded(f.ended+200, "i-0")
		}, true},
		{"a late word of the end after the list has shown the start", func(f *processFixture) {
			f.end(2 * core.Second)
			f.list(2500)
			f.now += 4 * core.Second
			f.table.RecordEnded(f.ended+400, "i-0")
			f.list(0)
		}, true},
		{"a second end after an answer on a new connection", func(f *processFixture) {
			f.end(2 * core.Second)
			f.table.RecordAnswer(f.now, "i-0", f.now-100, f.now-150)
			f.now += core.Second
			f.end(processColdStart + 1300)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newProcessFixture(t)
			c.run(f)
			if got := f.isWarm(); got != c.warm {
				t.Errorf("the endpoint is taken for warm: %t, expected %t", got, c.warm)
			}
		})
	}
}

// TestEndToldBesideConnections guards against a host that ignores other hosts' word of an end since it has a connection to the
// process that started after it, and against one that takes an endpoint for ended that only others are cut off from.
func TestEndToldBesideConnections(t *testing.T) {
	for _, c := range []struct {
		name     string
		openedAt core.Millis
		warm     bool
	}{
		{"opened long before the end", -5 * core.Second, true},
		{"opened after the end", 500, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newProcessFixture(t)
			openedAt := f.now + c.openedAt
			f.table.IsConnectedSince = func(_ string, at core.Millis) bool { return openedAt < at }
			f.ended = f.now
			f.now += 2 * core.Second
			f.view.Ended = []crash.Ended{{Endpoint: "i-0", Age: f.now - f.ended}}
			f.update(0)
			if got := f.isWarm(); got != c.warm {
				t.Errorf("the endpoint is taken for warm: %t, expected %t", got, c.warm)
			}
		})
	}
}

// TestNewProcessHasSaidNothing guards against what a former process has said of itself, its load and its objects, that holds for
// the one which has started under the same id.
func TestNewProcessHasSaidNothing(t *testing.T) {
	for _, notice := range []pick.Notice{{Leaving: true}, {RetryAfter: core.Minute}, {Limit: 0.1, LimitNamed: true}} {
		f := newProcessFixture(t)
		f.table.RecordNotice(f.now, "i-0", notice)
		f.end(2 * core.Second)
		f.list(2500)
		f.now += 5 * core.Second
		f.list(0)
		if !f.isWarm() {
			t.Errorf("after %+v of the former process the new one gets %v of %d requests", notice, f.targets(processRequests), processRequests)
		}
	}
}

// TestRowMissingForAMoment guards against a row that can't be read for one reading of the list, after which the host has
// forgotten that the endpoint has ended, or what it has sent it within its cold rate.
func TestRowMissingForAMoment(t *testing.T) {
	miss := func(f *processFixture) {
		all := f.view.Endpoints
		f.view.Endpoints = nil
		f.update(0)
		f.now += 500
		f.view.Endpoints = all
		f.update(0)
	}
	t.Run("the endpoint has ended", func(t *testing.T) {
		f := newProcessFixture(t)
		f.end(2 * core.Second)
		miss(f)
		if f.isWarm() {
			t.Error("the endpoint is taken for warm after its row was missing")
		}
	})
	t.Run("the endpoint is cold", func(t *testing.T) {
		f := newProcessFixture(t)
		f.list(3 * core.Second)
		before := f.targets(processRequests)["i-0"]
		miss(f)
		if after := f.targets(processRequests)["i-0"]; before+after > 12 {
			t.Errorf("the cold endpoint gets %d and %d requests in one second around the reading that lacked it", before, after)
		}
	})
}

// TestStartThatAnotherHostSaw guards against an endpoint that counts as warm though another host was told by it that it has just
// started, and against connections to its former process that are still used.
func TestStartThatAnotherHostSaw(t *testing.T) {
	f := newProcessFixture(t)
	f.table.IsConnectedSince = func(string, core.Millis) bool { return true }
	tell := func() {
		f.view.Ended = []crash.Ended{{Endpoint: "i-0", Age: 100, ColdFor: 2500}}
		f.update(0)
	}
	tell()
	if f.isWarm() {
		t.Error("the endpoint is taken for warm")
	}
	f.now += 20
	tell()
	if len(f.closed) != 1 {
		t.Errorf("idle connections were closed %d times, expected once", len(f.closed))
	}
	f.view.Ended = nil
	f.now += 4 * core.Second
	f.update(0)
	if !f.isWarm() {
		t.Error("the endpoint is taken for cold after its cold start")
	}
}

// TestEndpointThatMoves guards against requests and connections that go on to the address of a former process, once the list
// shows the endpoint's id at another one.
func TestEndpointThatMoves(t *testing.T) {
	f := newProcessFixture(t)
	var removed []string
	f.table.OnRemove = func(address string) { removed = append(removed, address) }
	choice, refusal := f.table.Choose(f.now, pick.Request{Service: "s", Remaining: core.Minute})
	if refusal != nil {
		t.Fatal("no endpoint is chosen")
	}
	before := f.view.Endpoints[0].Address
	f.view.Endpoints[0].Address = "10.9.9.9:80"
	f.now += 100
	f.update(0)
	if f.table.IsReady(f.now, choice) {
		t.Errorf("a request that waits for a connection is still sent to %s", before)
	}
	if !slices.Contains(removed, before) {
		t.Errorf("connections to %s are kept; closed are those to %v", before, removed)
	}
}

// TestTableAwaitsAList guards against an endpoint that counts as cold for good, since no row of the list changes after an end that
// only this host took for one.
func TestTableAwaitsAList(t *testing.T) {
	f := newProcessFixture(t)
	for _, want := range []bool{false, true, false} {
		if got := f.table.AwaitsList(); got != want {
			t.Errorf("%s after the end the table awaits a list: %t, expected %t", f.now-f.ended, got, want)
		}
		if !want && f.ended == 0 {
			f.end(2 * core.Second)
		} else {
			f.now += 9 * core.Second
			f.list(0)
		}
	}
}
