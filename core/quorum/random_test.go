package quorum_test

import (
	"encoding/binary"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"clementinelock/core"
	"clementinelock/core/fake"
	"clementinelock/core/quorum"

	"github.com/anishathalye/porcupine"
)

// recorder is a state machine that records the commands that it has applied.
type recorder struct {
	applied []uint64
	indexes []uint64
}

func (t *recorder) Apply(index uint64, command []byte) {
	t.applied = append(t.applied, binary.LittleEndian.Uint64(command))
	t.indexes = append(t.indexes, index)
}

func (t *recorder) Snapshot() []byte {
	var data []byte
	for _, number := range t.applied {
		data = binary.LittleEndian.AppendUint64(data, number)
	}
	return data
}

func (t *recorder) Restore(data []byte) error {
	t.applied = nil
	for ; len(data) > 0; data = data[8:] {
		t.applied = append(t.applied, binary.LittleEndian.Uint64(data))
	}
	return nil
}

// group is a group of replicas under random faults.
type group struct {
	*fake.Simulation
	t         testing.TB
	names     []string
	disks     map[string]*fake.Disk
	replicas  map[string]*quorum.Replica
	recorders map[string]*recorder
	leaders   map[uint64]string
	committed []uint64
	next      uint64
	proposed  map[uint64]core.Millis
	acked     map[uint64]bool
	applied   map[uint64]core.Millis
	reads     map[uint64]func(bool)
	history   []porcupine.Operation
	elections int
	// maxSyncDelay is the upper bound of the time that a disk sync takes, in ms.
	maxSyncDelay int
	// onStart is called with each replica after its start; it may be nil.
	onStart func(r *quorum.Replica)
}

func newGroup(t testing.TB, seed uint64, size int) *group {
	g := &group{
		Simulation: fake.NewSimulation(seed), t: t, disks: map[string]*fake.Disk{}, replicas: map[string]*quorum.Replica{},
		recorders: map[string]*recorder{}, leaders: map[uint64]string{}, proposed: map[uint64]core.Millis{}, acked: map[uint64]bool{}, applied: map[uint64]core.Millis{}, reads: map[uint64]func(bool){},
		maxSyncDelay: []int{4, 40, 120}[seed%3],
	}
	g.Delay = func(string, string) core.Millis { return 18 + core.Millis(g.Rand.IntN(5)) }
	g.OnEffects = g.carry
	for i := range size {
		name := "host-" + strconv.Itoa(i)
		g.names = append(g.names, name)
		g.disks[name] = fake.NewDisk(1)
	}
	for _, name := range g.names {
		g.start(name)
	}
	return g
}

func (g *group) start(name string) {
	t := &recorder{}
	r := &quorum.Replica{Self: name, Rand: rand.New(rand.NewPCG(g.Rand.Uint64(), 1)), StateMachine: t, InitialVoters: g.names}
	r.OnRead = func(_ core.Millis, ticket uint64, confirmed bool, _ *core.Effects) {
		if done := g.reads[ticket]; done != nil {
			delete(g.reads, ticket)
			done(confirmed)
		}
	}
	g.replicas[name], g.recorders[name] = r, t
	out := core.Effects{}
	if err := r.Start(g.Now, g.disks[name].Stored, &out); err != nil {
		g.t.Fatal(err)
	}
	g.Apply(name, out)
	g.Start(name, fake.Part{Part: r})
	if g.onStart != nil {
		g.onStart(r)
	}
}

func (g *group) crash(name string) {
	g.Crash(name)
	g.disks[name].Crash(g.Rand.IntN(3))
}

// carry completes writes after a random delay and checks the invariants after each step.
func (g *group) carry(host string, e core.Effects) {
	r := g.replicas[host]
	if len(e.Writes) > 0 {
		disk, last := g.disks[host], e.Writes[len(e.Writes)-1].Seq
		disk.Queue(e.Writes...)
		g.At(g.Now+1+core.Millis(g.Rand.IntN(g.maxSyncDelay)), func() {
			if g.replicas[host] != r || !g.Up(host) {
				return
			}
			disk.Sync(last)
			out := core.Effects{}
			r.Synced(g.Now, last, &out)
			g.Apply(host, out)
		})
	}
	g.check(host, r)
}

