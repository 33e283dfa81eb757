package host_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/core/codec"
	"clementinelock/core/ctrl"
	"clementinelock/core/fake"
	"clementinelock/core/host"
	"clementinelock/core/ledger"
	"clementinelock/core/tree"
	"clementinelock/io/config"
)

// site is a whole deployment of machines on virtual time, with fake upstreams and callers that check what they are told.
type site struct {
	*fake.World
	t        testing.TB
	seed     uint64
	tree     *tree.Tree
	view     *tree.View
	control  []string
	machines map[string]*host.Machine
	disks    map[string]*fake.Disk
	ups      map[string]*upstream
	sends    map[attemptID]*sending
	told     map[requestID]*request
	runs     map[string]int
	notRun   map[string]bool
	force    map[string]uint64
	replies  map[uint64]func(core.Reply)
	tickets  uint64
	ids      uint64
	answers  map[core.Kind]int
	lies     bool
	service  func() core.Millis
}

type requestID struct {
	host string
	id   uint64
}

type attemptID struct {
	host    string
	attempt uint64
}

// upstream is a fake endpoint.
type upstream struct {
	zone     string
	slots    int
	inFlight int
	peak     int
	dead     bool
	slow     core.Millis
}

// request is a caller's request as its caller knows it.
type request struct {
	mark     string
	deadline core.Millis
	answered bool
	answer   core.Answer
	at       core.Millis
	began    core.Millis
	stream   uint64
	keyed    bool
}

// sending is an attempt at a fake endpoint.
type sending struct {
	up      *upstream
	mark    string
	running bool
	over    bool
}

func newSite(t testing.TB, seed uint64, file string) *site {
	parsed, err := config.ReadTree("../../examples/" + file + "/tree.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := &site{
		World: fake.NewWorld(seed), t: t, seed: seed, tree: parsed, view: tree.NewView(parsed),
		machines: map[string]*host.Machine{}, disks: map[string]*fake.Disk{}, ups: map[string]*upstream{},
		sends: map[attemptID]*sending{}, told: map[requestID]*request{}, runs: map[string]int{}, notRun: map[string]bool{},
		force: map[string]uint64{}, replies: map[uint64]func(core.Reply){}, answers: map[core.Kind]int{},
	}
	s.service = func() core.Millis { return 1 + core.Millis(s.Rand.ExpFloat64()*8) }
	s.Delay = func(from, to string) core.Millis { return s.between(s.zoneOf(from), s.zoneOf(to)) }
	s.Carry = s.carry
	for _, zone := range s.view.Zones {
		for _, service := range s.view.Services {
			settings := s.view.Service(zone.Name, service)
			for _, endpoint := range settings.Endpoints {
				s.ups[endpoint] = &upstream{zone: zone.Name, slots: settings.Slots}
			}
		}
	}
	for _, region := range s.view.Regions {
		s.control = append(s.control, s.view.RegionHosts(region.Name)[0])
	}
	for _, name := range s.control {
		s.disks[name] = fake.NewDisk(1)
	}
	for _, name := range s.view.HostNames() {
		s.start(name)
	}
	return s
}

func (s *site) zoneOf(name string) string {
	place, _ := s.view.Host(name)
	return place.Zone
}

// between is the time one way between two zones.
func (s *site) between(a, b string) core.Millis {
	switch {
	case a == b:
		return 0
	case s.view.RegionOf(a) == s.view.RegionOf(b):
		return 1
	default:
		return 20
	}
}

func (s *site) start(name string) {
	place, _ := s.view.Host(name)
	seeds := map[string][]string{}
	for _, zone := range s.view.Zones {
		seeds[zone.Name] = s.view.ZoneHosts(zone.Name)
	}
	m := &host.Machine{
		Self: name, Region: place.Region, Zone: place.Zone, Incarnation: uint64(s.Now), ControlHosts: s.control, Seeds: seeds,
		Rand: rand.New(rand.NewPCG(s.Rand.Uint64(), 3)),
	}
	s.machines[name] = m
	stored := core.Stored{}
	if disk := s.disks[name]; disk != nil {
		stored = disk.Stored
	}
	effects, err := m.Start(s.Now, stored)
	if err != nil {
		s.t.Fatal(err)
	}
	s.Do(name, effects)
	s.Start(name, m)
}

