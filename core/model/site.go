package model

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/core/ctrl"
	"clementinelock/core/fake"
	"clementinelock/core/host"
	"clementinelock/core/ledger"
	"clementinelock/core/tree"
)

// Site is a whole deployment of machines on virtual time, with model upstreams and callers that check what they are told. Set the exported fields before Start.
type Site struct {
	*fake.World
	Seed uint64
	Tree *tree.Tree
	// Fail is told of each broken promise; it must not return.
	Fail func(format string, args ...any)
	// Service draws the time that a request runs at its endpoint.
	Service func() core.Millis
	// Control lists the control hosts; empty for the first host of each region.
	Control []string

	View     *tree.View
	Machines map[string]*host.Machine
	Upstream map[string]*Upstream
	Requests []*Request
	Answers  map[core.Kind]int
	disks    map[string]*fake.Disk
	sends    map[attemptID]*sending
	told     map[requestID]*Request
	runs     map[string]int
	notRun   map[string]bool
	force    map[string]uint64
	replies  map[uint64]func(core.Reply)
	tickets  uint64
	ids      uint64
}

// The counts of Answers that are no refusals.
const (
	Served   core.Kind = "Served"
	Replayed core.Kind = "Replayed"
)

type requestID struct {
	host string
	id   uint64
}

type attemptID struct {
	host    string
	attempt uint64
}

// Request is a caller's request as its caller knows it.
type Request struct {
	Host, Service string
	Mark          string
	Keyed         bool
	Began         core.Millis
	Deadline      core.Millis
	Answered      bool
	Answer        core.Answer
	At            core.Millis
	// Ran is the time that the request's first attempt takes at its endpoint.
	Ran      core.Millis
	firstRan core.Millis
}

// Start brings every host up.
func (s *Site) Start() {
	s.World = fake.NewWorld(s.Seed)
	s.View = tree.NewView(s.Tree)
	s.Machines, s.disks, s.Upstream = map[string]*host.Machine{}, map[string]*fake.Disk{}, map[string]*Upstream{}
	s.sends, s.told, s.runs, s.notRun = map[attemptID]*sending{}, map[requestID]*Request{}, map[string]int{}, map[string]bool{}
	s.force, s.replies, s.Answers = map[string]uint64{}, map[uint64]func(core.Reply){}, map[core.Kind]int{}
	if s.Service == nil {
		s.Service = func() core.Millis { return 1 + core.Millis(s.Rand.ExpFloat64()*meanService) }
	}
	s.Delay = func(from, to string) core.Millis { return s.between(s.Zone(from), s.Zone(to)) }
	s.Carry = s.carry
	s.addUpstreams()
	if len(s.Control) == 0 {
		for _, region := range s.View.Regions {
			s.Control = append(s.Control, s.View.RegionHosts(region.Name)[0])
		}
	}
	for _, name := range s.Control {
		s.disks[name] = fake.NewDisk(1)
	}
	for _, name := range s.View.HostNames() {
		s.Begin(name)
	}
}

// meanService is the mean time in milliseconds that a request runs.
const meanService = 8

// Zone returns a host's availability zone.
func (s *Site) Zone(name string) string {
	place, _ := s.View.Host(name)
	return place.Zone
}

// between is the time one way between two zones.
func (s *Site) between(a, b string) core.Millis {
	switch {
	case a == b:
		return 0
	case s.View.RegionOf(a) == s.View.RegionOf(b):
		return 1
	default:
		return 20
	}
}

// Begin starts a host, or starts it again.
func (s *Site) Begin(name string) {
	place, _ := s.View.Host(name)
	seeds := map[string][]string{}
	for _, zone := range s.View.Zones {
		seeds[zone.Name] = s.View.ZoneHosts(zone.Name)
	}
	m := &host.Machine{
		Self: name, Region: place.Region, Zone: place.Zone, Incarnation: uint64(s.Now), ControlHosts: s.Control, Seeds: seeds,
		Rand: rand.New(rand.NewPCG(s.Rand.Uint64(), 3)),
	}
	s.Machines[name] = m
	stored := core.Stored{}
	if disk := s.disks[name]; disk != nil {
		stored = disk.Stored
	}
	effects, err := m.Start(s.Now, stored)
	if err != nil {
		s.Fail("host %s: %v", name, err)
	}
	s.Do(name, effects)
	s.World.Start(name, m)
}

