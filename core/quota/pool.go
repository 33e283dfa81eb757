package quota

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"clementinelock/core"
)

// Timing of pools.
const (
	// drawTimeout is how long a draw waits for tokens of other pools. Two round trips between regions fit in.
	drawTimeout = 170 * core.Millisecond
	// lendTimeout is how long a pool waits for another one's answer, silentDelay how long it then asks that one for nothing.
	lendTimeout = 70 * core.Millisecond
	silentDelay = core.Second
	// maxMisses is the number of pools without tokens in a row after which a search ends.
	maxMisses = 3
	// keptTime is the time for whose requests a pool keeps its tokens when others ask for them.
	keptTime = 300 * core.Millisecond
	// borrowDelay is the time after a search for tokens that found too few; it bounds the messages between pools where
	// a customer sends far more than its quota.
	borrowDelay = 60 * core.Millisecond
	// stockWindow is how long tokens given in advance count as held by their entry host: their lifetime and the delay of
	// messages.
	stockWindow = stockLifetime + 500*core.Millisecond
	// reservedFraction of a pool's bucket is kept for requests that wait.
	reservedFraction = 0.25
	// minWait and maxWait bound the time after which callers are told that there are tokens again.
	minWait = 50 * core.Millisecond
	maxWait = core.Second
	// settledAfter is the time after the start of a process after which a customer that is new in the configuration finds
	// a full bucket: its requests can't have been counted before.
	settledAfter = 5 * core.Second
	// removedRetention is how long the bucket of a removed customer is kept in case that it comes back.
	removedRetention = core.Minute
)

// Pool is a control host's part of the quotas. Set the exported fields before Start; calls must not overlap.
type Pool struct {
	// Name is that of this host.
	Name   string
	Bounds Bounds
	// Full makes buckets start full; it is set only at the first start of a deployment, since a process does not know what
	// an earlier one has given out.
	Full bool

	startedAt core.Millis
	version   uint64
	pools     []string
	buckets   map[string]*bucket
	// silentUntil holds when other pools that have not answered are asked again.
	silentUntil map[string]core.Millis
	lastNumber  uint64
}

// bucket is this pool's part of one customer's quota.
type bucket struct {
	limit Limit
	shape shape
	// rate and capacity are this pool's part; both are 0 if it holds none.
	rate      float64
	capacity  float64
	level     float64
	updatedAt core.Millis
	removedAt core.Millis
	// stocked holds the tokens that entry hosts got in advance of late.
	stocked []stocked
	waiting []waitingDraw
	search  search
	// used is the rate of the tokens that this pool's entry hosts draw.
	used rate
	// heard is what other pools had when they last told.
	heard map[string]heardLevel
	// granted and rejected count requests since the start of the process, lent and borrowed tokens.
	granted, rejected, lent, borrowed uint64
}

type stocked struct {
	at    core.Millis
	count int
}

// waitingDraw is a draw that waits for tokens of other pools.
type waitingDraw struct {
	from   string
	number uint64
	need   int
	given  int
	until  core.Millis
}

// search is the search for tokens of other pools; number is 0 while there is none.
type search struct {
	number uint64
	asked  string
	until  core.Millis
	// misses counts the answers without tokens in a row.
	misses int
	// nextAt is when the next search may begin.
	nextAt core.Millis
}

type heardLevel struct {
	level float64
	at    core.Millis
}

// Start prepares the pool.
func (p *Pool) Start(now core.Millis) {
	p.startedAt = now
	p.buckets = map[string]*bucket{}
	p.silentUntil = map[string]core.Millis{}
	p.lastNumber = uint64(now)
}

