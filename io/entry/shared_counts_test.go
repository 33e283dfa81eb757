package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/routes"
)

// sharedCounts are what all requests of all hosts share. Each row changes a host and its only endpoint, and bounds how many of
// the requests, all sent at about the same time, may reach it.
var sharedCounts = []struct {
	name   string
	change func(view *fleet.View, table *routes.Table, picks *pick.Table)
	answer func(conn net.Conn, request *http.Request, body []byte) bool
	most   func(requests int) float64
}{
	{"cold rate", func(view *fleet.View, table *routes.Table, picks *pick.Table) {
		picks.Bounds.ColdOverrun, picks.Bounds.ColdSlack = 1.5, 5
		s := table.Services["s"]
		s.ColdStart, s.ColdRequestsPerSecond = 3*core.Second, 5.2
		table.Services["s"] = s
		view.Endpoints[0].ColdFor = 10 * core.Second
	}, echo, func(int) float64 { return 1.5*5.2 + 5 }},
	{"drain", func(view *fleet.View, _ *routes.Table, _ *pick.Table) { view.Endpoints[0].Draining = true }, echo, func(int) float64 { return 0 }},
	{"evacuation", func(view *fleet.View, _ *routes.Table, _ *pick.Table) { view.Evacuated = []string{"z"} }, echo, func(int) float64 { return 0 }},
	{"homes", func(_ *fleet.View, table *routes.Table, _ *pick.Table) {
		table.Find("h", "/read/x").Regions = []string{"q"}
	}, echo, func(int) float64 { return 0 }},
	{"no room", func(view *fleet.View, _ *routes.Table, _ *pick.Table) { view.Endpoints[0].Slots = 1 }, func(conn net.Conn, request *http.Request, _ []byte) bool {
		_, err := io.WriteString(conn, fmt.Sprintf("HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id")))
		return err == nil
	}, func(int) float64 { return 2 + maxInFlight }},
	{"attempts and repeats", func(view *fleet.View, _ *routes.Table, picks *pick.Table) {
		picks.Bounds.RetryRatio, picks.Bounds.RetrySlack = 0.2, 10
		for i := range 6 {
			e := view.Endpoints[0]
			e.ID = fmt.Sprint("i-0", i)
			view.Endpoints = append(view.Endpoints, e)
		}
		view.Endpoints = view.Endpoints[1:]
	}, func(conn net.Conn, request *http.Request, _ []byte) bool {
		_, err := io.WriteString(conn, reply(request, 500, "oops"))
		return err == nil
	}, func(requests int) float64 { return float64(requests) + 0.2*float64(requests) + 10 }},
}

// maxInFlight is how many requests are sent at the same time.
const maxInFlight = 8

// TestEachWayHoldsTheSharedCounts guards against a way that a request can take beside which a limit that all requests share is
// not kept: each way against each limit, alone and beside the requests of the host's own callers.
func TestEachWayHoldsTheSharedCounts(t *testing.T) {
	ways := []struct {
		name  string
		start func(t *testing.T, c func(*host)) (all []*host, reached *host)
	}{
		{"direct", func(t *testing.T, change func(*host)) ([]*host, *host) {
			h := startHost(t, 1)
			change(h)
			return []*host{h}, h
		}},
		{"handed over", func(t *testing.T, change func(*host)) ([]*host, *host) {
			helper, address := startHelper(t, 1)
			change(helper)
			return []*host{startCutHost(t, address)}, helper
		}},
		{"handed over beside own", func(t *testing.T, change func(*host)) ([]*host, *host) {
			helper, address := startHelper(t, 1)
			change(helper)
			return []*host{startCutHost(t, address), helper}, helper
		}},
		{"handed over by two hosts", func(t *testing.T, change func(*host)) ([]*host, *host) {
			helper, address := startHelper(t, 1)
			change(helper)
			return []*host{startCutHost(t, address), startCutHost(t, address)}, helper
		}},
	}
	for _, way := range ways {
		for _, c := range sharedCounts {
			t.Run(way.name+", "+c.name, func(t *testing.T) {
				t.Parallel()
				senders, reached := way.start(t, func(h *host) { h.change(c.change) })
				reached.setAnswer(c.answer)
				const requests = 64
				var group sync.WaitGroup
				began := time.Now()
				for worker := range maxInFlight {
					group.Go(func() {
						for i := range requests / maxInFlight {
							h := senders[(worker+i)%len(senders)]
							caller := h.dial(t)
							caller.send("GET", "/read/x", fmt.Sprint(worker, "-", i), "")
							if _, _, err := caller.readAnswer(); err != nil {
								t.Error(err)
							}
						}
					})
				}
				group.Wait()
				seconds := time.Since(began).Seconds()
				runs, most := float64(reached.runs()), c.most(requests)
				if runs > most*max(1, seconds) {
					t.Errorf("%g of %d requests reached the endpoint in %.1f s, at most %g may", runs, requests, seconds, most)
				}
				if most > 0 && runs == 0 {
					t.Error("the endpoint got no request")
				}
			})
		}
	}
}
