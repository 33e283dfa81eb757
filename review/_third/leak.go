package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leak"] = leak }

// Figures of the trial.
const (
	leakInterval  = 2500 * time.Millisecond
	leakTime      = 70 * time.Second
	leakDeadline  = 4 * time.Second
	leakPerStep   = 4
	finalRequests = 20
)

// leak is a trial and no case: it repeats the disruption of the case silent, and then tells whether the hosts still serve.
func leak(f *fleet) int {
	f.choose()
	f.host = "caucao.example"
	f.services = []string{"extratos"}
	for i := range 24 {
		f.addEndpoint("extratos", i, 6, answerStatement)
	}
	f.routes = []map[string]any{{
		"name": "statement-fetch", "pathPrefix": "/statements/", "type": "safe", "timeoutMs": statementTimeout.Milliseconds(), "targetLatencyMs": 1000, "priority": 2,
		"backend": "extratos", "maxAttempts": 2, "sessionAffinity": false, "allowedRegions": []string{},
	}}
	f.start(3, 2)
	if _, ok := f.order(http.MethodPost, "/config/put", f.configuration(1), 20*time.Second); !ok {
		panic("no configuration was confirmed")
	}
	f.awaitReady("/statements/warm", 20*time.Second)
	var group sync.WaitGroup
	began := time.Now()
	next := 3 * time.Second
	for i := 0; time.Since(began) < leakTime; i++ {
		if time.Since(began) > next && f.trouble {
			next += leakInterval
			f.silenceHalf()
			for _, e := range f.endpoints {
				// The endpoints give up the answers on the silent connections.
				e.running.Store(0)
			}
			f.record.logf("requests in flight: %d and %d", f.inFlight(f.entries[0]), f.inFlight(f.entries[1]))
		}
		for j := range leakPerStep {
			p := f.entries[(i+j)%2]
			group.Go(func() {
				a := f.callWithin(p, http.MethodGet, fmt.Sprintf("/statements/%d", i), nil, leakDeadline, leakDeadline)
				if a.status != http.StatusOK && i%20 == 0 {
					f.record.logf("status %d, ended %t, took %.2f s", a.status, a.ended, a.took.Seconds())
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(5 * time.Second)
	for _, p := range f.entries {
		served, refused := 0, 0
		for range finalRequests {
			a := f.call(p, http.MethodGet, "/statements/x", nil, 2*time.Second)
			if a.status == http.StatusOK {
				served++
			} else if a.status == 0 {
				refused++
			}
		}
		r, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", p.ip, readyPort))
		status := 0
		if err == nil {
			status = r.StatusCode
			_ = r.Body.Close()
		}
		f.record.logf("%s: %d requests in flight, readiness %d; of %d requests, %d are served and %d get no answer", p.name, f.inFlight(p), status, finalRequests, served, refused)
	}
	return exitHeld
}
