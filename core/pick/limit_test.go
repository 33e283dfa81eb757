package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/roster"
)

// TestLimitOfAllHosts guards against hosts that keep to an endpoint's limit each by itself and exceed it together:
// deployments of 9 to 273 hosts under load, limits of 0 to 40 requests a second.
func TestLimitOfAllHosts(t *testing.T) {
	const (
		contactWindow = 3 * core.Second
		window        = 4 * core.Second
		length        = 60 * core.Second
	)
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 7))
		perZone := []int{2, 4, 14, 45}[seed%4] - int(seed%2)
		limit := []float64{0, 0.3, 1.1, 1.7, 2.3, 6, 40}[seed%7]
		view := fleet.View{ListKnown: true, Entries: fleet.EntryCounts{Zone: perZone, Region: 2 * perZone, All: 6 * perZone}}
		regions, zones := map[string]string{}, []string{}
		for region := range 3 {
			for _, letter := range []string{"a", "b"} {
				zone := fmt.Sprintf("r%d-%s", region, letter)
				regions[zone] = zone[:2]
				zones = append(zones, zone)
				for i := range 2 {
					view.Endpoints = append(view.Endpoints, roster.Entry{ID: fmt.Sprint(zone, i), Service: "s", Zone: zone, Address: zone, Slots: 3})
				}
			}
		}
		limited := view.Endpoints[0].ID
		var tables []*pick.Table
		for _, zone := range zones {
			for range perZone {
				table := &pick.Table{Region: regions[zone], Zone: zone, RegionByZone: regions, Rand: random, OnRemove: func(string) {}}
				table.Update(core.Hour, view, nil)
				tables = append(tables, table)
			}
		}
		var sent []core.Millis
		for now := core.Hour; now < core.Hour+length; now += 20 {
			for range len(tables)/8 + 1 {
				table := tables[random.IntN(len(tables))]
				choice, refusal := table.Choose(now, pick.Request{Service: "s", Object: fmt.Sprint(random.IntN(60)), Remaining: core.Second, Objective: 500})
				if refusal != nil {
					continue
				}
				if id := choice.Endpoint.ID; id == limited {
					sent = append(sent, now)
					table.RecordNotice(now+1, id, pick.Notice{Limit: limit, LimitNamed: true})
				}
				table.Done(now+2, choice, pick.Good, 2, nil)
			}
		}
		most := 0
		for i, at := range sent {
			n := 0
			for _, other := range sent[i:] {
				if other-at < window {
					n++
				}
			}
			if at >= core.Hour+contactWindow {
				most = max(most, n)
			}
		}
		allowed := 1.5*limit*window.Duration().Seconds() + 5
		rate := float64(len(sent)) / length.Duration().Seconds()
		t.Logf("%d hosts, limit %v: at most %d requests in 4 s, %.0f allowed; %.2f a second", len(tables), limit, most, allowed, rate)
		if float64(most) > allowed {
			t.Errorf("seed %d: %d hosts sent an endpoint that named a limit of %v a second %d requests in 4 s, %.0f allowed", seed, len(tables), limit, most, allowed)
		}
	}
}

// TestLimitBegins covers requests that were chosen before an endpoint named its limit and still wait for a connection:
// they are not sent beside the limit, while one within it is.
func TestLimitBegins(t *testing.T) {
	f := newNoticeFixture(t, 1)
	choose := func() (pick.Choice, *core.Refusal) {
		return f.table.Choose(f.now, pick.Request{Service: "s", Remaining: core.Minute})
	}
	waiting, _ := choose()
	f.now += 10
	f.table.RecordNotice(f.now, "i-0", pick.Notice{Limit: 2, LimitNamed: true})
	if f.table.IsReady(f.now, waiting) {
		t.Error("a request that was chosen before the endpoint named its limit may still be sent")
	}
	f.now += 10 * core.Second
	within, refusal := choose()
	if refusal != nil || !f.table.IsReady(f.now, within) {
		t.Fatalf("a request within the limit may not be sent: %v", refusal)
	}
	_, refusal = choose()
	if refusal == nil || refusal.Kind != core.Overloaded || refusal.Ran != core.RanNo || refusal.RetryAfter < 500 || refusal.RetryAfter > 10*core.Second {
		t.Fatalf("got %+v, expected a refusal with the time of the next request", refusal)
	}
}

// TestLimitEnds covers what ends a limit: an answer without one to a request that was chosen after the limit was named
// last, not one to an earlier request, a freeze or another endpoint at the address.
func TestLimitEnds(t *testing.T) {
	f := newNoticeFixture(t, 1)
	earlier, _ := f.table.Choose(f.now, pick.Request{Service: "s", Remaining: core.Minute})
	f.now += 10
	f.table.RecordNotice(f.now, "i-0", pick.Notice{Limit: 1, LimitNamed: true})
	f.now += 10
	f.table.Done(f.now, earlier, pick.Good, 20, nil)
	f.now += 20 * core.Second
	f.update(20 * core.Second)
	if got := f.targets(10); got["i-0"] != 1 {
		t.Fatalf("%d of 10 requests went to the endpoint after an earlier answer, expected 1", got["i-0"])
	}
	f.now += 20 * core.Second
	later, refusal := f.table.Choose(f.now, pick.Request{Service: "s", Remaining: core.Minute})
	if refusal != nil {
		t.Fatal(refusal)
	}
	f.now += 10
	f.table.Done(f.now, later, pick.Good, 10, nil)
	if got := f.targets(10); got["i-0"] != 10 {
		t.Fatalf("%d of 10 requests went to the endpoint after an answer without a limit, expected all", got["i-0"])
	}
	f.table.RecordNotice(f.now, "i-0", pick.Notice{Limit: 1, LimitNamed: true})
	f.view.Endpoints[0].ID = "i-9"
	f.update(0)
	if got := f.targets(10); got["i-9"] != 10 {
		t.Fatalf("%d of 10 requests went to another endpoint at the address, expected all", got["i-9"])
	}
}

// TestInvalidLimit checks that a limit that can't be read changes nothing, and is logged once and counted each time.
func TestInvalidLimit(t *testing.T) {
	f := newNoticeFixture(t, 1)
	f.table.RecordNotice(f.now, "i-0", pick.Notice{InvalidLimit: "few"})
	f.table.RecordNotice(f.now, "i-0", pick.Notice{InvalidLimit: "few"})
	if got := f.targets(3); got["i-0"] != 3 || len(f.lines) != 1 || f.table.Notices.Invalid != 2 {
		t.Fatalf("%v with %d log lines and a count of %d, expected 3 requests, 1 and 2", got, len(f.lines), f.table.Notices.Invalid)
	}
}
