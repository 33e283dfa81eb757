package fleet_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/host"
	"clementinelock/core/roster"
)

// Processor time of traffic between hosts, for both directions, as measured with io/link on 100 connections.
const (
	connectionMicros = 1350 // microseconds, for each of the two ends
	messageMicros    = 57   // microseconds
	kilobyteMicros   = 10   // microseconds, measured 6 to 7
	// connectionIdleTimeout is the idle time after which io/fleet lets a connection be closed.
	connectionIdleTimeout = 3 * core.Second
)

// The users' targets for hosts in a deployment of this size.
const (
	// coreMicros is the part of a core that a control host has on the users' machines.
	coreMicros = 480_000 // microseconds a second
	// steadyMicros and steadyBytes are the targets for a host in steady state: 1.2% of a core, and 30 KB a
	// second.
	steadyMicros = 12_000 // microseconds a second
	steadyBytes  = 30_000
)

// usage counts what a host did in each second.
type usage struct {
	micros, bytes, messages, connections map[core.Millis]int
}

// largeSite is a deployment of 290 entry hosts that records the usage of each host.
type largeSite struct {
	*site
	work map[string]*usage
	last map[[2]string]core.Millis
}

func newLargeSite(t *testing.T, seed uint64) *largeSite {
	controls := []string{"r0-a", "r1-a", "r2-a", "r0-b", "r1-b", "r2-b", "r0-c", "r1-c", "r2-c"}
	var entries []string
	for i := range 290 {
		entries = append(entries, controls[i%len(controls)])
	}
	c := &largeSite{site: newSiteIn(t, seed, controls, entries), work: map[string]*usage{}, last: map[[2]string]core.Millis{}}
	c.OnSend = c.recordUsage
	return c
}

func (c *largeSite) usageOf(name string) *usage {
	w := c.work[name]
	if w == nil {
		w = &usage{map[core.Millis]int{}, map[core.Millis]int{}, map[core.Millis]int{}, map[core.Millis]int{}}
		c.work[name] = w
	}
	return w
}

func (c *largeSite) recordUsage(from, to string, message core.Message) {
	second := c.Now / core.Second
	size := len(host.Encode(message))
	pair := [2]string{min(from, to), max(from, to)}
	last, known := c.last[pair]
	c.last[pair] = c.Now
	for _, name := range []string{from, to} {
		w := c.usageOf(name)
		w.messages[second]++
		w.bytes[second] += size
		w.micros[second] += messageMicros + size*kilobyteMicros/1000
		if !known || c.Now-last > connectionIdleTimeout {
			w.connections[second]++
			w.micros[second] += connectionMicros
		}
	}
}

// longList returns the list of a deployment with ten endpoints for each host.
func longList() []roster.Entry {
	var entries []roster.Entry
	for i := range 2988 {
		entries = append(entries, roster.Entry{
			ID: fmt.Sprintf("i-%010x", i), Service: fmt.Sprintf("service-%d", i%4), Zone: "r0-a", Address: fmt.Sprintf("10.0.%d.%d:8508", i/250, i%250), Slots: 3,
		})
	}
	return entries
}

// checkUsage checks that no control host exceeded the processor time or the bytes in any second.
func (c *largeSite) checkUsage(from, until core.Millis, micros, bytes int) {
	c.t.Helper()
	for name := range c.disks {
		w := c.usageOf(name)
		for second := from / core.Second; second < until/core.Second; second++ {
			if w.micros[second] > micros || w.bytes[second] > bytes {
				c.t.Errorf("control host %s used %d ms of a core, %d KB, %d messages and %d connections in second %d, expected at most %d ms and %d KB",
					name, w.micros[second]/1000, w.bytes[second]/1000, w.messages[second], w.connections[second], second-core.Hour/core.Second, micros/1000, bytes/1000)
			}
		}
	}
}

