package pick_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/core/pick"
	"clementinelock/core/routes"
)

// TestRequestChosenBeforeTheColdStart guards against requests that were chosen for a warm endpoint, waited for a
// connection, and reach it beside its cold rate after it turned cold.
func TestRequestChosenBeforeTheColdStart(t *testing.T) {
	f := newNoticeFixture(t, 1)
	f.table.Bounds = pick.Bounds{ColdOverrun: 1.5, ColdSlack: 5}
	table, err := routes.NewTable(1, routes.Limits{}, []routes.Service{{Name: "s", ColdStart: 3000, ColdRequestsPerSecond: 5}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	f.table.Update(f.now, f.view, table)
	choose := func() pick.Choice {
		t.Helper()
		choice, refusal := f.table.Choose(f.now, pick.Request{Service: "s", Remaining: core.Minute})
		if refusal != nil {
			t.Fatal(refusal)
		}
		return choice
	}
	waiting := choose()
	f.now += 100
	f.view.Endpoints[0].ColdFor = 3 * core.Second
	f.update(0)
	cold := choose()
	if f.table.IsReady(f.now, waiting) {
		t.Error("a request that was chosen while the endpoint was warm may still be sent to it")
	}
	if !f.table.IsReady(f.now, cold) {
		t.Error("a request within the cold rate may not be sent")
	}
	f.now += 10 * core.Second
	if !f.table.IsReady(f.now, waiting) {
		t.Error("a request may not be sent after the cold start")
	}
}

// TestEvacuationBehindACut guards against an overload of endpoints that turn cold at the end of their evacuation, of
// which a part of the hosts does not know because they lost contact with the control hosts before it began.
func TestEvacuationBehindACut(t *testing.T) {
	for _, c := range []struct {
		name    string
		scale   int
		more    int
		perZone float64
	}{{"few hosts", 2, 0, 24}, {"many hosts", 4, 12, 72}} {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(31, 3, [3]int{c.scale, c.scale, c.scale}, workload{"s", 120, 300, 800, constantRate(c.perZone)})
			w.objects = 100
			w.addHosts(c.more)
			const cut, begin, cold, end, until = 4 * core.Second, 4500 * core.Millisecond, 7 * core.Second, 8 * core.Second, 14 * core.Second
			isolated := map[*pick.Table]bool{}
			w.schedule(cut, func() {
				for _, zone := range w.zones {
					for i, table := range w.tables[zone] {
						isolated[table] = i%2 == 0
					}
				}
			})
			var contact func()
			contact = func() {
				for _, zone := range w.zones {
					for _, table := range w.tables[zone] {
						if !isolated[table] {
							table.RecordContact(w.now, 0)
						}
					}
				}
				if w.now < until {
					w.schedule(w.now+800, contact)
				}
			}
			contact()
			update := func(evacuated ...string) func() {
				return func() {
					w.view.Evacuated = evacuated
					w.updateTablesExcept(isolated)
				}
			}
			w.schedule(begin, update("r0-a"))
			w.schedule(cold, func() {
				for _, p := range w.endpoints {
					if p.Zone == "r0-a" {
						p.coldUntil = w.now + modelColdStart
					}
				}
			})
			w.schedule(end, update())
			w.schedule(cold+modelColdStart, update())
			w.run(until)
			const bound = modelColdRate*1.5 + 5
			for id, p := range w.endpoints {
				if p.Zone != "r0-a" {
					continue
				}
				if most := p.maxPerSecond(cold, cold+modelColdStart); float64(most) > bound {
					t.Errorf("endpoint %s got %d requests in one second while it was cold, the bound is %.1f", id, most, bound)
				}
			}
			served := float64(w.tally.onTime+w.tally.late) / float64(w.tally.sent)
			t.Logf("%v; served %.3f", w.tally, served)
			if served < 0.9 {
				t.Errorf("%.3f of the requests are answered, expected 0.9", served)
			}
		})
	}
}
