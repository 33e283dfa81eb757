package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Bounds of the small deployment.
const (
	contactWindow = 3000 * time.Millisecond
	configApply   = 2500 * time.Millisecond
)

// frozenEntry freezes an entry host while configurations change and the other control host of its region is down. Once the entry host
// is in touch again, it must follow a configuration that was acknowledged configApplyMs before.
func frozenEntry(f *fleet, trouble bool) (outcome, error) {
	// Six rounds, since the order of what waits at the end of a freeze varies.
	const rounds = 6
	for i, service := range []string{"vitrin", "vitrin", "vitrin", "vitrin", "vitrin", "vitrin"} {
		if _, err := f.addEndpoint(i, service, 8, 20*time.Millisecond, 400); err != nil {
			return unable, err
		}
	}
	if err := f.start(6, 6); err != nil {
		return unable, err
	}
	version := 1
	var routes []route
	// change publishes a configuration with one more route, and returns its path and when it was acknowledged.
	change := func() (path string, acknowledged time.Time, err error) {
		version++
		path = fmt.Sprintf("/route%d/", version)
		routes = append(routes, route{fmt.Sprintf("r-%d", version), path, "safe", "vitrin", 800, 2})
		err = f.operate("/config/put", configuration(version, []string{"vitrin"}, routes), 10*time.Second)
		return path, time.Now(), err
	}
	if _, _, err := change(); err != nil {
		return unable, err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return unable, err
	}
	time.Sleep(6 * time.Second)
	stale := 0
	for r := range rounds {
		// The zone of the entry host, and the control host in the other zone of its region.
		entry, other := f.entries[3+r%3], f.controls[r%3]
		began := time.Now()
		at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
		if trouble {
			f.signal(entry, syscall.SIGSTOP)
		}
		for _, d := range []time.Duration{600, 1300} {
			at(d * time.Millisecond)
			if _, _, err := change(); err != nil {
				return unable, err
			}
		}
		if trouble {
			at(1900 * time.Millisecond)
			f.signal(other, syscall.SIGKILL)
		}
		at(2800 * time.Millisecond)
		if trouble {
			f.signal(entry, syscall.SIGCONT)
		}
		thawed := time.Now()
		at(2900 * time.Millisecond)
		path, acknowledged, err := change()
		if err != nil {
			return unable, err
		}
		f.record.logf("round %d: %s is acknowledged", r, path)
		inTouch := thawed.Add(contactWindow)
		for n := 0; time.Since(began) < 6800*time.Millisecond; n++ {
			sent := time.Now()
			a := call(f, entry, fmt.Sprintf("%04x%012x", r+1, n+1), http.MethodGet, path, 2*time.Second, 2*time.Second, "")
			if a.status == http.StatusNotFound && sent.After(acknowledged.Add(configApply)) && sent.After(inTouch) {
				f.record.logf("round %d: 404 as an older version says, %d ms after the acknowledgement and %d ms after the freeze", r, sent.Sub(acknowledged).Milliseconds(), sent.Sub(thawed).Milliseconds())
				stale++
			}
			time.Sleep(50 * time.Millisecond)
		}
		if trouble {
			at(6900 * time.Millisecond)
			if err := f.launch(other); err != nil {
				return unable, err
			}
		}
		// The control host has catchUpS to be back, and lists of hosts settle.
		at(16 * time.Second)
	}
	f.record.logf("%d requests were refused as an older version says", stale)
	if stale > 0 {
		return broken, nil
	}
	return held, nil
}
