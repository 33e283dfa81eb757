package ledger_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fake"
	"clementinelock/core/ledger"
)

var hosts = []string{"a", "b", "c"}

// node is a replica and a client in one process.
type node struct {
	replica   *ledger.Replica
	client    *ledger.Client
	decisions map[uint64]ledger.Decision
	settled   map[uint64]bool
	claims    map[uint64]ledger.Claim
}

// Tick runs the timers of the replica and the client.
func (n *node) Tick(now core.Millis) core.Effects {
	out := core.Effects{}
	n.replica.Tick(now, &out)
	n.client.Tick(now, &out)
	return out
}

// Receive passes a message to the replica or the client.
func (n *node) Receive(now core.Millis, from string, message core.Message) core.Effects {
	out := core.Effects{}
	switch message.(type) {
	case *ledger.ReserveAnswer, *ledger.SettleAnswer:
		n.client.Receive(now, from, message, &out)
	default:
		n.replica.Receive(now, from, message, &out)
	}
	return out
}

// region is a ledger with three replicas.
type region struct {
	*fake.Simulation
	nodes       map[string]*node
	incarnation uint64
}

const limit = 64 << 10

func newRegion(seed uint64) *region {
	r := &region{Simulation: fake.NewSimulation(seed), nodes: map[string]*node{}}
	for _, host := range hosts {
		r.start(host)
		r.nodes[host].replica.Bootstrap()
	}
	return r
}

func (r *region) start(host string) {
	r.incarnation++
	n := &node{decisions: map[uint64]ledger.Decision{}, settled: map[uint64]bool{}, claims: map[uint64]ledger.Claim{}}
	n.replica = &ledger.Replica{Self: host, Retention: core.Minute, LimitBytes: limit}
	n.replica.Start(r.Now)
	n.replica.SetReplicas(r.Now, hosts)
	n.client = &ledger.Client{
		Self: host, Incarnation: r.incarnation, Rand: rand.New(rand.NewPCG(r.incarnation, 6)), Local: n.replica,
		Replicas: func(string) []string { return hosts },
		Dead:     func(_ core.Millis, host string) bool { return !r.Up(host) },
		ProcessEnded: func(_ core.Millis, token ledger.Token) bool {
			return !r.Up(token.Host) || r.nodes[token.Host].client.Incarnation != token.Incarnation
		},
		OnDecision: func(_ core.Millis, request uint64, v ledger.Decision, _ *core.Effects) { n.decisions[request] = v },
		OnSettled: func(_ core.Millis, request uint64, acknowledged bool, _ *core.Effects) {
			n.settled[request] = acknowledged
		},
	}
	n.client.Start()
	r.nodes[host] = n
	r.Start(host, n)
}

func (r *region) restart(host string) {
	r.Crash(host)
	r.start(host)
}

func opaque(text string) ledger.Claim {
	return ledger.Claim{Key: ledger.Key{Text: text, Home: "r"}, Digest: 1, Attempt: 1}
}

// claim claims a key at a host and returns the decision once the deadline and the time-outs have passed.
func (r *region) claim(host string, c ledger.Claim, within core.Millis) (ledger.Decision, uint64) {
	request := r.Rand.Uint64()
	c.Deadline = r.Now + within
	out := core.Effects{}
	r.nodes[host].client.Claim(r.Now, request, c, &out)
	r.Apply(host, out)
	r.RunFor(within + 2*ledger.ReserveTimeout)
	return r.nodes[host].decisions[request], request
}

func (r *region) withClient(host string, do func(c *ledger.Client, out *core.Effects)) {
	out := core.Effects{}
	do(r.nodes[host].client, &out)
	r.Apply(host, out)
	r.RunFor(100)
}

// summarize returns a decision as one or two words.
func summarize(v ledger.Decision) string {
	switch {
	case v.Run:
		return "Run"
	case v.Outcome != nil:
		return "Outcome " + string(v.Outcome.Ran)
	case v.Refusal != nil:
		return string(v.Refusal.Kind) + " " + string(v.Refusal.Ran)
	}
	return "nothing"
}

