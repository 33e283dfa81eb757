package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fake"
	"clementinelock/core/host"
	"clementinelock/core/quota"
)

// The bounds of the users' deployments.
var userBounds = quota.Bounds{Window: 5 * core.Second, Overrun: 0.1, Slack: 20}

const (
	modelZones    = 6
	modelCustomer = "c"
	// minServed is the share of a customer's requests below its quota that is served.
	minServed = 0.98
)

// world is a deployment of pools and entry hosts on virtual time with one customer.
type world struct {
	*fake.Simulation
	t       *testing.T
	limit   quota.Limit
	bounds  quota.Bounds
	pools   []string
	zones   map[string]int
	poolOf  map[string]*quota.Pool
	hosts   []*entryHost
	limits  map[string]quota.Limit
	version uint64
	// runs holds when requests ran, asked counts requests and served those that ran.
	runs          []core.Millis
	asked, served int
	// notRun is the share of requests with a token that are refused for another reason.
	notRun float64
}

type entryHost struct {
	*quota.Client
	world *world
	name  string
	// process numbers the starts of the host.
	process int
}

// Tick does the work of the host that is due.
func (e *entryHost) Tick(now core.Millis) core.Effects {
	out := core.Effects{}
	e.world.decide(e, e.Client.Tick(now, &out))
	return out
}

// Receive handles a pool's answer.
func (e *entryHost) Receive(now core.Millis, from string, message core.Message) core.Effects {
	out := core.Effects{}
	e.world.decide(e, e.Client.Receive(now, from, message.(*quota.Grant), &out))
	return out
}

// poolHost adapts a pool to the simulation.
type poolHost struct{ *quota.Pool }

// Tick does the work of the pool that is due.
func (p poolHost) Tick(now core.Millis) core.Effects {
	out := core.Effects{}
	p.Pool.Tick(now, &out)
	return out
}

// Receive handles a message to the pool.
func (p poolHost) Receive(now core.Millis, from string, message core.Message) core.Effects {
	out := core.Effects{}
	p.Pool.Receive(now, from, message, &out)
	return out
}

func newWorld(t *testing.T, seed uint64, hosts int, limit quota.Limit) *world {
	w := &world{
		Simulation: fake.NewSimulation(seed), t: t, limit: limit, bounds: userBounds, zones: map[string]int{}, poolOf: map[string]*quota.Pool{},
		limits: map[string]quota.Limit{modelCustomer: limit}, version: 1,
	}
	w.TickInterval = 50 * core.Millisecond
	w.Delay = func(from, to string) core.Millis {
		if w.zones[from]%3 != w.zones[to]%3 {
			return 20
		}
		return 1
	}
	for i := range min(modelZones, hosts) {
		name := fmt.Sprint("pool-", i)
		w.pools = append(w.pools, name)
		w.zones[name] = i
	}
	for _, name := range w.pools {
		w.startPool(name, true)
	}
	for i := range hosts {
		e := &entryHost{world: w, name: fmt.Sprint("entry-", i)}
		w.zones[e.name] = i % len(w.pools)
		w.hosts = append(w.hosts, e)
		w.startEntry(e)
	}
	return w
}

func (w *world) startPool(name string, full bool) {
	p := &quota.Pool{Name: name, Bounds: w.bounds, Full: full}
	p.Start(w.Now)
	p.SetPools(w.Now, w.pools)
	p.SetLimits(w.Now, w.version, w.limits)
	w.poolOf[name] = p
	w.Start(name, poolHost{p})
}

func (w *world) startEntry(e *entryHost) {
	e.process++
	zone := w.zones[e.name]
	order := slices.Clone(w.pools)
	slices.SortStableFunc(order, func(a, b string) int { return w.distance(zone, w.zones[a]) - w.distance(zone, w.zones[b]) })
	e.Client = &quota.Client{Rand: rand.New(rand.NewPCG(w.Rand.Uint64(), 1)), Pools: func() []string { return order }}
	w.Start(e.name, e)
}

