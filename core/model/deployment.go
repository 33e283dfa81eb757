package model

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/core/crash"
	"clementinelock/core/ctrl"
	"clementinelock/core/fake"
	"clementinelock/core/host"
	"clementinelock/core/ledger"
	"clementinelock/core/tree"
)

// Deployment is a whole deployment of machines on virtual time, with simulated upstreams and callers
// that check the answers. Set the exported fields before Start.
type Deployment struct {
	*fake.Simulation
	Seed uint64
	Tree *tree.Tree
	// Fail is called with each violated guarantee; it must not return.
	Fail func(format string, args ...any)
	// ServiceTime draws the time that a request runs at its endpoint.
	ServiceTime func() core.Millis
	// Control lists the control hosts; if empty, the first host of each region is used.
	Control []string

	View         *tree.View
	Machines     map[string]*host.Machine
	Upstream     map[string]*Upstream
	Requests     []*Request
	Answers      map[core.Kind]int
	disks        map[string]*fake.Disk
	attempts     map[attemptID]*attempt
	requestsByID map[requestID]*Request
	runCounts    map[string]int
	refusedUnrun map[string]bool
	confirmed    map[string]uint64
	replies      map[uint64]func(core.Reply)
	lastTicket   uint64
	lastID       uint64
}

// The keys of Answers that are not refusals.
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

// Request is a caller's request and the answer that the caller got.
type Request struct {
	Host, Service string
	RunID         string
	Keyed         bool
	StartedAt     core.Millis
	Deadline      core.Millis
	Answered      bool
	Answer        core.Answer
	AnsweredAt    core.Millis
	// Content is the same in all repetitions of the request; Crashing is set if it ends each endpoint that runs it.
	Content  string
	Crashing bool
	// ServiceTime is how long the request's first run takes at its endpoint; 0 unless an attempt answered the caller.
	ServiceTime core.Millis
	// firstServiceTime is set when the first run starts.
	firstServiceTime core.Millis
}

// Start starts every host.
func (s *Deployment) Start() {
	s.Simulation = fake.NewSimulation(s.Seed)
	s.View = tree.NewView(s.Tree)
	s.Machines, s.disks, s.Upstream = map[string]*host.Machine{}, map[string]*fake.Disk{}, map[string]*Upstream{}
	s.attempts, s.requestsByID, s.runCounts, s.refusedUnrun = map[attemptID]*attempt{}, map[requestID]*Request{}, map[string]int{}, map[string]bool{}
	s.confirmed, s.replies, s.Answers = map[string]uint64{}, map[uint64]func(core.Reply){}, map[core.Kind]int{}
	if s.ServiceTime == nil {
		s.ServiceTime = func() core.Millis { return 1 + core.Millis(s.Rand.ExpFloat64()*meanServiceMillis) }
	}
	s.Delay = func(from, to string) core.Millis { return s.oneWayDelay(s.Zone(from), s.Zone(to)) }
	s.OnEffects = s.applyEffects
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
		s.StartHost(name)
	}
}

// meanServiceMillis is the mean time in ms that a request runs.
const meanServiceMillis = 8

// Zone returns a host's availability zone.
func (s *Deployment) Zone(name string) string {
	place, _ := s.View.Host(name)
	return place.Zone
}

// oneWayDelay returns the one-way delay between two zones.
func (s *Deployment) oneWayDelay(a, b string) core.Millis {
	switch {
	case a == b:
		return 0
	case s.View.RegionOf(a) == s.View.RegionOf(b):
		return 1
	default:
		return 20
	}
}

// StartHost starts or restarts a host.
func (s *Deployment) StartHost(name string) {
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
	s.Apply(name, effects)
	s.Simulation.Start(name, m)
}

// Kill crashes a host; the upstreams that it can reach cancel its attempts after one network delay.
func (s *Deployment) Kill(name string) {
	s.Crash(name)
	if disk := s.disks[name]; disk != nil {
		disk.Crash(s.Rand.IntN(3))
	}
	for id, sent := range s.attempts {
		if id.host == name && !s.zonesCut(s.Zone(name), sent.up.Zone) {
			s.At(s.Now+s.oneWayDelay(s.Zone(name), sent.up.Zone), func() { s.stopRun(sent) })
		}
	}
}