// SetLimits applies the quotas of a version of the configuration.
func (p *Pool) SetLimits(now core.Millis, version uint64, limits map[string]Limit) {
	if version <= p.version {
		return
	}
	p.version = version
	for name, b := range p.buckets {
		if _, kept := limits[name]; !kept && b.removedAt == 0 {
			b.removedAt = now
			p.rejectWaiting(name, b, nil)
		}
		if b.removedAt != 0 && now-b.removedAt > removedRetention {
			delete(p.buckets, name)
		}
	}
	for name, limit := range limits {
		if !limit.IsSet() {
			delete(p.buckets, name)
			continue
		}
		b := p.buckets[name]
		if b == nil {
			b = &bucket{updatedAt: now, heard: map[string]heardLevel{}}
			p.buckets[name] = b
			b.limit, b.shape = limit, shapeOf(limit, p.Bounds)
			p.divide(name, b)
			if p.Full || now-p.startedAt > settledAfter {
				b.level = b.capacity
			}
			continue
		}
		b.refill(now)
		b.removedAt = 0
		if b.limit == limit {
			continue
		}
		before := b.capacity
		b.limit, b.shape = limit, shapeOf(limit, p.Bounds)
		p.divide(name, b)
		// A raised quota is available at once; of a lowered one no more than its capacity.
		b.level = min(b.level+max(0, b.capacity-before), b.capacity)
	}
}

// SetPools sets the names of the control hosts that hold parts of the quotas.
func (p *Pool) SetPools(now core.Millis, names []string) {
	if slices.Equal(names, p.pools) {
		return
	}
	p.pools = slices.Clone(names)
	for name, b := range p.buckets {
		b.refill(now)
		p.divide(name, b)
		b.level = min(b.level, b.capacity)
	}
}

// divide sets this pool's part of a customer's quota.
func (p *Pool) divide(customer string, b *bucket) {
	b.rate, b.capacity = 0, 0
	holders := p.holders(customer, b)
	if slices.Contains(holders, p.Name) {
		b.rate, b.capacity = b.shape.rate/float64(len(holders)), b.shape.capacity/float64(len(holders))
	}
}

// holders returns the pools that hold a part of a customer's quota. All hosts that know the same pools return the same.
func (p *Pool) holders(customer string, b *bucket) []string {
	count := b.shape.holders(len(p.pools))
	if count >= len(p.pools) {
		return p.pools
	}
	ranked := slices.Clone(p.pools)
	slices.SortFunc(ranked, func(x, y string) int {
		return cmp.Or(cmp.Compare(rank(customer, x), rank(customer, y)), cmp.Compare(x, y))
	})
	return ranked[:count]
}

func rank(customer, pool string) uint64 {
	h := fnv.New64a()
	// A hash accepts all bytes.
	_, _ = h.Write([]byte(customer + "\x00" + pool))
	return h.Sum64()
}

// refill adds the tokens of the time since the last refill.
func (b *bucket) refill(now core.Millis) {
	if elapsed := now - b.updatedAt; elapsed > 0 {
		b.level = max(b.level, min(b.capacity, b.level+b.rate*float64(elapsed)/float64(core.Second)))
		b.updatedAt = now
	}
}

// take takes up to count whole tokens.
func (b *bucket) take(count int) int {
	taken := max(0, int(min(float64(count), math.Floor(b.level))))
	b.level -= float64(taken)
	return taken
}

// Receive handles a message of an entry host or another pool; it reports false for a message of another kind.
func (p *Pool) Receive(now core.Millis, from string, message core.Message, out *core.Effects) bool {
	switch m := message.(type) {
	case *Draw:
		p.onDraw(now, from, m, out)
	case *Borrow:
		p.onBorrow(now, from, m, out)
	case *Lend:
		p.onLend(now, from, m, out)
	default:
		return false
	}
	return true
}

// onDraw answers an entry host, at once unless tokens of other pools may be had.
func (p *Pool) onDraw(now core.Millis, from string, m *Draw, out *core.Effects) {
	if m.Version > p.version {
		if m.Number != 0 {
			out.Send(from, &Grant{Customer: m.Customer, Number: m.Number, Behind: true})
		}
		return
	}
	b := p.buckets[m.Customer]
	if b == nil || b.removedAt != 0 {
		// The version in force here does not limit the customer, or has removed it, which the sender learns of shortly.
		if m.Number != 0 {
			out.Send(from, &Grant{Customer: m.Customer, Number: m.Number, Count: max(0, m.Need) + max(0, m.Extra)})
		}
		return
	}
	b.refill(now)
	b.level = max(b.level, min(b.capacity, b.level+float64(max(0, m.Returned))))
	if m.Number == 0 {
		return
	}
	b.used.add(now, m.Need)
	given := 0
	if len(b.waiting) == 0 {
		given = b.take(m.Need)
	}
	if given < m.Need && p.maySearch(now, b) {
		b.waiting = append(b.waiting, waitingDraw{from: from, number: m.Number, need: m.Need, given: given, until: now + drawTimeout})
		if b.search.number == 0 {
			p.search(now, m.Customer, b, out)
		}
		return
	}
	g := &Grant{Customer: m.Customer, Number: m.Number, Count: given, Short: given < m.Need}
	b.granted += uint64(given)
	if g.Short {
		b.rejected += uint64(m.Need - given)
		g.Wait = b.wait()
	} else {
		g.Count += p.takeStock(now, b, m.Extra)
	}
	out.Send(from, g)
}