func (w *world) distance(a, b int) int {
	switch {
	case a == b:
		return 0
	case a%3 == b%3:
		return 1
	}
	return 2
}

// send has a caller send a request to a host.
func (w *world) send(e *entryHost) {
	w.asked++
	if !w.Up(e.name) {
		return
	}
	out := core.Effects{}
	d := e.Take(w.Now, modelCustomer, w.version, &out)
	w.Apply(e.name, out)
	w.decide(e, []quota.Decision{d})
}

func (w *world) decide(e *entryHost, decisions []quota.Decision) {
	for _, d := range decisions {
		if d.Result != quota.Granted {
			continue
		}
		if w.Rand.Float64() < w.notRun {
			e.Return(modelCustomer)
			continue
		}
		w.served++
		w.runs = append(w.runs, w.Now)
	}
}

// load sends requests at a rate a second to the hosts that choose picks, for a length of time.
func (w *world) load(perSecond float64, length core.Millis, choose func() *entryHost) {
	end := w.Now + length
	var next func(at float64)
	next = func(at float64) {
		if at >= float64(end) {
			return
		}
		w.At(core.Millis(at), func() {
			w.send(choose())
			next(at + w.Rand.ExpFloat64()*float64(core.Second)/perSecond)
		})
	}
	next(float64(w.Now))
}

func (w *world) anyHost() *entryHost {
	return w.hosts[w.Rand.IntN(len(w.hosts))]
}

// checkWindows checks that no window has more runs than the quota and its bounds allow.
func (w *world) checkWindows(limit quota.Limit, from core.Millis) {
	w.t.Helper()
	allowed := (limit.PerSecond*float64(w.bounds.Window)/float64(core.Second)+limit.Burst)*(1+w.bounds.Overrun) + w.bounds.Slack
	first := 0
	for i, at := range w.runs {
		for w.runs[first] <= at-w.bounds.Window || w.runs[first] < from && first < i {
			first++
		}
		if at >= from && float64(i-first+1) > allowed {
			w.t.Fatalf("%d requests ran in %s up to %s, at most %.1f are allowed", i-first+1, w.bounds.Window, at-core.Hour, allowed)
		}
	}
}

func (w *world) checkServed(least float64) {
	w.t.Helper()
	if share := float64(w.served) / float64(max(1, w.asked)); share < least {
		w.t.Errorf("%.3f of %d requests were served, expected %.2f", share, w.asked, least)
	}
}

// quotas are those of a small, a middle and a large customer of the users' deployments; usual is the load of a customer as
// a part of its quota.
var quotas = []quota.Limit{{PerSecond: 2, Burst: 2}, {PerSecond: 32, Burst: 32}, {PerSecond: 467, Burst: 467}, {PerSecond: 40}}

const usual = 1 / 1.6

// sizes are the numbers of entry hosts.
var sizes = []int{1, 9, 67, 300}

func eachSize(t *testing.T, run func(t *testing.T, seed uint64, hosts int, limit quota.Limit)) {
	for i, hosts := range sizes {
		for j, limit := range quotas {
			t.Run(fmt.Sprintf("hosts=%d,limit=%g", hosts, limit.PerSecond), func(t *testing.T) {
				t.Parallel()
				run(t, uint64(10*i+j+1), hosts, limit)
			})
		}
	}
}