func (g *group) check(host string, r *quorum.Replica) {
	if r.IsLeader() {
		if other := g.leaders[r.Term()]; other != "" && other != host {
			g.t.Fatalf("term %d has the leaders %s and %s", r.Term(), other, host)
		}
		if g.leaders[r.Term()] == "" {
			g.elections++
		}
		g.leaders[r.Term()] = host
	}
	applied := g.recorders[host].applied
	for i := range min(len(applied), len(g.committed)) {
		if applied[i] != g.committed[i] {
			g.t.Fatalf("%s applied command %d at position %d, where command %d was applied before", host, applied[i], i, g.committed[i])
		}
	}
	if len(applied) > len(g.committed) {
		for _, number := range applied[len(g.committed):] {
			g.applied[number] = g.Now
		}
		g.committed = append([]uint64(nil), applied...)
	}
}

func (g *group) leader() *quorum.Replica {
	for _, name := range g.names {
		if g.Up(name) && g.replicas[name].IsLeader() {
			return g.replicas[name]
		}
	}
	return nil
}

// propose submits a command to a leader and waits until that leader has applied it.
func (g *group) propose() {
	r := g.leader()
	if r == nil {
		return
	}
	g.next++
	number := g.next
	out := core.Effects{}
	_, ok := r.Propose(g.Now, binary.LittleEndian.AppendUint64(nil, number), &out)
	if ok {
		g.proposed[number] = g.Now
	}
	g.Apply(r.Self, out)
	g.awaitApplied(r, number, g.Now)
}

// awaitApplied acknowledges a command once the leader that accepted it has applied it; it gives up after 10 s.
func (g *group) awaitApplied(r *quorum.Replica, number uint64, began core.Millis) {
	if g.replicas[r.Self] != r || g.Now-began > 10*core.Second {
		return
	}
	for _, applied := range g.recorders[r.Self].applied {
		if applied == number {
			g.acked[number] = true
			g.history = append(g.history, porcupine.Operation{ClientId: int(number), Input: operation{number, false}, Call: int64(began), Return: int64(g.Now)})
			return
		}
	}
	g.At(g.Now+10, func() { g.awaitApplied(r, number, began) })
}

type operation struct {
	number uint64
	read   bool
}

// read requests a linearizable read of all applied commands from each replica that believes that it leads.
func (g *group) read() {
	for _, name := range g.names {
		r := g.replicas[name]
		if !g.Up(name) || !r.IsLeader() {
			continue
		}
		ticket := g.Rand.Uint64()
		began, machine := g.Now, g.recorders[name]
		g.reads[ticket] = func(confirmed bool) {
			if confirmed {
				seen := append([]uint64(nil), machine.applied...)
				g.history = append(g.history, porcupine.Operation{ClientId: int(ticket >> 1), Input: operation{0, true}, Output: seen, Call: int64(began), Return: int64(g.Now)})
			}
		}
		out := core.Effects{}
		r.Read(g.Now, ticket, &out)
		g.Apply(name, out)
	}
}

// injectFault starts or ends one random fault.
func (g *group) injectFault() {
	name := g.names[g.Rand.IntN(len(g.names))]
	other := g.names[g.Rand.IntN(len(g.names))]
	switch g.Rand.IntN(9) {
	case 0:
		if g.Up(name) && g.upCount() > 1+len(g.names)/2 {
			g.crash(name)
		}
	case 1, 2:
		if !g.Up(name) {
			g.start(name)
		}
	case 3:
		g.Cut(name, other, true)
	case 4:
		g.Isolate(name, g.names, true)
	case 5, 6:
		g.Heal()
	case 7:
		g.Freeze(name, true)
		g.At(g.Now+core.Millis(g.Rand.IntN(3000)), func() { g.Freeze(name, false) })
	case 8:
		g.replace(name)
	}
}

