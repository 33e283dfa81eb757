package pick_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/pick"
	"clementinelock/core/roster"
)

// idleConnections holds when a host's idle connections to each endpoint were opened.
type idleConnections map[string][]core.Millis

// Times of the modelled connections and list.
const (
	// modelMaxIdle is how long a connection is kept for another request.
	modelMaxIdle = 8 * core.Second
	// modelListLag is by how much the list lags, modelReadInterval how often it is read.
	modelListLag      = 800 * core.Millisecond
	modelReadInterval = 1200 * core.Millisecond
)

// addConnections lets hosts keep connections to endpoints, which end with the endpoint's process.
func (w *simulation) addConnections() {
	w.connections = map[*pick.Table]idleConnections{}
	for _, zone := range w.zones {
		for _, t := range w.tables[zone] {
			idle := idleConnections{}
			w.connections[t] = idle
			t.IsConnectedSince = func(address string, at core.Millis) bool {
				return slices.ContainsFunc(idle[address], func(openedAt core.Millis) bool { return openedAt < at })
			}
		}
	}
}

// takeConnection returns when the connection was opened that the host's next request to the endpoint is sent on.
func (w *simulation) takeConnection(t *pick.Table, id string) (openedAt core.Millis) {
	idle := w.connections[t]
	if last := len(idle[id]) - 1; last >= 0 {
		openedAt = idle[id][last]
		idle[id] = idle[id][:last]
		return openedAt
	}
	return w.now
}

// returnConnection keeps a connection on which a request was answered, until it has been idle for too long.
func (w *simulation) returnConnection(t *pick.Table, id string, openedAt core.Millis, outcome pick.Outcome) {
	idle := w.connections[t]
	if idle == nil || outcome != pick.Good && outcome != pick.Shed || w.endpoints[id] == nil || w.endpoints[id].startedAt > openedAt {
		return
	}
	idle[id] = append(idle[id], openedAt)
	if len(idle[id]) == 1 {
		w.schedule(w.now+modelMaxIdle, func() {
			if len(idle[id]) == 1 {
				delete(idle, id)
			}
		})
	}
}

// closeConnections closes all connections to an endpoint whose process has ended; the hosts that had any find its address
// refused.
func (w *simulation) closeConnections(id string) {
	for _, zone := range w.zones {
		for _, t := range w.tables[zone] {
			if len(w.connections[t][id]) == 0 {
				continue
			}
			delete(w.connections[t], id)
			t.RecordEnded(w.now, id)
			w.noticeEnd(id, pick.Refused)
		}
	}
}

// delayedRows is a list that lags and shows an endpoint that has ended for some time as it was before.
type delayedRows struct {
	// staleFor is how long the list shows an endpoint that has ended.
	staleFor core.Millis
	// ended holds the last row of each endpoint that is down, and changes the rows of those that started again with
	// the time from which on they are shown.
	ended   map[string]endedRow
	pending []pendingRow
}

type endedRow struct {
	entry roster.Entry
	at    core.Millis
}

type pendingRow struct {
	endedRow
	shownAt core.Millis
}

func (d *delayedRows) recordEnd(now core.Millis, p *modelEndpoint) {
	row := endedRow{p.Entry, now}
	row.entry.ColdFor = p.coldFor(now)
	d.ended[p.ID] = row
}

// recordStart keeps the row of an endpoint's former process until the list shows the present one.
func (d *delayedRows) recordStart(now core.Millis, id string) {
	d.pending = append(d.pending, pendingRow{d.ended[id], now + modelListLag})
	delete(d.ended, id)
}

// read returns the rows of the endpoints that are up, as of the list's lag ago, and of those that have ended lately.
func (d *delayedRows) read(w *simulation) (entries []roster.Entry) {
	rows := map[string]roster.Entry{}
	for id, p := range w.endpoints {
		row := p.Entry
		row.ColdFor = p.coldFor(w.now)
		rows[id] = row
	}
	d.pending = slices.DeleteFunc(d.pending, func(each pendingRow) bool { return w.now >= each.shownAt })
	for _, each := range d.pending {
		delete(rows, each.entry.ID)
		if w.now < each.at+d.staleFor {
			rows[each.entry.ID] = each.entry
		}
	}
	for id, each := range d.ended {
		if w.now < each.at+d.staleFor {
			rows[id] = each.entry
		}
	}
	for _, id := range slices.Sorted(maps.Keys(rows)) {
		entries = append(entries, rows[id])
	}
	return entries
}

// readListUntil lets all hosts have a new reading of the list at intervals.
func (w *simulation) readListUntil(end core.Millis) {
	for at := core.Millis(0); at < end; at += modelReadInterval {
		w.schedule(at, w.updateTables)
	}
}

// restartAfter ends endpoints, and starts them again under their ids after an outage.
func (w *simulation) restartAfter(at, outage core.Millis, ids []string) (restarted []*modelEndpoint) {
	for _, id := range ids {
		p := w.endpoints[id]
		restarted = append(restarted, p)
		w.schedule(at, func() { w.crash(id) })
		w.schedule(at+outage, func() {
			w.rows.recordStart(w.now, id)
			w.restart(p)
		})
	}
	return restarted
}

// TestProcessesBehindOneID guards against hosts that take an endpoint for warm since its row in the list, or the time since
// its end, is that of a former process: endpoints end and start again, cold, under their ids, while the list goes on to show
// them ready for some time.
func TestProcessesBehindOneID(t *testing.T) {
	const crash = 6 * core.Second
	bound := modelColdRate*1.5 + 5
	for _, outage := range []core.Millis{300, 500, 700, 1200, 2000, 2500, 4000, 6000} {
		for _, staleFor := range []core.Millis{core.Second, 3 * core.Second, 8 * core.Second} {
			t.Run(fmt.Sprintf("%s down, listed for %s", outage, staleFor), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					w := newSimulation(300+seed, 3, [3]int{2, 2, 2}, workload{"s", 120, 150, 800, constantRate(50)})
					w.objects = 200
					w.addHosts(12)
					w.rows = &delayedRows{staleFor: staleFor, ended: map[string]endedRow{}}
					w.addConnections()
					end := crash + outage + modelColdStart + 16*core.Second
					w.readListUntil(end)
					restarted := w.restartAfter(crash, outage, []string{"s-r0-a-0", "s-r0-a-1", "s-r1-b-0", "s-r2-a-0"})
					w.run(end)
					for _, e := range restarted {
						if most := e.maxPerSecond(e.startedAt, e.coldUntil); float64(most) > bound {
							t.Errorf("seed %d: endpoint %s got %d requests in one second while it was cold, the bound is %.1f", seed, e.ID, most, bound)
						}
						if most := e.maxPerSecond(e.coldUntil+4*core.Second, w.now); float64(most) <= bound {
							t.Errorf("seed %d: endpoint %s gets %d requests a second at most after its cold start", seed, e.ID, most)
						}
					}
				}
			})
		}
	}
}