// TestUsualLoad guards against requests that are rejected below the quota: spread over all hosts, sent to two hosts of one
// zone, and with callers that move between zones within seconds.
func TestUsualLoad(t *testing.T) {
	eachSize(t, func(t *testing.T, seed uint64, hosts int, limit quota.Limit) {
		for name, choose := range map[string]func(w *world) *entryHost{
			"spread": (*world).anyHost,
			"two":    func(w *world) *entryHost { return w.hosts[w.Rand.IntN(2)*modelZones%len(w.hosts)] },
			"moving": func(w *world) *entryHost {
				return w.hosts[(int((w.Now/(3*core.Second)))%modelZones+modelZones*w.Rand.IntN(len(w.hosts)/modelZones+1))%len(w.hosts)]
			},
		} {
			w := newWorld(t, seed, hosts, limit)
			w.RunFor(core.Second)
			// A small customer takes longer to send enough requests for the share.
			length := max(40*core.Second, core.Millis(800/limit.PerSecond)*core.Second)
			w.load(limit.PerSecond*usual, length, func() *entryHost { return choose(w) })
			w.RunFor(length + core.Second)
			w.checkWindows(limit, 0)
			if share := float64(w.served) / float64(max(1, w.asked)); share < minServed {
				t.Errorf("%s: %.3f of %d requests were served, expected %.2f", name, share, w.asked, minServed)
			}
		}
	})
}

// TestSevenTimesTheUsual guards against a customer that exceeds its quota when it sends seven times its usual load, also at
// the first second after the start and beside refusals that give tokens back, and against one that gets much less than
// its quota then.
func TestSevenTimesTheUsual(t *testing.T) {
	eachSize(t, func(t *testing.T, seed uint64, hosts int, limit quota.Limit) {
		w := newWorld(t, seed, hosts, limit)
		w.notRun = 0.1
		w.load(7*limit.PerSecond*usual, 15*core.Second, w.anyHost)
		w.RunFor(16 * core.Second)
		w.checkWindows(limit, 0)
		if due := limit.PerSecond * 15; float64(w.served) < 0.95*due {
			t.Errorf("%d requests were served in 15 s, the quota is %.0f", w.served, due)
		}
	})
}

// TestQuotaUnderTroubles guards against more requests than the quota, at any load, while pools and hosts are cut off,
// frozen, killed and started again, in random series that overlap.
func TestQuotaUnderTroubles(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			limit := quotas[seed%uint64(len(quotas))]
			w := newWorld(t, seed, sizes[1+seed/4%2], limit)
			w.LossRate, w.DuplicateRate = 0.01, 0
			w.notRun = 0.05
			const length = 40 * core.Second
			w.load([]float64{0.9, 2, 7}[seed%3]*limit.PerSecond*usual, length, w.anyHost)
			for at := core.Second; at < length; at += core.Millis(500 + w.Rand.IntN(3000)) {
				w.At(w.Now+at, w.trouble)
			}
			w.RunFor(length + core.Second)
			w.checkWindows(limit, 0)
			if w.served == 0 {
				t.Error("no request was served")
			}
		})
	}
}

// trouble begins a random trouble and ends it some seconds later.
func (w *world) trouble() {
	pool := w.pools[w.Rand.IntN(len(w.pools))]
	host := w.anyHost()
	after := w.Now + core.Millis(500+w.Rand.IntN(8000))
	switch w.Rand.IntN(7) {
	case 0:
		w.Crash(pool)
		w.At(after, func() {
			if !w.Up(pool) {
				w.startPool(pool, false)
			}
		})
	case 1:
		w.Freeze(pool, true)
		w.At(after, func() { w.Freeze(pool, false) })
	case 2:
		w.Freeze(host.name, true)
		w.At(after, func() { w.Freeze(host.name, false) })
	case 3:
		w.Isolate(pool, w.pools, true)
		w.At(after, func() { w.Isolate(pool, w.pools, false) })
	case 4:
		half := w.pools[:len(w.pools)/2]
		for _, name := range half {
			w.Isolate(name, w.pools[len(half):], true)
		}
		w.At(after, w.Heal)
	case 5:
		w.Isolate(host.name, w.pools, true)
		w.At(after, func() { w.Isolate(host.name, w.pools, false) })
	case 6:
		w.Crash(host.name)
		w.At(after, func() {
			if !w.Up(host.name) {
				w.startEntry(host)
			}
		})
	}
}