// Kill ends a host; what it sent to upstreams is cancelled when they notice.
func (s *Site) Kill(name string) {
	s.Crash(name)
	if disk := s.disks[name]; disk != nil {
		disk.Crash(s.Rand.IntN(3))
	}
	for id, sent := range s.sends {
		if id.host == name && !s.zonesCut(s.Zone(name), sent.up.Zone) {
			s.At(s.Now+s.between(s.Zone(name), sent.up.Zone), func() { s.stopRun(sent) })
		}
	}
}

// zonesCut tells whether two zones are cut off from each other, by the way between their first hosts.
func (s *Site) zonesCut(a, b string) bool {
	return a != b && s.IsCut(s.View.ZoneHosts(a)[0], s.View.ZoneHosts(b)[0])
}

// CutZone cuts a zone off from all others, or mends it.
func (s *Site) CutZone(zone string, cut bool) {
	for _, other := range s.View.Zones {
		if other.Name == zone {
			continue
		}
		for _, a := range s.View.ZoneHosts(zone) {
			s.Isolate(a, s.View.ZoneHosts(other.Name), cut)
		}
	}
}

// Step runs one input of a host.
func (s *Site) Step(name string, input func(m *host.Machine) core.Effects) {
	if s.Up(name) {
		s.Do(name, input(s.Machines[name]))
	}
}

// carry carries out what a machine asks for and checks what it says.
func (s *Site) carry(name string, e core.Effects) {
	m := s.Machines[name]
	if len(e.Writes) > 0 {
		s.sync(name, m, e.Writes)
	}
	for _, each := range e.Dispatches {
		s.dispatch(name, each)
	}
	for _, each := range e.Aborts {
		s.abort(name, each.Attempt)
	}
	for _, each := range e.Answers {
		s.answer(name, each)
	}
	for _, each := range e.Replies {
		if done := s.replies[each.Ticket]; done != nil {
			delete(s.replies, each.Ticket)
			done(each)
		}
	}
	for _, each := range e.Polls {
		s.poll(name, each.Endpoint)
	}
	s.checkVersion(name, m)
}

func (s *Site) sync(name string, m *host.Machine, writes []core.Write) {
	disk, last := s.disks[name], writes[len(writes)-1].Seq
	disk.Queue(writes...)
	s.At(s.Now+1, func() {
		if s.Machines[name] == m && s.Up(name) {
			disk.Sync(last)
			s.Do(name, m.Synced(s.Now, last))
		}
	})
}

// checkVersion checks that a host never confirms less than it had confirmed, restarts included.
func (s *Site) checkVersion(name string, m *host.Machine) {
	dump := m.Versions()
	if dump.InForce != 0 && dump.InForce < s.force[name] {
		s.Fail("seed %d: host %s has version %d in force after it had confirmed %d", s.Seed, name, dump.InForce, s.force[name])
	}
	s.force[name] = max(s.force[name], dump.Confirmed)
}

// answer checks a caller's answer: it comes once, it is its own, and what is called not run never ran.
func (s *Site) answer(name string, a core.Answer) {
	r := s.told[requestID{name, a.Request}]
	if r == nil || r.Answered {
		s.Fail("seed %d: request %d at %s is answered twice or was never made", s.Seed, a.Request, name)
	}
	r.Answered, r.Answer, r.At = true, a, s.Now
	switch {
	case a.Refusal != nil:
		s.Answers[a.Refusal.Kind]++
		if a.Refusal.Ran == core.RanNo {
			s.notRun[r.Mark] = true
			if s.runs[r.Mark] > 0 {
				s.Fail("seed %d: request %s ran and is called not run: %v", s.Seed, r.Mark, a.Refusal)
			}
		}
	case a.Stored != nil:
		s.Answers[Replayed]++
		if r.Keyed && string(a.Stored.Body) != r.Mark {
			s.Fail("seed %d: request %s got the answer %q", s.Seed, r.Mark, a.Stored.Body)
		}
	default:
		s.Answers[Served]++
		if sent := s.sends[attemptID{name, a.Attempt}]; sent == nil || sent.mark != r.Mark {
			s.Fail("seed %d: request %s got another's answer", s.Seed, r.Mark)
		} else {
			r.Ran = sent.request.firstRan
		}
	}
}