// crash ends a host; what it sent to upstreams is cancelled when they notice.
func (s *site) crash(name string) {
	s.Crash(name)
	if disk := s.disks[name]; disk != nil {
		disk.Crash(s.Rand.IntN(3))
	}
	for id, sent := range s.sends {
		if id.host == name && !s.zonesCut(s.zoneOf(name), sent.up.zone) {
			s.At(s.Now+s.between(s.zoneOf(name), sent.up.zone), func() { s.stopRun(sent) })
		}
	}
}

// zonesCut tells whether two zones are cut off from each other, by the way between their first hosts.
func (s *site) zonesCut(a, b string) bool {
	return a != b && s.IsCut(s.view.ZoneHosts(a)[0], s.view.ZoneHosts(b)[0])
}

// cutZone cuts a zone off from all others, or mends it.
func (s *site) cutZone(zone string, cut bool) {
	for _, other := range s.view.Zones {
		if other.Name == zone {
			continue
		}
		for _, a := range s.view.ZoneHosts(zone) {
			s.Isolate(a, s.view.ZoneHosts(other.Name), cut)
		}
	}
}

// step runs one input of a host.
func (s *site) step(name string, input func(m *host.Machine) core.Effects) {
	if s.Up(name) {
		s.Do(name, input(s.machines[name]))
	}
}

