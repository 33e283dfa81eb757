package fleet_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/edits"
	"clementinelock/core/fake"
	"clementinelock/core/fleet"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// site is a deployment of three regions with two availability zones each on virtual time.
type site struct {
	*fake.Simulation
	t        testing.TB
	seeds    []string
	zones    map[string]string
	disks    map[string]*fake.Disk
	controls map[string]*fleet.Control
	// full holds the control hosts whose disks take no bytes.
	full map[string]bool
	// syncDelay is added to the time that a sync takes.
	syncDelay core.Millis
	// gone holds the hosts that were removed for good.
	gone    map[string]bool
	entries map[string]*entryHost
	process uint64
	ticket  uint64
	replies map[uint64]func(core.Reply)
	list    []roster.Entry
	// acked is the highest version that an operator was told is in force.
	acked       uint64
	published   uint64
	evacuated   map[string]bool
	unconfirmed map[string]bool
	// clocks holds by how much the clocks of control hosts are ahead of the simulation's; the others show its time.
	clocks map[string]core.Millis
	// OnControl is called with each control host before its start; it may be nil.
	OnControl func(c *fleet.Control)
	// OnEntry returns the process that runs an entry host; nil runs the host by itself.
	OnEntry func(e *entryHost) fake.Process
}

// entryHost checks that versions and indexes never go back within one process.
type entryHost struct {
	*fleet.Entry
	t       testing.TB
	version uint64
	index   uint64
}

func (e *entryHost) Receive(now core.Millis, from string, message core.Message) core.Effects {
	_, effects := e.Entry.Receive(now, from, message)
	held := e.Dump(now)
	if held.Version < e.version || held.Index < e.index {
		e.t.Fatalf("entry host %s went from version %d at index %d to version %d at index %d", e.Name, e.version, e.index, held.Version, held.Index)
	}
	e.version, e.index = held.Version, held.Index
	return effects
}

func region(zone string) string { return zone[:2] }

// controlZones and entryZones place the hosts of a small deployment.
var (
	controlZones = []string{"r0-a", "r1-a", "r2-a", "r0-b", "r1-b", "r2-b"}
	entryZones   = []string{"r0-a", "r0-a", "r1-a", "r1-a", "r2-a", "r2-a", "r0-b", "r1-b", "r2-b"}
)

func newSite(t testing.TB, seed uint64) *site {
	return newSiteIn(t, seed, controlZones, entryZones)
}

// newSiteIn places a control host and an entry host in each of the availability zones given; the first three
// control hosts are the seeds.
func newSiteIn(t testing.TB, seed uint64, controls, entries []string) *site {
	s := &site{
		Simulation: fake.NewSimulation(seed), t: t, zones: map[string]string{}, disks: map[string]*fake.Disk{}, controls: map[string]*fleet.Control{},
		full: map[string]bool{}, gone: map[string]bool{}, clocks: map[string]core.Millis{}, entries: map[string]*entryHost{}, replies: map[uint64]func(core.Reply){}, evacuated: map[string]bool{}, unconfirmed: map[string]bool{},
	}
	s.TickInterval = fleet.ControlTickInterval
	s.Delay = func(from, to string) core.Millis {
		if region(s.zones[from]) != region(s.zones[to]) {
			return 20
		}
		return 1
	}
	s.OnEffects = s.carry
	var names []string
	for i, zone := range controls {
		name := fmt.Sprintf("control-%d", i)
		s.zones[name] = zone
		names = append(names, name)
	}
	s.seeds = names[:3]
	for i, name := range names {
		incarnation := uint64(1)
		if i >= 3 {
			incarnation = uint64(100 + i)
		}
		s.disks[name] = fake.NewDisk(incarnation)
		s.At(s.Now+core.Millis(s.Rand.IntN(300)), func() { s.startControl(name) })
	}
	for i, zone := range entries {
		name := fmt.Sprintf("entry-%d", i)
		s.zones[name] = zone
		s.At(s.Now+core.Millis(s.Rand.IntN(300)), func() { s.startEntry(name) })
	}
	s.list = []roster.Entry{{ID: "i-1", Service: "s", Zone: "r0-a", Address: "a", Slots: 3}}
	return s
}