// TestManyHostsStart starts 290 entry hosts that all know the same three control hosts. These must not be
// overloaded while they elect a leader.
func TestManyHostsStart(t *testing.T) {
	t.Parallel()
	c := newLargeSite(t, 1)
	c.list = nil
	// Endpoints start within some seconds too.
	for part := range 6 {
		c.At(c.Now+core.Millis(part+1)*500, func() { c.list = longList()[:(part+1)*len(longList())/6] })
	}
	crossRegion := 0
	c.OnSend = func(from, to string, message core.Message) {
		c.recordUsage(from, to, message)
		if u, ok := message.(*fleet.Update); ok && u.Endpoints != nil && region(c.zones[from]) != region(c.zones[to]) {
			crossRegion += u.Endpoints.Len()
		}
	}
	c.RunFor(500)
	c.publish()
	c.RunFor(7500)
	c.checkUsage(core.Hour, c.Now, coreMicros, math.MaxInt)
	for name, e := range c.entries {
		if view := e.View(c.Now); view.Document.Version == 0 || len(view.Endpoints) != len(longList()) {
			t.Fatalf("entry host %s has version %d and %d endpoints after 8 s", name, view.Document.Version, len(view.Endpoints))
		}
	}
	// Traffic between regions is expensive, and each entry host has a control host in its region.
	if most := len(c.entries) * len(longList()) / 10; crossRegion > most {
		t.Errorf("%d entries of the list went to entry hosts of other regions, expected at most %d", crossRegion, most)
	}
}

// TestManyHostsInSteadyState checks the load of idle control hosts against the users' targets.
func TestManyHostsInSteadyState(t *testing.T) {
	t.Parallel()
	c := newLargeSite(t, 2)
	c.list = longList()
	c.RunFor(500)
	c.publish()
	c.RunFor(15 * core.Second)
	steady := c.Now
	c.RunFor(5 * core.Second)
	c.checkUsage(steady+core.Second, c.Now, steadyMicros, steadyBytes)
}

// TestManyHostsWithoutLeader stops the majority of the control hosts. Entry hosts that look for one with a
// leader must not overload those that remain.
func TestManyHostsWithoutLeader(t *testing.T) {
	t.Parallel()
	c := newLargeSite(t, 3)
	c.list = longList()
	c.RunFor(500)
	c.publish()
	c.RunFor(12 * core.Second)
	for i := range 5 {
		c.crash(fmt.Sprintf("control-%d", i), false)
	}
	lostAt := c.Now
	c.RunFor(10 * core.Second)
	c.checkUsage(lostAt, c.Now, coreMicros, math.MaxInt)
	for i := range 5 {
		c.startHost(fmt.Sprintf("control-%d", i))
	}
	back := c.Now
	// The contact window, and the time within which a configuration has to be in force.
	c.RunFor(4 * core.Second)
	c.publish()
	c.RunFor(2500)
	c.checkUsage(back, c.Now, coreMicros, math.MaxInt)
	for name, e := range c.entries {
		if view := e.View(c.Now); view.Document.Version != c.published {
			t.Errorf("entry host %s has version %d after the return of the control hosts, expected %d", name, view.Document.Version, c.published)
		}
	}
}

// TestManyHostsRestart restarts all hosts at once with their disks. Entry hosts must have the configuration and
// the list before a new leader is elected, since callers are waiting.
func TestManyHostsRestart(t *testing.T) {
	t.Parallel()
	for _, endpoints := range []int{400, 2988} {
		c := newLargeSite(t, 4)
		c.list = longList()[:endpoints]
		c.RunFor(500)
		c.publish()
		c.RunFor(10 * core.Second)
		for name := range c.zones {
			c.crash(name, true)
		}
		c.RunFor(core.Second)
		for _, name := range slices.Sorted(maps.Keys(c.zones)) {
			c.startHost(name)
		}
		back := c.Now
		// A service may be suspended for some seconds. The first second covers connecting and reading the lists
		// of control hosts.
		c.RunFor(1500)
		for name, e := range c.entries {
			if view := e.View(c.Now); view.Document.Version == 0 || len(view.Endpoints) != endpoints {
				t.Fatalf("entry host %s has version %d and %d of %d endpoints 1.5 s after its start", name, view.Document.Version, len(view.Endpoints), endpoints)
			}
		}
		c.checkUsage(back, c.Now, coreMicros, math.MaxInt)
	}
}

// TestLongListBetweenControlHosts starts all hosts of a deployment with a long list. Until there is a leader
// every control host reads the list, and none may send it to all others.
func TestLongListBetweenControlHosts(t *testing.T) {
	t.Parallel()
	c := newLargeSite(t, 5)
	c.list = longList()
	sent := 0
	c.OnSend = func(from, to string, message core.Message) {
		c.recordUsage(from, to, message)
		if share, ok := message.(*fleet.Share); ok && share.Endpoints != nil {
			sent += share.Endpoints.Len()
		}
	}
	c.RunFor(500)
	c.publish()
	c.RunFor(8 * core.Second)
	// The leader sends it to each of the others; the same amount is allowed for a second reader.
	if most := 2 * (len(c.controls) - 1) * len(c.list); sent > most {
		t.Fatalf("control hosts sent each other %d entries, expected at most %d", sent, most)
	}
}
