package pick_test

import (
	"testing"

	"clementinelock/core"
)

// TestRestartUnderTheSameID lets endpoints crash and start again, cold, under their ids and addresses before the
// list tells the hosts. It guards against an idle endpoint that every host of the deployment takes for warm.
func TestRestartUnderTheSameID(t *testing.T) {
	// Requests are short, so that a warm endpoint takes several times the rate of a cold one.
	w := newSimulation(21, 3, [3]int{2, 2, 2}, workload{"s", 180, 150, 800, constantRate(50)})
	w.objects = 200
	w.addHosts(12)
	const crash, outage, listDelay = 4 * core.Second, 700 * core.Millisecond, 1800 * core.Millisecond
	restarted := map[string]*modelEndpoint{}
	w.schedule(crash, func() {
		for _, id := range []string{"s-r0-a-0", "s-r0-a-1", "s-r1-b-0", "s-r2-a-0"} {
			restarted[id] = w.endpoints[id]
			w.crash(id)
		}
	})
	w.schedule(crash+outage, func() {
		for _, e := range restarted {
			w.restart(e)
		}
	})
	w.schedule(crash+outage+listDelay, w.updateTables)
	w.schedule(crash+outage+modelColdStart+listDelay, w.updateTables)
	w.run(16 * core.Second)
	const bound = modelColdRate*1.5 + 5
	for id, e := range restarted {
		if most := e.maxPerSecond(crash, crash+outage+modelColdStart); float64(most) > bound {
			t.Errorf("endpoint %s got %d requests in one second while it was cold, the bound is %.1f", id, most, bound)
		}
		if e.maxPerSecond(crash+outage+modelColdStart+listDelay, w.now) == 0 {
			t.Errorf("endpoint %s gets no requests after its cold start", id)
		}
	}
	t.Logf("%v", w.tally)
}