// zonesCut reports whether two zones are partitioned, by the path between their first hosts.
func (s *Deployment) zonesCut(a, b string) bool {
	return a != b && s.IsCut(s.View.ZoneHosts(a)[0], s.View.ZoneHosts(b)[0])
}

// CutZone partitions a zone from all others, or repairs the partition if cut is false.
func (s *Deployment) CutZone(zone string, cut bool) {
	for _, other := range s.View.Zones {
		if other.Name == zone {
			continue
		}
		for _, a := range s.View.ZoneHosts(zone) {
			s.Isolate(a, s.View.ZoneHosts(other.Name), cut)
		}
	}
}

// Step passes one input to a host that is up.
func (s *Deployment) Step(name string, input func(m *host.Machine) core.Effects) {
	if s.Up(name) {
		s.Apply(name, input(s.Machines[name]))
	}
}

// applyEffects carries out the effects of a machine and checks them.
func (s *Deployment) applyEffects(name string, e core.Effects) {
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

func (s *Deployment) sync(name string, m *host.Machine, writes []core.Write) {
	disk, last := s.disks[name], writes[len(writes)-1].Seq
	disk.Queue(writes...)
	s.At(s.Now+1, func() {
		if s.Machines[name] == m && s.Up(name) {
			disk.Sync(last)
			s.Apply(name, m.Synced(s.Now, last))
		}
	})
}

// checkVersion checks that no host has a version in force older than one that it had confirmed, restarts included.
func (s *Deployment) checkVersion(name string, m *host.Machine) {
	versions := m.Versions()
	if versions.InForce != 0 && versions.InForce < s.confirmed[name] {
		s.Fail("seed %d: host %s has version %d in force after confirming version %d", s.Seed, name, versions.InForce, s.confirmed[name])
	}
	s.confirmed[name] = max(s.confirmed[name], versions.Confirmed)
}

// answer checks a caller's answer: it comes once, it belongs to the request, and a request reported as not run has not
// run.
func (s *Deployment) answer(name string, a core.Answer) {
	r := s.requestsByID[requestID{name, a.Request}]
	if r == nil || r.Answered {
		s.Fail("seed %d: answer to request %d at %s, which is unknown or already answered", s.Seed, a.Request, name)
	}
	r.Answered, r.Answer, r.AnsweredAt = true, a, s.Now
	switch {
	case a.Refusal != nil:
		s.Answers[a.Refusal.Kind]++
		if a.Refusal.Ran == core.RanNo {
			s.refusedUnrun[r.RunID] = true
			if s.runCounts[r.RunID] > 0 {
				s.Fail("seed %d: request %s ran but was refused as not run: %v", s.Seed, r.RunID, a.Refusal)
			}
		}
	case a.Stored != nil:
		s.Answers[Replayed]++
		if r.Keyed && string(a.Stored.Body) != r.RunID {
			s.Fail("seed %d: request %s got a stored answer with a wrong body: %q", s.Seed, r.RunID, a.Stored.Body)
		}
	default:
		s.Answers[Served]++
		if sent := s.attempts[attemptID{name, a.Attempt}]; sent == nil || sent.runID != r.RunID {
			s.Fail("seed %d: request %s was answered from an attempt that has ended or belongs to another request", s.Seed, r.RunID)
		} else {
			r.ServiceTime = sent.request.firstServiceTime
		}
	}
}

// Call sends a caller's request to a host; the request is idempotent unless post is set.
// It returns nil if the host is down.
func (s *Deployment) Call(name, service, key string, post bool, remaining core.Millis) *Request {
	return s.send(name, service, key, post, remaining, &Request{Content: fmt.Sprint("unique ", s.lastID)})
}

// Repeat sends an idempotent request with the same content as earlier ones; crashing ones end each endpoint that runs
// them. It returns nil if the host is down.
func (s *Deployment) Repeat(name, service, content string, crashing bool, remaining core.Millis) *Request {
	return s.send(name, service, "", false, remaining, &Request{Content: content, Crashing: crashing})
}

// send sends a request with the content of r, whose other fields it sets.
func (s *Deployment) send(name, service, key string, post bool, remaining core.Millis, r *Request) *Request {
	s.lastID++
	a := call.Arrival{ID: s.lastID, Service: service, Idempotent: !post, Remaining: remaining, Replayable: true, Digest: 7, Content: crash.NewDigest([]byte(r.Content))}
	r.Host, r.Service, r.RunID, r.Keyed = name, service, fmt.Sprintf("r%d", s.lastID), key != ""
	r.Deadline, r.StartedAt = s.Now+remaining, s.Now
	if key != "" {
		a.KeyText, a.Key, r.RunID = key, service+" "+key, key
	}
	if !s.Up(name) {
		return nil
	}
	s.requestsByID[requestID{name, a.ID}] = r
	s.Requests = append(s.Requests, r)
	s.Step(name, func(m *host.Machine) core.Effects { return m.Arrive(s.Now, a) })
	return r
}

// Ask sends an operator's request to a host.
func (s *Deployment) Ask(name string, ask ctrl.Request, done func(*ctrl.Body, *core.Refusal)) {
	s.lastTicket++
	s.replies[s.lastTicket] = func(r core.Reply) {
		body, _ := r.Body.(*ctrl.Body)
		done(body, r.Refusal)
	}
	ticket := s.lastTicket
	s.Step(name, func(m *host.Machine) core.Effects { return m.RequestControl(s.Now, ticket, ask) })
}

// PutTree installs the tree as the first version and lets the deployment settle.
func (s *Deployment) PutTree() {
	s.putTree(8 * core.Second)
}

func (s *Deployment) putTree(settle core.Millis) {
	s.RunFor(3 * core.Second)
	edit := &tree.Edit{ID: "first", Changes: tree.Changes(tree.Compare(&tree.Tree{}, s.Tree))}
	accepted := false
	s.Ask(s.Control[0], ctrl.Request{Question: ctrl.AskEdit, Edit: edit}, func(_ *ctrl.Body, r *core.Refusal) {
		if r != nil {
			s.Fail("seed %d: the first tree was refused: %v", s.Seed, r)
		}
		accepted = true
	})
	s.RunFor(settle)
	if !accepted {
		s.Fail("seed %d: the first tree was not accepted", s.Seed)
	}
}

// IssuedKey returns a key as a host of a random region issues it.
func (s *Deployment) IssuedKey() string {
	return s.issueKey(s.View.Regions[s.Rand.IntN(len(s.View.Regions))].Name)
}

func (s *Deployment) issueKey(region string) string {
	return ledger.Issue(region, s.Now, s.Rand.Uint64())
}

// CheckNoDuplicateRuns checks that no key ran twice; run IDs that begin with r belong to requests without a key.
func (s *Deployment) CheckNoDuplicateRuns() {
	for runID, count := range s.runCounts {
		if count > 1 && runID[0] != 'r' {
			s.Fail("seed %d: key %s ran %d times", s.Seed, runID, count)
		}
	}
}

// CheckAnswered checks that every caller got an answer by its deadline, unless its host is down or has restarted.
func (s *Deployment) CheckAnswered() {
	for id, r := range s.requestsByID {
		if !r.Answered && s.Up(id.host) && s.Machines[id.host] != nil && r.StartedAt > 0 && s.Now > r.Deadline+core.Second && !s.restartedSince(id.host, r.StartedAt) {
			s.Fail("seed %d: request %s at %s was never answered", s.Seed, r.RunID, id.host)
		}
	}
}

func (s *Deployment) restartedSince(name string, since core.Millis) bool {
	return s.Machines[name].Incarnation > uint64(since)
}

// AnyHost returns a random host.
func (s *Deployment) AnyHost() string {
	names := s.View.HostNames()
	return names[s.Rand.IntN(len(names))]
}

// AnyEndpoint returns a random endpoint.
func (s *Deployment) AnyEndpoint() *Upstream {
	names := slices.Sorted(maps.Keys(s.Upstream))
	return s.Upstream[names[s.Rand.IntN(len(names))]]
}

// Confirmed returns the newest version that a host has confirmed, restarts included.
func (s *Deployment) Confirmed(name string) uint64 {
	return s.confirmed[name]
}