func (s *site) startControl(name string) {
	s.process++
	c := &fleet.Control{
		ControlHost: fleet.ControlHost{Name: name, Region: region(s.zones[name]), Zone: s.zones[name]},
		Process:     s.process, Rand: rand.New(rand.NewPCG(s.Rand.Uint64(), 1)), Seeds: s.seeds, ListCallsPerSecond: 40,
	}
	s.controls[name] = c
	if s.OnControl != nil {
		s.OnControl(c)
	}
	effects, err := c.Start(s.clock(name), s.disks[name].Stored)
	if err != nil {
		s.t.Fatal(err)
	}
	s.Apply(name, effects)
	s.Start(name, clocked{c, s.clocks[name]})
}

// clock returns the time that a host's clock shows.
func (s *site) clock(name string) core.Millis {
	return s.Now + s.clocks[name]
}

// clocked is a process whose clock is ahead of the simulation's.
type clocked struct {
	fake.Process
	ahead core.Millis
}

func (c clocked) Tick(now core.Millis) core.Effects {
	return c.Process.Tick(now + c.ahead)
}

func (c clocked) Receive(now core.Millis, from string, message core.Message) core.Effects {
	return c.Process.Receive(now+c.ahead, from, message)
}

func (s *site) startEntry(name string) {
	s.process++
	e := &entryHost{t: s.t, Entry: &fleet.Entry{
		EntryHost: fleet.EntryHost{Name: name, Region: region(s.zones[name]), Zone: s.zones[name], Address: name, Process: s.process, Ready: true},
		Rand:      rand.New(rand.NewPCG(s.Rand.Uint64(), 1)), Seeds: s.seeds,
	}}
	e.Entry.Start(s.Now)
	s.entries[name] = e
	if s.OnEntry != nil {
		s.Start(name, s.OnEntry(e))
		return
	}
	s.Start(name, e)
}

// carry syncs writes after a delay, reads the list where it is due and delivers replies.
func (s *site) carry(host string, e core.Effects) {
	c := s.controls[host]
	if len(e.Writes) > 0 {
		disk, last := s.disks[host], e.Writes[len(e.Writes)-1].Seq
		disk.Queue(e.Writes...)
		s.At(s.Now+s.syncDelay+1+core.Millis(s.Rand.IntN(20)), func() { s.sync(host, c, disk, last) })
	}
	if c != nil && s.Up(host) && c.ListReadDue(s.clock(host)) {
		asked, entries := s.clock(host), slices.Clone(s.list)
		s.At(s.Now+5, func() {
			if s.controls[host] == c && s.Up(host) {
				s.Apply(host, c.SetList(s.clock(host), asked, entries, 1))
			}
		})
	}
	for _, r := range e.Replies {
		if reply := s.replies[r.Ticket]; reply != nil {
			delete(s.replies, r.Ticket)
			reply(r)
		}
	}
}

// sync syncs the writes of a control host up to a number, once its disk has room.
func (s *site) sync(host string, c *fleet.Control, disk *fake.Disk, last uint64) {
	switch {
	case s.controls[host] != c || !s.Up(host) || s.disks[host] != disk:
	case s.full[host]:
		s.At(s.Now+50, func() { s.sync(host, c, disk, last) })
	default:
		disk.Sync(last)
		s.Apply(host, c.Synced(s.clock(host), last))
	}
}

// cutZone cuts the hosts of an availability zone off from all others, and returns them.
func (s *site) cutZone(zone string) (inside []string) {
	var outside []string
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		if s.zones[name] == zone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, name := range inside {
		s.Isolate(name, outside, true)
	}
	return inside
}

// crash ends a host's process; with powerLoss unsynced writes may be lost too.
func (s *site) crash(name string, powerLoss bool) {
	s.Crash(name)
	if disk := s.disks[name]; disk != nil {
		reached := 1 << 20
		if powerLoss {
			reached = s.Rand.IntN(3)
		}
		disk.Crash(reached)
	}
}

// startHost starts a host that is down.
func (s *site) startHost(name string) {
	switch {
	case s.Up(name) || s.gone[name]:
	case s.disks[name] != nil:
		s.startControl(name)
	default:
		s.startEntry(name)
	}
}

// replaceDisk crashes a control host and replaces its disk by an empty one.
func (s *site) replaceDisk(name string) {
	s.crash(name, true)
	s.disks[name] = fake.NewDisk(s.Rand.Uint64N(1<<62) + 2)
}