// TestSecondArrival checks the decision on a second claim of a key, by what happened after the first.
func TestSecondArrival(t *testing.T) {
	claim := opaque("k")
	cases := []struct {
		name   string
		happen func(r *region, token ledger.Token)
		second string
	}{
		{"it is being run", func(*region, ledger.Token) {}, "InProgress Unknown"},
		{"its host crashed", func(r *region, _ ledger.Token) { r.Crash("a") }, "OutcomeLost Unknown"},
		{"its host restarted", func(r *region, _ ledger.Token) { r.restart("a"); r.RunFor(3000) }, "OutcomeLost Unknown"},
		{"it was answered", func(r *region, token ledger.Token) {
			r.withClient("a", func(c *ledger.Client, out *core.Effects) {
				c.Finish(r.Now, claim, token, ledger.Outcome{Ran: core.RanYes, Answer: &core.StoredAnswer{Status: 201}}, out)
			})
		}, "Outcome Yes"},
		{"its answer broke off", func(r *region, token ledger.Token) {
			r.withClient("a", func(c *ledger.Client, out *core.Effects) {
				c.Finish(r.Now, claim, token, ledger.Outcome{Ran: core.RanUnknown}, out)
			})
		}, "Outcome Unknown"},
		{"it was released", func(r *region, token ledger.Token) {
			r.withClient("a", func(c *ledger.Client, out *core.Effects) { c.Release(r.Now, 0, claim, token, false, out) })
		}, "Run"},
		{"its attempt was closed", func(r *region, token ledger.Token) {
			r.withClient("a", func(c *ledger.Client, out *core.Effects) { c.Release(r.Now, 9, claim, token, true, out) })
		}, "KeyClosed No"},
		{"it was answered and one replica restarted", func(r *region, token ledger.Token) {
			r.withClient("a", func(c *ledger.Client, out *core.Effects) {
				c.Finish(r.Now, claim, token, ledger.Outcome{Ran: core.RanYes, Answer: &core.StoredAnswer{}}, out)
			})
			r.restart("c")
			r.RunFor(3000)
		}, "Outcome Yes"},
		{"all replicas restarted", func(r *region, _ ledger.Token) {
			for _, host := range hosts {
				r.restart(host)
			}
		}, "LedgerUnreached Unknown"},
		{"two replicas restarted at once", func(r *region, _ ledger.Token) { r.restart("b"); r.restart("c") }, "InProgress Unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRegion(1)
			first, _ := r.claim("a", claim, 100)
			if !first.Run {
				t.Fatalf("first claim got %s; expected Run", summarize(first))
			}
			c.happen(r, first.Token)
			if second, _ := r.claim("b", claim, 300); summarize(second) != c.second {
				t.Fatalf("second claim got %s; expected %s", summarize(second), c.second)
			}
		})
	}
}

// TestClaims checks the decision on a single claim.
func TestClaims(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(r *region)
		claim   func(r *region) ledger.Claim
		expect  string
	}{
		{"new key", func(*region) {}, func(*region) ledger.Claim { return opaque("x") }, "Run"},
		{"one replica is down", func(r *region) { r.Crash("c") }, func(*region) ledger.Claim { return opaque("x") }, "Run"},
		{"two replicas are down", func(r *region) { r.Crash("b"); r.Crash("c") }, func(*region) ledger.Claim { return opaque("x") }, "LedgerUnreached Unknown"},
		{"too old an issued key", func(*region) {}, func(r *region) ledger.Claim {
			c := opaque("x")
			c.Key.Issued = r.Now - 2*core.Minute
			return c
		}, "KeyExpired Unknown"},
		{"issued after all restarted", func(r *region) {
			for _, host := range hosts {
				r.restart(host)
			}
			r.RunFor(4000)
		}, func(r *region) ledger.Claim {
			c := opaque("x")
			c.Key.Issued = r.Now
			return c
		}, "Run"},
		{"other request under a used key", func(r *region) { r.claim("b", opaque("x"), 100) }, func(*region) ledger.Claim {
			c := opaque("x")
			c.Digest = 2
			return c
		}, "KeyReused Unknown"},
		{"the ledger is full", func(r *region) {
			for i := range 300 {
				c := opaque("f" + strconv.Itoa(i))
				c.Deadline = r.Now + 100
				r.withClient("b", func(client *ledger.Client, out *core.Effects) { client.Claim(r.Now, uint64(i+1), c, out) })
			}
		}, func(*region) ledger.Claim { return opaque("x") }, "LedgerFull Unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRegion(2)
			c.prepare(r)
			if v, _ := r.claim("a", c.claim(r), 200); summarize(v) != c.expect {
				t.Fatalf("got %s; expected %s", summarize(v), c.expect)
			}
		})
	}
}

