package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// attemptsConfiguration has two routes of one service; the second one's maxAttempts is set.
func attemptsConfiguration(version, maxAttempts int) string {
	text := `{"version":"r%d","services":[
{"name":"reads","healthPath":"/health","maxConnections":330,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":5.2}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"virtualHosts":[{"hostname":"shop.example","paths":[
{"name":"read","pathPrefix":"/read/","type":"safe","timeoutMs":4000,"targetLatencyMs":600,"priority":2,"backend":"reads","maxAttempts":2,"sessionAffinity":false,"allowedRegions":[]},
{"name":"list","pathPrefix":"/list/","type":"safe","timeoutMs":4000,"targetLatencyMs":600,"priority":2,"backend":"reads","maxAttempts":%d,"sessionAffinity":false,"allowedRegions":[]}]}]}`
	return fmt.Sprintf(text, version, maxAttempts)
}

// restart restarts the process of a machine whenever it has ended, after a short delay, as the platform does.
func (f *fleet) restart(m *machine, stop *atomic.Bool, ends *atomic.Int64) {
	for !stop.Load() {
		if m.hasExited() && !stop.Load() {
			ends.Add(1)
			f.recordPanic(m)
			time.Sleep(500 * time.Millisecond)
			if err := f.start(m, false); err != nil {
				f.record.line("process %s can't be started: %v", m.name, err)
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// oneRequest sends a request on a connection of its own and records its answer.
func oneRequest(rec *record, address, path string) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		rec.line("request %s (%s): no connection: %v", id, path, err)
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", path, id)
	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.line("request %s (%s): no answer: %v", id, path, err)
		return
	}
	rec.line("request %s (%s): answer %d", id, path, response.StatusCode)
}

// manyAttempts is the case of a configuration in which a route sets no practical limit to its attempts.
func manyAttempts(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(rec, []string{"mar-a", "ege-a", "akd-a"}, []string{"mar-a"})
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	if f.platform, err = newPlatform(f.prefix + ".60:0"); err != nil {
		return false, err
	}
	var endpoints []*endpoint
	for i := range 4 {
		e, err := f.newEndpoint("reads", fmt.Sprintf("i-%08x", rand.Uint32()), "mar-a", fmt.Sprintf("%s.%d", f.prefix, 70+i), 8, 250*time.Millisecond)
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	if err := f.startAll(attemptsConfiguration(1, 2)); err != nil {
		return false, err
	}
	time.Sleep(contactWindow + 2*time.Second)
	entry := f.entries[0]
	var answered, lost, ends atomic.Int64
	var stop, ended atomic.Bool
	arrived := func(id string) bool {
		for _, e := range endpoints {
			if e.hasRun(id) {
				return true
			}
		}
		return false
	}
	var clients, platform sync.WaitGroup
	platform.Go(func() { f.restart(entry, &ended, &ends) })
	for i := range 12 {
		k := &keptClient{record: rec, address: f.callers(entry), number: i, arrived: arrived, answered: &answered, lost: &lost, stop: &stop}
		clients.Go(k.run)
	}
	time.Sleep(2 * time.Second)
	limits := []int{3}
	if trouble {
		// On a machine that grants any allocation, only the second value ends the process.
		limits = []int{1<<31 - 1, 1<<53 - 1}
	}
	for i, limit := range limits {
		if ends.Load() > 0 {
			break
		}
		text := attemptsConfiguration(i+2, limit)
		if !f.order(fmt.Sprintf("a version with maxAttempts %d", limit), f.controls, http.MethodPost, "/config/put", text, 4*time.Second) {
			return false, fmt.Errorf("%w: the version was not acknowledged", errSetup)
		}
		time.Sleep(configApply)
		for range 6 {
			oneRequest(rec, f.callers(entry), "/list/all")
			time.Sleep(2 * time.Second)
		}
	}
	stop.Store(true)
	clients.Wait()
	ended.Store(true)
	platform.Wait()
	rec.line("requests on kept connections: %d answered, %d passed on to an endpoint and closed without an answer (the rule allows 3)", answered.Load(), lost.Load())
	rec.line("the entry host ended by itself %d times", ends.Load())
	return lost.Load() > 3, nil
}