// TestPartOfThePoolsIsDown guards against requests that are rejected below the quota while a pool is down, frozen or cut
// off from the others, and in halves that are cut off from each other.
func TestPartOfThePoolsIsDown(t *testing.T) {
	for name, begin := range map[string]func(w *world){
		"killed": func(w *world) { w.Crash("pool-1") },
		"frozen": func(w *world) { w.Freeze("pool-1", true) },
		"cut":    func(w *world) { w.Isolate("pool-1", w.pools, true) },
		"halves": func(w *world) {
			for _, each := range w.pools[:3] {
				w.Isolate(each, w.pools[3:], true)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			limit := quota.Limit{PerSecond: 320, Burst: 320}
			w := newWorld(t, 5, 67, limit)
			w.load(limit.PerSecond*usual, 30*core.Second, w.anyHost)
			w.RunFor(3 * core.Second)
			begin(w)
			w.RunFor(28 * core.Second)
			w.checkWindows(limit, 0)
			w.checkServed(minServed)
		})
	}
}

// TestChangesOfTheQuota guards against a lowered quota that does not bind, a raised or removed one that still does, and a
// customer that is removed and comes back to a full bucket.
func TestChangesOfTheQuota(t *testing.T) {
	before := quota.Limit{PerSecond: 200, Burst: 200}
	set := func(w *world, limits map[string]quota.Limit) {
		w.version++
		w.limits = limits
		for _, p := range w.poolOf {
			p.SetLimits(w.Now, w.version, limits)
		}
	}
	t.Run("lowered", func(t *testing.T) {
		w := newWorld(t, 1, 67, before)
		w.load(150, 30*core.Second, w.anyHost)
		w.RunFor(10 * core.Second)
		after := quota.Limit{PerSecond: 10, Burst: 10}
		set(w, map[string]quota.Limit{modelCustomer: after})
		w.RunFor(21 * core.Second)
		w.checkWindows(after, core.Hour+10*core.Second+1)
	})
	t.Run("raised", func(t *testing.T) {
		w := newWorld(t, 2, 67, quota.Limit{PerSecond: 20, Burst: 20})
		w.load(100, 30*core.Second, w.anyHost)
		w.RunFor(10 * core.Second)
		set(w, map[string]quota.Limit{modelCustomer: before})
		asked, served := w.asked, w.served
		w.RunFor(21 * core.Second)
		if share := float64(w.served-served) / float64(w.asked-asked); share < minServed {
			t.Errorf("%.3f of the requests after the quota was raised were served", share)
		}
	})
	t.Run("unlimited", func(t *testing.T) {
		w := newWorld(t, 3, 67, quota.Limit{PerSecond: 20, Burst: 20})
		w.load(100, 30*core.Second, w.anyHost)
		w.RunFor(10 * core.Second)
		set(w, map[string]quota.Limit{modelCustomer: {}})
		asked, served := w.asked, w.served
		w.RunFor(21 * core.Second)
		if share := float64(w.served-served) / float64(w.asked-asked); share < minServed {
			t.Errorf("%.3f of the requests after the quota was lifted were served", share)
		}
	})
	t.Run("removed and back", func(t *testing.T) {
		w := newWorld(t, 4, 67, before)
		w.load(1000, 20*core.Second, w.anyHost)
		w.RunFor(8 * core.Second)
		set(w, map[string]quota.Limit{})
		set(w, map[string]quota.Limit{modelCustomer: before})
		w.RunFor(13 * core.Second)
		w.checkWindows(before, 0)
	})
}

// TestMembershipChanges guards against more requests than the quota while pools are replaced one after the other.
func TestMembershipChanges(t *testing.T) {
	limit := quota.Limit{PerSecond: 100, Burst: 100}
	w := newWorld(t, 6, 67, limit)
	w.load(7*limit.PerSecond*usual, 30*core.Second, w.anyHost)
	for i := range modelZones {
		w.RunFor(4 * core.Second)
		w.Crash(w.pools[i])
		fresh := fmt.Sprint("pool-new-", i)
		w.zones[fresh] = i
		w.pools = slices.Clone(w.pools)
		w.pools[i] = fresh
		w.startPool(fresh, false)
		for _, name := range w.pools {
			p := w.poolOf[name]
			w.At(w.Now+core.Millis(w.Rand.IntN(1000)), func() { p.SetPools(w.Now, w.pools) })
		}
		for _, e := range w.hosts {
			pools := slices.Clone(w.pools)
			e.Pools = func() []string { return pools }
		}
	}
	w.RunFor(6 * core.Second)
	w.checkWindows(limit, 0)
	if w.served < int(0.9*30*limit.PerSecond) {
		t.Errorf("%d requests were served in 30 s, the quota is %.0f", w.served, 30*limit.PerSecond)
	}
}