func (s *site) upControls() []string {
	var names []string
	for name := range s.disks {
		if s.Up(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// sendOrder sends an operator's order to a host, and then to others until it is confirmed or the tries are used
// up.
func (s *site) sendOrder(tries int, order func(c *fleet.Control, ticket uint64) core.Effects, done func(core.Reply)) {
	up := s.upControls()
	if tries == 0 || len(up) == 0 {
		return
	}
	name := up[s.Rand.IntN(len(up))]
	s.ticket++
	answered := false
	retry := func() {
		if !answered {
			answered = true
			s.sendOrder(tries-1, order, done)
		}
	}
	s.replies[s.ticket] = func(r core.Reply) {
		if answered {
			return
		}
		if r.Refusal != nil {
			retry()
			return
		}
		answered = true
		done(r)
	}
	s.At(s.Now+core.Second, retry)
	s.Apply(name, order(s.controls[name], s.ticket))
}

// publish sends the next version.
func (s *site) publish() {
	s.published += 1 + s.Rand.Uint64N(3)
	version := s.published
	document := routes.Document{Version: version, Text: fmt.Appendf(nil, "version %d", version)}
	s.sendOrder(6, func(c *fleet.Control, ticket uint64) core.Effects {
		return c.Publish(s.clock(c.Name), ticket, document)
	}, func(core.Reply) {
		s.acked = max(s.acked, version)
	})
}

// evacuate begins or ends an evacuation; until it is confirmed either state may hold.
func (s *site) evacuate(zone string, active bool) {
	if s.unconfirmed[zone] {
		return
	}
	s.unconfirmed[zone] = true
	s.sendOrder(6, func(c *fleet.Control, ticket uint64) core.Effects {
		return c.Evacuate(s.clock(c.Name), ticket, edits.Evacuation{Zone: zone, Active: active})
	}, func(core.Reply) {
		s.evacuated[zone], s.unconfirmed[zone] = active, false
	})
}

// read asks one host after the other for the newest document and checks that it is no older than what was
// confirmed before.
func (s *site) read(tries int, check func(routes.Document)) {
	minVersion := s.acked
	s.sendOrder(tries, func(c *fleet.Control, ticket uint64) core.Effects { return c.Read(s.clock(c.Name), ticket) }, func(r core.Reply) {
		document := r.Body.(*fleet.OrderResult).Document
		if document.Version < minVersion {
			s.t.Fatalf("a read returned version %d after version %d was confirmed", document.Version, minVersion)
		}
		if document.Version > 0 && string(document.Text) != fmt.Sprintf("version %d", document.Version) {
			s.t.Fatalf("version %d has the text %q", document.Version, document.Text)
		}
		check(document)
	})
}

// settle heals all faults and checks that all that was confirmed is in force at every host.
func (s *site) settle() {
	s.Heal()
	s.LossRate, s.DuplicateRate = 0, 0
	for name := range s.zones {
		s.Freeze(name, false)
		s.startHost(name)
	}
	// The contact window, and the time within which a configuration has to be in force.
	s.RunFor(3*core.Second + 2500)
	got := uint64(0)
	// An operator that reads at the end of a run retries for at least the contact window.
	s.read(3, func(d routes.Document) { got = d.Version })
	s.RunFor(3 * core.Second)
	if got < s.acked || got == 0 && s.acked > 0 {
		s.t.Fatalf("a read after the faults were healed returned version %d, version %d was confirmed", got, s.acked)
	}
	for name, e := range s.entries {
		view := e.View(s.Now)
		if view.Document.Version < s.acked {
			s.t.Fatalf("entry host %s has version %d, version %d was confirmed", name, view.Document.Version, s.acked)
		}
		s.checkEvacuations(name, view.Evacuated)
		if !view.ListKnown || view.ListAge > 3*core.Second {
			s.t.Fatalf("entry host %s has a list of age %s or none, expected at most 3s", name, view.ListAge)
		}
		if view.Entries.All != len(s.entries) {
			s.t.Fatalf("entry host %s counts %d entry hosts, expected %d", name, view.Entries.All, len(s.entries))
		}
	}
	for name, c := range s.controls {
		for _, zone := range []string{"r0-a", "r1-b"} {
			if got := c.Directory(region(zone), zone); len(got) < 2 {
				s.t.Fatalf("control host %s lists %v for zone %s, expected at least two", name, got, zone)
			}
		}
	}
}

func (s *site) checkEvacuations(name string, got []string) {
	for zone, active := range s.evacuated {
		if !s.unconfirmed[zone] && slices.Contains(got, zone) != active {
			s.t.Fatalf("entry host %s has %v evacuated, but for %s evacuated=%t was confirmed", name, got, zone, active)
		}
	}
}
