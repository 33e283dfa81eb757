package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// leader returns the control host that all control hosts call the leader, once they agree.
func (f *fleet) leader() (*machine, error) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		votes := map[string]int{}
		for _, c := range f.controls {
			_, text, err := f.call(http.MethodGet, fmt.Sprintf("http://%s:%d/dump", c.ip, f.metricsPort), "", time.Second)
			var dump struct{ Quorum struct{ Leader string } }
			if err == nil && json.Unmarshal([]byte(text), &dump) == nil {
				votes[dump.Quorum.Leader]++
			}
		}
		for _, c := range f.controls {
			if votes[c.ip] == len(f.controls) {
				return c, nil
			}
		}
	}
	return nil, fmt.Errorf("%w: the control hosts agree on no leader", errSetup)
}

// lateOrder is the case of an order that was given to a control host while that was cut off from the others.
func lateOrder(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(rec, []string{"mar-a", "ege-a", "akd-a"}, []string{"mar-a", "mar-a"})
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	if f.platform, err = newPlatform(f.prefix + ".60:0"); err != nil {
		return false, err
	}
	relay, err := f.startRelay()
	if err != nil {
		return false, err
	}
	var mutex sync.Mutex
	var arrivals []time.Time
	for i := range 4 {
		zone := []string{"mar-a", "mar-b"}[i%2]
		e, err := f.newEndpoint("reads", fmt.Sprintf("i-%08x", rand.Uint32()), zone, fmt.Sprintf("%s.%d", f.prefix, 70+i), 8, 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		if zone == "mar-b" {
			e.onArrival = func(e *endpoint, id string) {
				mutex.Lock()
				defer mutex.Unlock()
				arrivals = append(arrivals, time.Now())
			}
		}
	}
	between := func(from, to time.Time) (count int) {
		mutex.Lock()
		defer mutex.Unlock()
		for _, at := range arrivals {
			if at.After(from) && at.Before(to) {
				count++
			}
		}
		return count
	}
	if err := f.startAll(attemptsConfiguration(1, 2)); err != nil {
		return false, err
	}
	leader, err := f.leader()
	if err != nil {
		return false, err
	}
	rec.line("the leader is %s", leader.name)
	var cutOff, other *machine
	for _, c := range f.controls {
		if c != leader && cutOff == nil {
			cutOff = c
		} else if c != leader {
			other = c
		}
	}
	time.Sleep(contactWindow + 2*time.Second)
	var answered, lost atomic.Int64
	var stop atomic.Bool
	var clients sync.WaitGroup
	for i := range 12 {
		k := &keptClient{record: rec, address: f.callers(f.entries[i%2]), number: i, arrived: func(string) bool { return false }, answered: &answered, lost: &lost, stop: &stop}
		clients.Go(k.run)
	}
	defer clients.Wait()
	defer stop.Store(true)
	began := time.Now()
	time.Sleep(3 * time.Second)
	rec.line("requests at endpoints of mar-b in 3 s before any evacuation: %d", between(began, time.Now()))
	orders := func(name, action string, hosts ...*machine) error {
		if !f.order(name, hosts, http.MethodPost, "/evacuation/mar-b/"+action, "", 4*time.Second) {
			return fmt.Errorf("%w: %s was not acknowledged", errSetup, name)
		}
		return nil
	}
	if err := orders("first start", "start", other, leader); err != nil {
		return false, err
	}
	time.Sleep(evacuation + time.Second)
	if trouble {
		rec.line("%s is cut off from the other control hosts", cutOff.name)
		relay.cut.Store(&cutOff.ip)
		time.AfterFunc(1500*time.Millisecond, func() {
			relay.cut.Store(nil)
			rec.line("the cut has healed; %d datagrams were dropped", relay.dropped.Load())
		})
	}
	if err := orders("end", "end", cutOff, other, leader); err != nil {
		return false, err
	}
	if err := orders("second start", "start", other, leader); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	// The core was not stable for a part of that time, which stretches the bound.
	bound := evacuation + maxStretch
	time.Sleep(bound + 6*time.Second)
	late := between(acknowledged.Add(bound), time.Now())
	rec.line("requests at endpoints of mar-b later than 10 s after the acknowledgement of the second start, which nobody took back: %d", late)
	for _, m := range f.entries {
		_, text, _ := f.call(http.MethodGet, fmt.Sprintf("http://%s:%d/dump", m.ip, f.metricsPort), "", time.Second)
		var dump struct{ Known struct{ Evacuated []string } }
		_ = json.Unmarshal([]byte(text), &dump)
		rec.line("%s holds as evacuated: %v", m.name, dump.Known.Evacuated)
	}
	return late > 0, nil
}