// Call makes a caller's request at a host; without post it is idempotent. It returns nil when the host is down.
func (s *Site) Call(name, service, key string, post bool, remaining core.Millis) *Request {
	s.ids++
	a := call.Arrival{ID: s.ids, Service: service, Idempotent: !post, Remaining: remaining, Replayable: true, Digest: 7}
	r := &Request{Host: name, Service: service, Mark: fmt.Sprintf("r%d", s.ids), Deadline: s.Now + remaining, Began: s.Now, Keyed: key != ""}
	if key != "" {
		a.KeyText, a.Key, r.Mark = key, service+" "+key, key
	}
	if !s.Up(name) {
		return nil
	}
	s.told[requestID{name, a.ID}] = r
	s.Requests = append(s.Requests, r)
	s.Step(name, func(m *host.Machine) core.Effects { return m.Arrive(s.Now, a) })
	return r
}

// Ask puts an operator's question at a host.
func (s *Site) Ask(name string, ask ctrl.Request, done func(*ctrl.Body, *core.Refusal)) {
	s.tickets++
	s.replies[s.tickets] = func(r core.Reply) {
		body, _ := r.Body.(*ctrl.Body)
		done(body, r.Refusal)
	}
	ticket := s.tickets
	s.Step(name, func(m *host.Machine) core.Effects { return m.Operator(s.Now, ticket, ask) })
}

// PutTree makes the tree the first version and waits until all serve.
func (s *Site) PutTree() {
	s.putTree(8 * core.Second)
}

func (s *Site) putTree(settle core.Millis) {
	s.For(3 * core.Second)
	edit := &tree.Edit{ID: "first", Changes: tree.Changes(tree.Compare(&tree.Tree{}, s.Tree))}
	accepted := false
	s.Ask(s.Control[0], ctrl.Request{Question: ctrl.AskEdit, Edit: edit}, func(_ *ctrl.Body, r *core.Refusal) {
		if r != nil {
			s.Fail("seed %d: the first tree was refused: %v", s.Seed, r)
		}
		accepted = true
	})
	s.For(settle)
	if !accepted {
		s.Fail("seed %d: the first tree was not accepted", s.Seed)
	}
}

// IssuedKey makes a key like those that the hosts of any region issue.
func (s *Site) IssuedKey() string {
	return s.keyOf(s.View.Regions[s.Rand.IntN(len(s.View.Regions))].Name)
}

func (s *Site) keyOf(region string) string {
	return ledger.Issue(region, s.Now, s.Rand.Uint64())
}

// CheckDoubles checks that no key and no request that must not be repeated ran twice.
func (s *Site) CheckDoubles() {
	for mark, count := range s.runs {
		if count > 1 && mark[0] != 'r' {
			s.Fail("seed %d: key %s ran %d times", s.Seed, mark, count)
		}
	}
}

// CheckAnswered checks that every caller of a host that lived got an answer by its deadline.
func (s *Site) CheckAnswered() {
	for id, r := range s.told {
		if !r.Answered && s.Up(id.host) && s.Machines[id.host] != nil && r.Began > 0 && s.Now > r.Deadline+core.Second && !s.restartedSince(id.host, r.Began) {
			s.Fail("seed %d: request %s at %s was never answered", s.Seed, r.Mark, id.host)
		}
	}
}

func (s *Site) restartedSince(name string, since core.Millis) bool {
	return s.Machines[name].Incarnation > uint64(since)
}

// AnyHost draws a host.
func (s *Site) AnyHost() string {
	names := s.View.HostNames()
	return names[s.Rand.IntN(len(names))]
}

// AnyEndpoint draws an endpoint.
func (s *Site) AnyEndpoint() *Upstream {
	names := slices.Sorted(maps.Keys(s.Upstream))
	return s.Upstream[names[s.Rand.IntN(len(names))]]
}

// Confirmed returns the newest version that a host has confirmed in any of its lives.
func (s *Site) Confirmed(name string) uint64 {
	return s.force[name]
}
