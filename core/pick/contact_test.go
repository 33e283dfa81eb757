package pick_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/core/pick"
)

// coldBound is how many requests a cold endpoint may get in one second from all hosts together.
const coldBound = modelColdRate*1.5 + 5

// TestEvacuationMissedBehindACut guards against an overload of endpoints that turned cold during an evacuation which
// began and ended while a part of the hosts was cut off: the update that ends the cut tells of no evacuation, and the list
// is older than the cold start.
func TestEvacuationMissedBehindACut(t *testing.T) {
	testMissedEvacuation(t, missedEvacuation{"few hosts", 2, 0, 24, 1}, missedEvacuation{"half of many", 4, 12, 72, 7}, missedEvacuation{"two thirds of many", 4, 12, 72, 9})
}

// missedEvacuation is a deployment of which a number of the hosts of each zone is cut off.
type missedEvacuation struct {
	name    string
	scale   int
	more    int
	perZone float64
	cutOff  int
}

func testMissedEvacuation(t *testing.T, cases ...missedEvacuation) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(41, 3, [3]int{c.scale, c.scale, c.scale}, workload{"s", 120, 300, 800, constantRate(c.perZone)})
			w.objects = 100
			w.addHosts(c.more)
			w.listDelay = 800 * core.Millisecond
			const (
				cut, begin, cold, end = 3 * core.Second, 4 * core.Second, 7500 * core.Millisecond, 8 * core.Second
				healed                = end + 100
				updateInterval        = 800 * core.Millisecond
				until                 = 14 * core.Second
			)
			isolated := map[*pick.Table]bool{}
			w.schedule(cut, func() {
				for _, zone := range w.zones {
					for i, table := range w.tables[zone] {
						isolated[table] = i < c.cutOff
					}
				}
			})
			var evacuated []string
			update := func() {
				w.view.Evacuated = evacuated
				w.recordContacts(isolated)
				w.updateTablesExcept(isolated)
			}
			w.schedule(begin, func() { evacuated = []string{"r0-a"}; update() })
			w.schedule(cold, func() {
				for _, p := range w.endpoints {
					if p.Zone == "r0-a" {
						p.coldUntil = w.now + modelColdStart
					}
				}
			})
			w.schedule(end, func() { evacuated = nil; update() })
			w.schedule(healed, func() { clear(isolated); update() })
			for at := core.Millis(0); at < until; at += updateInterval {
				w.schedule(at, update)
			}
			w.run(until)
			for id, p := range w.endpoints {
				if most := p.maxPerSecond(cold, cold+modelColdStart); p.Zone == "r0-a" && float64(most) > coldBound {
					t.Errorf("endpoint %s got %d requests in one second while it was cold, the bound is %.1f", id, most, coldBound)
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