// replace restarts a host with an empty disk, provided that all hosts are up and joined and the others have applied
// all that was committed.
func (g *group) replace(name string) {
	for _, other := range g.names {
		status := g.replicas[other].Report(g.Now)
		caughtUp := len(g.recorders[other].applied) == len(g.committed)
		if !g.Up(other) || !status.Joined || other != name && !caughtUp {
			return
		}
	}
	g.crash(name)
	g.disks[name] = fake.NewDisk(g.Rand.Uint64()>>1 + 2)
	g.start(name)
}

func (g *group) upCount() int {
	count := 0
	for _, name := range g.names {
		if g.Up(name) {
			count++
		}
	}
	return count
}

func (g *group) repairAll() {
	g.Heal()
	g.LossRate, g.DuplicateRate, g.Late = 0, 0, nil
	for _, name := range g.names {
		g.Freeze(name, false)
		if !g.Up(name) {
			g.start(name)
		}
	}
}

func runGroup(t testing.TB, seed uint64) {
	g := newGroup(t, seed, 3+2*int(seed%2))
	g.LossRate, g.DuplicateRate = 0.02*float64(seed%3), 0.02
	g.playFaults(seed)
}

// playFaults plays random faults among commands and reads, and checks what is left of them.
func (g *group) playFaults(seed uint64) {
	for range 150 {
		g.RunFor(core.Millis(g.Rand.IntN(200)))
		switch g.Rand.IntN(3) {
		case 0:
			g.injectFault()
		case 1:
			g.propose()
		case 2:
			g.read()
		}
	}
	g.repairAll()
	g.RunFor(15 * core.Second)
	g.finish(seed)
}

// finish checks that no replica was fenced, since no disk has lost what was acknowledged, that the group commits commands again, has
// lost no acknowledged command, and that its history is linearizable.
func (g *group) finish(seed uint64) {
	for _, name := range g.names {
		if g.replicas[name].Fenced() {
			g.t.Fatalf("seed %d: %s is fenced and has lost nothing", seed, name)
		}
	}
	before := len(g.committed)
	g.propose()
	g.RunFor(3 * core.Second)
	if len(g.committed) <= before {
		for _, name := range g.names {
			g.t.Logf("%s: %+v", name, g.replicas[name].Report(g.Now))
		}
		g.t.Fatalf("seed %d: no command was committed after all faults were repaired", seed)
	}
	present := map[uint64]int{}
	for _, number := range g.committed {
		present[number]++
	}
	for number := range g.acked {
		if present[number] != 1 {
			g.t.Fatalf("seed %d: acknowledged command %d was applied %d times; expected 1", seed, number, present[number])
		}
	}
	// A command that was never acknowledged has taken effect by the time a replica first applied it.
	for number := range present {
		if !g.acked[number] {
			g.history = append(g.history, porcupine.Operation{ClientId: int(number), Input: operation{number, false}, Call: int64(g.proposed[number]), Return: int64(g.applied[number])})
		}
	}
	if result := porcupine.CheckOperationsTimeout(logModel(g.committed), g.history, time.Minute); result != porcupine.Ok {
		g.t.Fatalf("seed %d: the history of %d operations is not linearizable: %s", seed, len(g.history), result)
	}
}

// logModel is a list: writes append a command and reads return the whole list. Since replicas agree on one order, an
// append is allowed only at its place in that order, which keeps the search short.
func logModel(committed []uint64) porcupine.Model {
	place := map[uint64]int{}
	for i, number := range committed {
		place[number] = i
	}
	return porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, input, output any) (bool, any) {
			op, count := input.(operation), state.(int)
			if op.read {
				return slices.Equal(output.([]uint64), committed[:count]), state
			}
			return place[op.number] == count, count + 1
		},
	}
}

