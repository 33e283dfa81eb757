package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
)

// zoneFixture is an availability zone with two control hosts, each of which hears half of the entry hosts.
type zoneFixture struct {
	now      core.Millis
	controls []*fleet.Control
	hosts    []fleet.EntryHost
	// load is the load of the whole zone, which the named hosts share, in thousandths of what one host should have.
	load float64
	down map[string]bool
}

func newZoneFixture(t *testing.T, hosts int, reportsLoad bool) *zoneFixture {
	f := &zoneFixture{now: core.Hour, down: map[string]bool{}}
	for i := range 2 {
		c := &fleet.Control{ControlHost: fleet.ControlHost{Name: fmt.Sprint("c", i), Region: "r", Zone: "z"}, Process: 1, Rand: rand.New(rand.NewPCG(1, 1)), Seeds: []string{"c0", "c1"}}
		if _, err := c.Start(f.now, core.Stored{Vote: core.Vote{Incarnation: uint64(i) + 1}}); err != nil {
			t.Fatal(err)
		}
		f.controls = append(f.controls, c)
	}
	for i := range hosts {
		f.hosts = append(f.hosts, fleet.EntryHost{Name: fmt.Sprint("e", 10+i), Region: "r", Zone: "z", Address: fmt.Sprint("e", 10+i), Process: 1, Ready: true, ReportsLoad: reportsLoad})
	}
	return f
}

// run lets time pass, with reports of the entry hosts each 0.8 s and ticks of the control hosts in between.
func (f *zoneFixture) run(length core.Millis) {
	for end := f.now + length; f.now < end; f.now += 50 {
		if f.now%800 == 0 {
			f.report()
		}
		for i, c := range f.controls {
			for _, send := range c.Tick(f.now).Sends {
				if _, isShare := send.Message.(*fleet.Share); isShare {
					f.controls[1-i].Receive(f.now, fmt.Sprint("c", i), send.Message)
				}
			}
		}
	}
}

func (f *zoneFixture) report() {
	named := f.named()
	for i, host := range f.hosts {
		if f.down[host.Name] {
			continue
		}
		load := 0.0
		for _, address := range named {
			if address == host.Address {
				load = f.load / float64(len(named))
			}
		}
		f.controls[i%2].Receive(f.now, host.Name, &fleet.Report{EntryHost: host, Load: uint32(load)})
	}
}

func (f *zoneFixture) named() []string {
	return f.controls[0].Directory("r", "z")
}

// TestLookupsNameAsManyHostsAsTheLoadNeeds covers a large zone, whose callers would spread over all entry hosts and
// give each so few requests that it neither reuses connections to endpoints nor learns of their load: look-ups name
// as many hosts as the load needs, more at once when it rises, others when hosts fall, and fewer slowly.
func TestLookupsNameAsManyHostsAsTheLoadNeeds(t *testing.T) {
	t.Parallel()
	f := newZoneFixture(t, 30, true)
	f.load = 12000
	f.run(60 * core.Second)
	if got := len(f.named()); got < 12 || got > 14 {
		t.Fatalf("%d of 30 hosts are named for 12 times the load of one, expected 12 to 14", got)
	}
	for _, c := range f.controls {
		if fmt.Sprint(c.Directory("r", "z")) != fmt.Sprint(f.named()) {
			t.Fatal("the control hosts name different hosts")
		}
	}
	f.load = 27000
	f.run(3 * core.Second)
	if got := len(f.named()); got < 27 {
		t.Fatalf("%d hosts are named 3 s after the load has risen to 27 times that of one, expected 27 or more", got)
	}
	f.load = 12000
	f.run(3 * core.Second)
	if got := len(f.named()); got < 20 {
		t.Fatalf("%d hosts are named 3 s after the load has fallen, expected it to go down slowly", got)
	}
	f.run(60 * core.Second)
	before := f.named()
	for _, address := range before[:5] {
		f.down[address] = true
	}
	f.run(4 * core.Second)
	after := f.named()
	if len(after) < len(before) {
		t.Fatalf("%d hosts are named after 5 of %d have fallen", len(after), len(before))
	}
	for _, address := range after {
		if f.down[address] {
			t.Fatalf("host %s is named 4 s after it has fallen", address)
		}
	}
}

// TestFewHostsAreAllNamed names all hosts of a small zone, and all of a zone whose hosts don't report their load.
func TestFewHostsAreAllNamed(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		hosts       int
		reportsLoad bool
	}{{2, true}, {30, false}} {
		f := newZoneFixture(t, c.hosts, c.reportsLoad)
		f.load = 100
		f.run(30 * core.Second)
		if got := len(f.named()); got != c.hosts {
			t.Fatalf("%d of %d hosts are named, load reported: %t", got, c.hosts, c.reportsLoad)
		}
	}
}

// TestHostsWithoutEntryHostsReadNoList covers the loss of the leader where each availability zone has three control
// hosts: those to which no entry host reports don't read the list themselves.
func TestHostsWithoutEntryHostsReadNoList(t *testing.T) {
	t.Parallel()
	now := core.Hour
	c := &fleet.Control{ControlHost: fleet.ControlHost{Name: "c", Region: "r", Zone: "z"}, Process: 1, Rand: rand.New(rand.NewPCG(1, 1)), Seeds: []string{"a", "b"}}
	if _, err := c.Start(now, core.Stored{Vote: core.Vote{Incarnation: 1}}); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		now += fleet.ControlTickInterval
		c.Tick(now)
		if c.ListReadDue(now) {
			t.Fatal("a control host without entry hosts reads the list")
		}
	}
	c.Receive(now, "e", &fleet.Report{EntryHost: fleet.EntryHost{Name: "e", Region: "r", Zone: "z", Process: 1}})
	if !c.ListReadDue(now) {
		t.Fatal("a control host does not read the list when an entry host needs it")
	}
}