// TestAtMostOneRuns checks that a key runs at most once while hosts claim the same keys
// under message loss, duplicates, delays, restarts and partitions.
func TestAtMostOneRuns(t *testing.T) {
	for seed := range uint64(300) {
		r := newRegion(seed)
		r.LossRate, r.DuplicateRate = 0.05*float64(seed%4), 0.1
		r.Delay = func(string, string) core.Millis { return core.Millis(1 + r.Rand.IntN(30)) }
		runs := map[string]int{}
		for range 60 {
			key := "k" + strconv.Itoa(r.Rand.IntN(8))
			host := hosts[r.Rand.IntN(len(hosts))]
			if r.Up(host) {
				r.startClaim(host, key, runs)
			}
			r.RunFor(core.Millis(r.Rand.IntN(200)))
			r.injectFault()
		}
		r.RunFor(3000)
		for key, count := range runs {
			if count > 1 {
				t.Fatalf("seed %d: key %s was run %d times; expected at most once", seed, key, count)
			}
		}
	}
}

func (r *region) startClaim(host, key string, runs map[string]int) {
	n := r.nodes[host]
	request := r.Rand.Uint64()
	claim := opaque(key)
	claim.Deadline = r.Now + 400
	n.claims[request] = claim
	n.client.OnDecision = func(now core.Millis, request uint64, v ledger.Decision, out *core.Effects) {
		claim := n.claims[request]
		if !v.Run {
			return
		}
		// A third of the tokens is released without a run; the others run and finish.
		if r.Rand.IntN(3) == 0 {
			n.client.Release(now, 0, claim, v.Token, false, out)
			return
		}
		runs[claim.Key.Text]++
		n.client.Finish(now, claim, v.Token, ledger.Outcome{Ran: core.RanYes}, out)
	}
	out := core.Effects{}
	n.client.Claim(r.Now, request, claim, &out)
	r.Apply(host, out)
}

func (r *region) injectFault() {
	host, other := hosts[r.Rand.IntN(len(hosts))], hosts[r.Rand.IntN(len(hosts))]
	switch r.Rand.IntN(8) {
	case 0:
		r.restart(host)
	case 1:
		r.Cut(host, other, true)
	case 2, 3:
		r.Heal()
	}
}

func TestParseKey(t *testing.T) {
	regions := []string{"faro", "lisboa"}
	issued := ledger.Issue("lisboa", 123456, 7)
	cases := []struct {
		text  string
		home  string
		time  core.Millis
		valid bool
	}{
		{issued, "lisboa", 123456, true},
		{"0190163d-8694-739b-aea5-966c26f8ad91", "", 0x0190163d8694, true},
		{"hold-17", "", 0, true},
		{"", "", 0, false},
		{"cl1.ege.1f.2", "", 0, false},
		{"cl1.lisboa.zz.2", "", 0, false},
		{"cl1.lisboa", "", 0, false},
	}
	for _, c := range cases {
		key, err := ledger.ParseKey(c.text, regions)
		if (err == nil) != c.valid {
			t.Fatalf("ParseKey(%q) returned error %v; expected valid %t", c.text, err, c.valid)
		}
		if err == nil && (key.Issued != c.time || c.home != "" && key.Home != c.home || !slices.Contains(regions, key.Home)) {
			t.Fatalf("ParseKey(%q) returned %+v; expected home %q and time %d", c.text, key, c.home, c.time)
		}
	}
}

func FuzzParseKey(f *testing.F) {
	f.Add("cl1.lisboa.1f.2")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = ledger.ParseKey(text, []string{"faro", "lisboa"})
	})
}

// TestNewReplicaMustRecover guards against a replica that votes on keys it has no entries for:
// a host that has run for longer than the retention before it becomes a replica must not count as recovered.
func TestNewReplicaMustRecover(t *testing.T) {
	w := fake.NewSimulation(1)
	r := &ledger.Replica{Self: "d", Retention: core.Minute, LimitBytes: limit}
	r.Start(w.Now)
	later := w.Now + core.Hour
	r.SetReplicas(later, []string{"a", "b", "d"})
	out := core.Effects{}
	r.Tick(later, &out)
	if r.Recovered() {
		t.Fatal("a new replica counts as recovered before it has pulled any entries")
	}
}