// seeds returns the number of seeds that a test runs: the SEEDS environment variable, or standard if that is unset
// or no number.
func seeds(standard uint64) uint64 {
	if text := os.Getenv("SEEDS"); text != "" {
		if n, err := strconv.ParseUint(text, 10, 64); err == nil {
			return n
		}
	}
	return standard
}

func TestRandomFaults(t *testing.T) {
	for part := range uint64(8) {
		t.Run(strconv.FormatUint(part, 10), func(t *testing.T) {
			t.Parallel()
			for seed := part + 1; seed <= seeds(300); seed += 8 {
				runGroup(t, seed)
			}
		})
	}
}

// TestLateMessages guards against messages that take effect late by up to 5 s, twice or behind newer ones.
func TestLateMessages(t *testing.T) {
	for part := range uint64(8) {
		t.Run(strconv.FormatUint(part, 10), func(t *testing.T) {
			t.Parallel()
			for seed := part + 1; seed <= seeds(120); seed += 8 {
				g := newGroup(t, seed, 3+2*int(seed%2))
				g.Late = g.RandomlyLate(0.1, 5*core.Second)
				g.playFaults(seed)
			}
		})
	}
}

// TestReplicaRestart checks whether a restarted replica joins again or is fenced, by the state of its disk and the
// loss or delay of its messages.
func TestReplicaRestart(t *testing.T) {
	const name = "host-2"
	cases := []struct {
		name   string
		act    func(g *group)
		fenced bool
		voter  bool
	}{
		{"after a plain restart", func(g *group) { g.crash(name); g.start(name) }, false, true},
		{"when the answers to its hello are lost at first", func(g *group) {
			g.crash(name)
			for _, other := range g.names {
				g.Cut(other, name, true)
			}
			g.start(name)
			g.RunFor(900)
			g.Heal()
		}, false, true},
		{"when an old hello comes after it has caught up", func(g *group) {
			g.crash(name)
			g.propose()
			g.RunFor(300)
			g.Delay = func(from, _ string) core.Millis {
				if from == name && g.Rand.IntN(2) == 0 {
					return 700
				}
				return 20
			}
			g.start(name)
		}, false, true},
		{"on an older copy of its disk", func(g *group) {
			g.crash(name)
			old := g.disks[name].Copy()
			g.start(name)
			g.RunFor(2000)
			g.propose()
			g.RunFor(1000)
			g.crash(name)
			g.disks[name] = old
			g.start(name)
		}, true, true},
		{"on an empty disk", func(g *group) {
			g.crash(name)
			g.disks[name] = fake.NewDisk(77)
			g.start(name)
		}, false, true},
		{"on an empty disk, with another host lost right after", func(g *group) {
			g.crash(name)
			g.disks[name] = fake.NewDisk(77)
			g.start(name)
			g.RunFor(3000)
			g.crash("host-1")
		}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(t, 5, 3)
			g.RunFor(3000)
			g.propose()
			g.RunFor(1000)
			c.act(g)
			g.RunFor(6000)
			if got := g.replicas[name].Fenced(); got != c.fenced {
				t.Fatalf("fenced is %t; expected %t", got, c.fenced)
			}
			before := len(g.committed)
			g.propose()
			g.RunFor(2000)
			if len(g.committed) <= before {
				t.Fatal("no command was committed within 2 s of its proposal")
			}
			if status := g.replicas[name].Report(g.Now); !c.fenced && !status.Joined {
				t.Fatalf("the replica has not joined: %+v", status)
			}
		})
	}
}

// TestNoCommitBeforeSync checks that a command is not committed while the replicas' disks have not synced it.
func TestNoCommitBeforeSync(t *testing.T) {
	g := newGroup(t, 5, 3)
	g.RunFor(3000)
	g.maxSyncDelay = 1 << 40
	g.propose()
	g.RunFor(2 * core.Second)
	if len(g.committed) > 0 {
		t.Fatalf("commands %v were committed although the disks have not synced them", g.committed)
	}
}