// maySearch reports whether a search for tokens of other pools is under way or may begin.
func (p *Pool) maySearch(now core.Millis, b *bucket) bool {
	return b.search.number != 0 || now >= b.search.nextAt && len(p.pools) > 1
}

// takeStock takes tokens that an entry host holds in advance.
func (p *Pool) takeStock(now core.Millis, b *bucket, extra int) int {
	// What an earlier process gave in advance is still held.
	restarted := !p.Full && now-p.startedAt < stockWindow
	if extra <= 0 || b.capacity == 0 || restarted {
		return 0
	}
	b.stocked = slices.DeleteFunc(b.stocked, func(s stocked) bool { return now-s.at > stockWindow })
	held := 0
	for _, s := range b.stocked {
		held += s.count
	}
	allowed := b.shape.stock*b.capacity/b.shape.capacity - float64(held)
	left := b.level - reservedFraction*b.capacity
	taken := b.take(max(0, min(extra, int(allowed), int(left))))
	if taken > 0 {
		b.stocked = append(b.stocked, stocked{at: now, count: taken})
		b.granted += uint64(taken)
	}
	return taken
}

// wait returns the time until the pool expects a token.
func (b *bucket) wait() core.Millis {
	if b.rate <= 0 {
		return maxWait
	}
	return max(minWait, min(maxWait, core.MillisOf(math.Ceil((1-b.level)/b.rate*float64(core.Second)))))
}

// Tick ends what has timed out.
func (p *Pool) Tick(now core.Millis, out *core.Effects) {
	for _, customer := range p.customers() {
		b := p.buckets[customer]
		if len(b.waiting) == 0 && b.search.number == 0 {
			continue
		}
		b.refill(now)
		p.serveWaiting(customer, b, out)
		b.waiting = slices.DeleteFunc(b.waiting, func(w waitingDraw) bool {
			if now < w.until {
				return false
			}
			p.answerWaiting(customer, b, w, out)
			return true
		})
		if b.search.number != 0 && now >= b.search.until {
			p.silentUntil[b.search.asked] = now + silentDelay
			b.search.misses++
			p.search(now, customer, b, out)
		}
	}
}

func (p *Pool) customers() []string {
	names := make([]string, 0, len(p.buckets))
	for name := range p.buckets {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// BucketDump is a pool's part of a customer's quota for operators.
type BucketDump struct {
	Customer  string
	PerSecond float64
	Burst     float64
	// Rate and Capacity are this host's part, Level the tokens in it.
	Rate     float64
	Capacity float64
	Level    float64
	// Granted and Rejected count requests, Lent and Borrowed tokens, since the start of the process.
	Granted  uint64
	Rejected uint64
	Lent     uint64
	Borrowed uint64
}

// Dump returns the parts of all quotas for operators.
func (p *Pool) Dump(now core.Millis) []BucketDump {
	var out []BucketDump
	for _, customer := range p.customers() {
		b := p.buckets[customer]
		if b.removedAt != 0 {
			continue
		}
		b.refill(now)
		out = append(out, BucketDump{
			Customer: customer, PerSecond: b.limit.PerSecond, Burst: b.limit.Burst, Rate: b.rate, Capacity: b.capacity, Level: b.level,
			Granted: b.granted, Rejected: b.rejected, Lent: b.lent, Borrowed: b.borrowed,
		})
	}
	return out
}
