package lease_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/core/fake"
	"clementinelock/core/lease"
)

// health takes a host's state from the fake network: it is dead if it is down or cut off.
type health struct {
	world *fake.Simulation
	self  string
}

// Liveness implements core.Health.
func (h health) Liveness(_ core.Millis, host string) core.Liveness {
	if !h.world.Up(host) || h.world.IsCut(host, h.self) {
		return core.Dead
	}
	return core.Alive
}

var (
	hosts = []string{"a", "b", "c"}
	task  = lease.Definition{Name: "task", Candidates: []string{"a", "b"}, Voters: hosts}
)

type group struct {
	*fake.Simulation
	nodes           map[string]*lease.Node
	lastIncarnation uint64
}

func newGroup(seed uint64) *group {
	g := &group{Simulation: fake.NewSimulation(seed), nodes: map[string]*lease.Node{}}
	for _, host := range hosts {
		g.start(host)
	}
	return g
}

func (g *group) start(host string) {
	g.lastIncarnation++
	n := &lease.Node{Self: host, Incarnation: g.lastIncarnation, Health: health{g.Simulation, host}}
	n.OnGain = func(core.Millis, string, *core.Effects) {}
	n.OnLose = n.OnGain
	n.OnHandBack = func(now core.Millis, name, _ string, out *core.Effects) { n.Release(now, name, out) }
	n.Start(g.Now)
	out := core.Effects{}
	n.SetDefinitions(g.Now, []lease.Definition{task}, &out)
	g.nodes[host] = n
	g.Start(host, fake.Part{Part: n})
}

func (g *group) holders() []string {
	var out []string
	for _, host := range hosts {
		if g.Up(host) && g.nodes[host].Holds(g.Now, task.Name) {
			out = append(out, host)
		}
	}
	return out
}

// TestHolderAfter checks which host holds the task after each kind of fault or stop.
func TestHolderAfter(t *testing.T) {
	cases := []struct {
		name   string
		act    func(g *group)
		holder string
	}{
		{"a quiet start", func(*group) {}, "a"},
		{"the first candidate crashed", func(g *group) { g.Crash("a") }, "b"},
		{"the first candidate came back", func(g *group) {
			g.Crash("a")
			g.RunFor(4000)
			g.start("a")
			g.RunFor(lease.HandBackDelay + 4000)
		}, "a"},
		{"the first candidate is cut off", func(g *group) { g.Isolate("a", []string{"b", "c"}, true) }, "b"},
		{"both other voters crashed", func(g *group) { g.Crash("b"); g.Crash("c") }, ""},
		{"the holder stops asking", func(g *group) {
			g.nodes["a"].Stop()
			out := core.Effects{}
			g.nodes["a"].Release(g.Now, task.Name, &out)
			g.Apply("a", out)
			g.Crash("a")
		}, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(1)
			g.RunFor(4000)
			c.act(g)
			g.RunFor(6000)
			got := ""
			if held := g.holders(); len(held) > 0 {
				got = held[0]
			}
			if got != c.holder {
				t.Fatalf("%q holds the task; expected %q", got, c.holder)
			}
		})
	}
}

// TestOneHolder checks at every millisecond of runs with faults that at most one host holds the task.
func TestOneHolder(t *testing.T) {
	for seed := range uint64(100) {
		g := newGroup(seed)
		g.LossRate = 0.05 * float64(seed%3)
		g.Delay = func(string, string) core.Millis { return core.Millis(1 + g.Rand.IntN(200)) }
		for range 60 {
			for range 200 {
				g.RunFor(1)
				if held := g.holders(); len(held) > 1 {
					t.Fatalf("seed %d: hosts %v hold the task at the same time, %d ms", seed, held, g.Now)
				}
			}
			g.injectFault()
		}
	}
}

func (g *group) injectFault() {
	host := hosts[g.Rand.IntN(len(hosts))]
	switch g.Rand.IntN(7) {
	case 0:
		g.Crash(host)
	case 1, 2:
		if !g.Up(host) {
			g.start(host)
		}
	case 3:
		g.Isolate(host, hosts, true)
	case 4:
		g.Freeze(host, true)
		g.At(g.Now+core.Millis(g.Rand.IntN(3000)), func() { g.Freeze(host, false) })
	default:
		g.Heal()
	}
}