// carry carries out what a machine asks for and checks what it says.
func (s *site) carry(name string, e core.Effects) {
	m := s.machines[name]
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

func (s *site) sync(name string, m *host.Machine, writes []core.Write) {
	disk, last := s.disks[name], writes[len(writes)-1].Seq
	disk.Queue(writes...)
	s.At(s.Now+1, func() {
		if s.machines[name] == m && s.Up(name) {
			disk.Sync(last)
			s.Do(name, m.Synced(s.Now, last))
		}
	})
}

// checkVersion checks that a host never confirms less than it had confirmed, restarts included.
func (s *site) checkVersion(name string, m *host.Machine) {
	dump := m.Versions()
	if dump.InForce != 0 && dump.InForce < s.force[name] {
		s.t.Fatalf("seed %d: host %s has version %d in force after it had confirmed %d", s.seed, name, dump.InForce, s.force[name])
	}
	s.force[name] = max(s.force[name], dump.Confirmed)
}

func (s *site) dispatch(name string, d core.Dispatch) {
	r := s.told[requestID{name, d.Request}]
	up := s.ups[d.Endpoint]
	id := attemptID{name, d.Attempt}
	sent := &sending{up: up, mark: r.mark}
	s.sends[id] = sent
	way := s.between(s.zoneOf(name), up.zone)
	s.At(d.Deadline, func() { s.end(id, call.End{Ending: call.Broken, Detail: "deadline"}) })
	if s.zonesCut(s.zoneOf(name), up.zone) {
		return
	}
	if up.dead {
		s.At(s.Now+2*way+1, func() { s.end(id, call.End{Ending: call.NotSent, Detail: "refused"}) })
		return
	}
	began := s.Now
	s.At(s.Now+way, func() { s.run(id, sent, began, way) })
}

func (s *site) run(id attemptID, sent *sending, began, way core.Millis) {
	if sent.over || s.zonesCut(s.zoneOf(id.host), sent.up.zone) {
		return
	}
	up := sent.up
	sent.running = true
	up.inFlight++
	up.peak = max(up.peak, up.inFlight)
	if up.inFlight > up.slots {
		s.t.Fatalf("seed %d: %d requests on %d slots in %s at %d", s.seed, up.inFlight, up.slots, up.zone, s.Now)
	}
	s.runs[sent.mark]++
	if s.notRun[sent.mark] {
		s.t.Fatalf("seed %d: request %s runs after it was called not run", s.seed, sent.mark)
	}
	s.At(s.Now+s.service()+up.slow, func() {
		if !sent.running {
			return
		}
		s.stopRun(sent)
		if s.zonesCut(s.zoneOf(id.host), up.zone) {
			return
		}
		s.At(s.Now+way, func() { s.reply(id, sent, began) })
	})
}

func (s *site) stopRun(sent *sending) {
	sent.over = true
	if sent.running {
		sent.running = false
		sent.up.inFlight--
	}
}

func (s *site) reply(id attemptID, sent *sending, began core.Millis) {
	if s.sends[id] != sent {
		return
	}
	s.step(id.host, func(m *host.Machine) core.Effects {
		return m.Head(s.Now, id.attempt, call.Head{Status: 200, Report: &core.Report{InFlight: sent.up.inFlight}})
	})
	answer := &core.StoredAnswer{Status: 200, Whole: true, Body: []byte(sent.mark)}
	s.end(id, call.End{Ending: call.Whole, Latency: s.Now - began, Answer: answer})
}

func (s *site) abort(name string, attempt uint64) {
	id := attemptID{name, attempt}
	sent := s.sends[id]
	if sent == nil {
		return
	}
	if !s.zonesCut(s.zoneOf(name), sent.up.zone) {
		s.At(s.Now+s.between(s.zoneOf(name), sent.up.zone), func() { s.stopRun(sent) })
	}
	s.At(s.Now, func() { s.end(id, call.End{Ending: call.Broken, Detail: "cancelled"}) })
}

func (s *site) end(id attemptID, e call.End) {
	sent := s.sends[id]
	if sent == nil {
		return
	}
	delete(s.sends, id)
	if e.Ending != call.Whole && !s.zonesCut(s.zoneOf(id.host), sent.up.zone) {
		s.At(s.Now+s.between(s.zoneOf(id.host), sent.up.zone), func() { s.stopRun(sent) })
	}
	s.step(id.host, func(m *host.Machine) core.Effects { return m.End(s.Now, id.attempt, e, 8000) })
}

func (s *site) poll(name, endpoint string) {
	up := s.ups[endpoint]
	way := s.between(s.zoneOf(name), up.zone)
	failed := up.dead || s.zonesCut(s.zoneOf(name), up.zone)
	s.At(s.Now+way, func() {
		report := core.Report{InFlight: up.inFlight}
		s.At(s.Now+way, func() {
			s.step(name, func(m *host.Machine) core.Effects { return m.Report(s.Now, endpoint, report, failed) })
		})
	})
}

// answer checks a caller's answer: it comes once, it is its own, and what is called not run never ran.
func (s *site) answer(name string, a core.Answer) {
	r := s.told[requestID{name, a.Request}]
	if r == nil || r.answered {
		s.t.Fatalf("seed %d: request %d at %s is answered twice or was never made", s.seed, a.Request, name)
	}
	r.answered, r.answer, r.at = true, a, s.Now
	switch {
	case a.Refusal != nil:
		s.answers[a.Refusal.Kind]++
		if a.Refusal.Ran == core.RanNo {
			s.notRun[r.mark] = true
			if s.runs[r.mark] > 0 {
				s.t.Fatalf("seed %d: request %s ran and is called not run: %v", s.seed, r.mark, a.Refusal)
			}
		}
	case a.Stored != nil:
		s.answers["Replayed"]++
		if r.keyed && string(a.Stored.Body) != r.mark {
			s.t.Fatalf("seed %d: request %s got the answer %q", s.seed, r.mark, a.Stored.Body)
		}
	default:
		s.answers["Answered"]++
		if sent := s.sends[attemptID{name, a.Attempt}]; sent == nil || sent.mark != r.mark {
			s.t.Fatalf("seed %d: request %s got another's answer", s.seed, r.mark)
		}
	}
}

// call makes a caller's request at a host; an empty key makes it idempotent unless post is true.
func (s *site) call(name, service, key string, post bool, remaining core.Millis) *request {
	s.ids++
	a := call.Arrival{ID: s.ids, Service: service, Idempotent: !post, Remaining: remaining, Replayable: true, Digest: 7}
	r := &request{mark: fmt.Sprintf("r%d", s.ids), deadline: s.Now + remaining, began: s.Now, keyed: key != ""}
	if key != "" {
		a.KeyText, a.Key, r.mark = key, service+" "+key, key
	}
	if !s.Up(name) {
		return nil
	}
	s.told[requestID{name, a.ID}] = r
	s.step(name, func(m *host.Machine) core.Effects { return m.Arrive(s.Now, a) })
	return r
}

// ask puts an operator's question at a host.
func (s *site) ask(name string, ask ctrl.Ask, done func(*ctrl.Body, *core.Refusal)) {
	s.tickets++
	s.replies[s.tickets] = func(r core.Reply) {
		body, _ := r.Body.(*ctrl.Body)
		done(body, r.Refusal)
	}
	ticket := s.tickets
	s.step(name, func(m *host.Machine) core.Effects { return m.Operator(s.Now, ticket, ask) })
}

// putTree makes the example's tree the first version and waits until all serve.
func (s *site) putTree() {
	s.For(3 * core.Second)
	edit := &tree.Edit{ID: "first", Changes: tree.Changes(tree.Compare(&tree.Tree{}, s.tree))}
	accepted := false
	s.ask(s.control[0], ctrl.Ask{Question: ctrl.AskEdit, Edit: edit}, func(_ *ctrl.Body, r *core.Refusal) {
		if r != nil {
			s.t.Fatalf("seed %d: the first tree was refused: %v", s.seed, r)
		}
		accepted = true
	})
	s.For(8 * core.Second)
	if !accepted {
		s.t.Fatalf("seed %d: the first tree was not accepted", s.seed)
	}
}

// issuedKey makes a key like those that a region's hosts issue.
func (s *site) issuedKey() string {
	region := s.view.Regions[s.Rand.IntN(len(s.view.Regions))].Name
	return ledger.Issue(region, s.Now, s.Rand.Uint64())
}

// noDoubles checks that no key and no request that must not be repeated ran twice.
func (s *site) noDoubles() {
	for mark, count := range s.runs {
		if count > 1 && mark[0] != 'r' {
			s.t.Fatalf("seed %d: key %s ran %d times", s.seed, mark, count)
		}
	}
}

// allAnswered checks that every caller of a host that lived got an answer by its deadline, and returns how many were answered whole.
func (s *site) allAnswered() {
	for id, r := range s.told {
		if !r.answered && s.Up(id.host) && s.machines[id.host] != nil && r.began > 0 && s.Now > r.deadline+core.Second && !s.restartedSince(id.host, r.began) {
			s.t.Fatalf("seed %d: request %s at %s was never answered", s.seed, r.mark, id.host)
		}
	}
}

func (s *site) restartedSince(name string, since core.Millis) bool {
	return s.machines[name].Incarnation > uint64(since)
}

func (s *site) hostNames() []string {
	return s.view.HostNames()
}

func (s *site) anyHost() string {
	return s.hostNames()[s.Rand.IntN(len(s.hostNames()))]
}

func (s *site) anyEndpoint() *upstream {
	names := make([]string, 0, len(s.ups))
	for name := range s.ups {
		names = append(names, name)
	}
	slices.Sort(names)
	return s.ups[names[s.Rand.IntN(len(names))]]
}

// roundTrip passes every message through its encoding, as between processes.
func roundTrip(t testing.TB, message core.Message) core.Message {
	decoded, err := host.Decode(host.Encode(message))
	if err != nil {
		t.Fatalf("message %s: %v", message.MessageName(), err)
	}
	if string(codec.Encode(decoded)) != string(codec.Encode(message)) {
		t.Fatalf("message %s changes in its encoding", message.MessageName())
	}
	return decoded
}