// TestMessagesOfQuotas guards against quotas that cost an entry host more than 2 KB a second: the messages at the usual load
// of 73 customers, by their encoded sizes, at 9, 67 and 300 hosts.
func TestMessagesOfQuotas(t *testing.T) {
	for _, hosts := range []int{9, 67, 300} {
		w := newWorld(t, 7, hosts, quota.Limit{PerSecond: 1})
		w.limits = map[string]quota.Limit{}
		total := 0.0
		for i := range 73 {
			total += 1 / float64(i+1)
		}
		rate := func(i int) float64 { return 15 * float64(hosts) / float64(i+1) / total }
		for i := range 73 {
			w.limits[fmt.Sprint(modelCustomer, i)] = quota.Limit{PerSecond: rate(i) / usual, Burst: rate(i) / usual}
		}
		w.version++
		for _, p := range w.poolOf {
			p.SetLimits(w.Now, w.version, w.limits)
		}
		const length = 20 * core.Second
		bytes := 0
		w.OnSend = func(_, _ string, message core.Message) {
			switch message.(type) {
			case *quota.Draw, *quota.Grant:
				bytes += len(host.Encode(message))
			}
		}
		for i := range 73 {
			end := w.Now + length
			var next func()
			next = func() {
				if w.Now >= end {
					return
				}
				e := w.anyHost()
				out := core.Effects{}
				e.Take(w.Now, fmt.Sprint(modelCustomer, i), w.version, &out)
				w.Apply(e.name, out)
				w.At(w.Now+core.Millis(w.Rand.ExpFloat64()*float64(core.Second)/rate(i)), next)
			}
			w.At(w.Now, next)
		}
		w.RunFor(length)
		perHost := float64(w.Sent["QuotaDraw"]+w.Sent["QuotaGrant"]) / float64(hosts) / 20
		between := float64(w.Sent["QuotaBorrow"]+w.Sent["QuotaLend"]) / float64(len(w.pools)) / 20
		t.Logf("%d hosts: %.1f messages a second at an entry host, %.1f between pools at each", hosts, perHost, between)
		perSecond := float64(bytes) / float64(hosts) / 20
		t.Logf("%d hosts: %.0f bytes a second at an entry host", hosts, perSecond)
		if perSecond > 2000 {
			t.Errorf("%d hosts: %.0f bytes a second at an entry host, at most 2000", hosts, perSecond)
		}
	}
}

// TestQuotaBeyondAllNumbers guards against customers whose requests are all rejected since their quota is larger than the whole
// numbers of a processor.
func TestQuotaBeyondAllNumbers(t *testing.T) {
	for _, limit := range []quota.Limit{{PerSecond: 1e19}, {PerSecond: 1e300, Burst: 1e300}, {PerSecond: 1.7e308, Burst: 1.7e308}, {PerSecond: 50, Burst: 1e308}, {PerSecond: 50, Burst: -1e308}} {
		w := newWorld(t, 1, 9, limit)
		w.RunFor(core.Second)
		w.load(20, 10*core.Second, w.anyHost)
		w.RunFor(11 * core.Second)
		if share := float64(w.served) / float64(max(1, w.asked)); share < minServed {
			t.Errorf("with %g requests a second and a burst of %g %.3f of %d requests were served, expected %.2f", limit.PerSecond, limit.Burst, share, w.asked, minServed)
		}
	}
}
