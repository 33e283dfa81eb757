package grant_test

import (
	"fmt"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fake"
	"clementinelock/core/grant"
)

const (
	resource = "region"
	capacity = 1000.0
)

var hosts = []string{"a", "b", "c", "d"}

type group struct {
	*fake.Simulation
	nodes   map[string]*grant.Node
	divider string
	demand  map[string]float64
}

func newGroup(seed uint64) *group {
	g := &group{Simulation: fake.NewSimulation(seed), nodes: map[string]*grant.Node{}, divider: "a", demand: map[string]float64{}}
	for _, host := range hosts {
		g.start(host)
	}
	g.nodes["a"].Gain(g.Now)
	return g
}

func (g *group) start(host string) {
	n := &grant.Node{Self: host, Divider: func(core.Millis) string { return g.divider }}
	n.Start()
	n.SetLimits([]grant.Limit{{Resource: resource, Rate: capacity}}, len(hosts))
	g.nodes[host] = n
	g.Start(host, fake.Part{Part: n})
}

// consume lets every host take what it can of its demand for the duration, and returns how much each got.
func (g *group) consume(duration core.Millis, urgent map[string]bool) map[string]float64 {
	got := map[string]float64{}
	const step = 10 * core.Millisecond
	for elapsed := core.Millis(0); elapsed < duration; elapsed += step {
		for _, host := range hosts {
			reserve := 0.5
			if urgent[host] {
				reserve = 0
			}
			for range int(g.demand[host] * float64(step) / 1000) {
				if g.Up(host) && g.nodes[host].Take(g.Now, resource, 1, reserve) {
					got[host]++
				}
			}
		}
		g.RunFor(step)
	}
	return got
}

// allowed returns the sum of the rates that all hosts may use now.
func (g *group) allowed() float64 {
	total := 0.0
	for _, host := range hosts {
		total += g.nodes[host].Allowed(g.Now, resource)
	}
	return total
}

// TestSumStaysUnderLimit guards against shares that add up to more than the limit while messages are lost or late, the
// divider moves and hosts are cut off.
func TestSumStaysUnderLimit(t *testing.T) {
	for seed := range uint64(100) {
		g := newGroup(seed)
		g.LossRate = 0.05 * float64(seed%4)
		g.Delay = func(string, string) core.Millis { return core.Millis(1 + g.Rand.IntN(800)) }
		for range 40 {
			for _, host := range hosts {
				g.demand[host] = float64(g.Rand.IntN(1500))
			}
			for range 50 {
				g.consume(10, nil)
				if sum := g.allowed(); sum > capacity*1.000001 {
					t.Fatalf("seed %d: allowed rates add up to %g, above the limit of %g, at %d ms", seed, sum, capacity, g.Now)
				}
			}
			g.injectFault()
		}
	}
}

// injectFault moves the divider, as its lease would, cuts a connection, isolates a host, or heals the network.
func (g *group) injectFault() {
	host, other := hosts[g.Rand.IntN(len(hosts))], hosts[g.Rand.IntN(len(hosts))]
	switch g.Rand.IntN(6) {
	case 0:
		g.nodes[g.divider].Lose()
		g.divider = host
		g.nodes[host].Gain(g.Now)
	case 1:
		g.Cut(host, other, true)
	case 2:
		g.Isolate(host, hosts, true)
	default:
		g.Heal()
	}
}

// TestDivision checks how much of a limit each host gets.
func TestDivision(t *testing.T) {
	cases := []struct {
		name   string
		demand map[string]float64
		urgent map[string]bool
		act    func(g *group)
		minUse map[string]float64
		maxUse map[string]float64
	}{
		{"one host demands more than the limit", map[string]float64{"b": 2000}, nil, func(*group) {}, map[string]float64{"b": 650}, nil},
		{"all hosts demand the same", map[string]float64{"a": 500, "b": 500, "c": 500, "d": 500}, nil, func(*group) {}, map[string]float64{"a": 230, "d": 230}, map[string]float64{"a": 260}},
		{"urgent use comes first", map[string]float64{"a": 600, "b": 2000, "c": 2000}, map[string]bool{"a": true}, func(*group) {}, map[string]float64{"a": 560}, map[string]float64{"b": 250}},
		{"a cut-off host has its safe share", map[string]float64{"b": 2000}, nil, func(g *group) { g.Isolate("b", hosts, true); g.consume(grant.ShareDuration, nil) }, map[string]float64{"b": 70}, map[string]float64{"b": 80}},
		{"a lowered limit holds at once", map[string]float64{"b": 2000}, nil, func(g *group) {
			for _, n := range g.nodes {
				n.SetLimits([]grant.Limit{{Resource: resource, Rate: 100}}, len(hosts))
			}
		}, nil, map[string]float64{"b": 130}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup(1)
			g.demand = c.demand
			g.consume(3*grant.ShareDuration, c.urgent)
			c.act(g)
			got := g.consume(core.Second, c.urgent)
			for host, minUse := range c.minUse {
				if got[host] < minUse {
					t.Fatalf("host %s got %g, expected at least %g; all hosts: %v", host, got[host], minUse, got)
				}
			}
			for host, maxUse := range c.maxUse {
				if got[host] > maxUse {
					t.Fatalf("host %s got %g, expected at most %g; all hosts: %v", host, got[host], maxUse, fmt.Sprint(got))
				}
			}
		})
	}
}
