package lease

import (
	"maps"
	"slices"

	"clementinelock/core"
)

// Durations and intervals of a lease.
const (
	Duration      = 1500 * core.Millisecond
	ClockMargin   = 150 * core.Millisecond
	renewInterval = 400 * core.Millisecond
	retryInterval = 200 * core.Millisecond
	// HandBackDelay is how long the preferred host must be alive before the holder hands the task back.
	HandBackDelay = 5 * core.Second
)

// Definition names a task, its candidates in their order of preference and its voters.
type Definition struct {
	Name       string
	Candidates []string
	Voters     []string
}

func (d *Definition) majority() int {
	return len(d.Voters)/2 + 1
}

// Request requests leases from a voter, or gives them back if Release is set.
type Request struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Round       uint64
	Names       []string
	Release     bool
}

// Response reports which leases the voter granted and who holds the others.
type Response struct {
	_       struct{} `cbor:",toarray"`
	Round   uint64
	Names   []string
	Granted []bool
	Holders []string
}

// MessageName implements core.Message.
func (Request) MessageName() string { return "LeaseAsk" }

// MessageName implements core.Message.
func (Response) MessageName() string { return "LeaseAnswer" }

// promise is a voter's grant of a lease to a holder; no other host is granted the lease before until.
type promise struct {
	holder      string
	incarnation uint64
	until       core.Millis
}

// claim is this host's request for a lease, or its hold of it; until is 0 while the host does not hold the lease.
type claim struct {
	until          core.Millis
	round          uint64
	requestedAt    core.Millis
	nextRequestAt  core.Millis
	votes          map[string]bool
	preferredSince core.Millis
	handBack       bool
}

// Node is a host's voter and candidate for all leases; set the exported fields before use.
type Node struct {
	Self        string
	Incarnation uint64
	Health      core.Health
	// OnGain and OnLose are called when a lease is gained and when it ends.
	OnGain func(now core.Millis, name string, out *core.Effects)
	OnLose func(now core.Millis, name string, out *core.Effects)
	// OnHandBack is called when a task is to go back to the host; it must call Release once no work is in progress.
	OnHandBack func(now core.Millis, name, to string, out *core.Effects)

	started  core.Millis
	defs     map[string]*Definition
	order    []string
	promises map[string]promise
	claims   map[string]*claim
	round    uint64
	stopping bool
}

// Start sets the start time of the process; the node grants no vote until promises from before it have expired.
func (n *Node) Start(now core.Millis) {
	n.started = now
	// Rounds start at the incarnation, so that a response to an earlier process is not taken for one to this process.
	n.round = n.Incarnation
	n.defs = map[string]*Definition{}
	n.promises = map[string]promise{}
	n.claims = map[string]*claim{}
}

// SetDefinitions replaces the tasks; a lease ends if its definition is gone or this host is no longer its candidate.
func (n *Node) SetDefinitions(now core.Millis, defs []Definition, out *core.Effects) {
	next := make(map[string]*Definition, len(defs))
	for i := range defs {
		next[defs[i].Name] = &defs[i]
	}
	for _, name := range slices.Sorted(maps.Keys(n.claims)) {
		if next[name] == nil || !slices.Contains(next[name].Candidates, n.Self) {
			n.endLease(now, name, out)
			delete(n.claims, name)
		}
	}
	n.defs = next
	n.order = slices.Sorted(maps.Keys(next))
}

// Holds reports whether this host holds the lease at the time.
func (n *Node) Holds(now core.Millis, name string) bool {
	c := n.claims[name]
	return c != nil && now < c.until
}

// Held returns the names of the leases that this host holds.
func (n *Node) Held(now core.Millis) []string {
	var out []string
	for _, name := range n.order {
		if n.Holds(now, name) {
			out = append(out, name)
		}
	}
	return out
}

// Stop ends requests for new leases; those that the host holds are renewed until released.
func (n *Node) Stop() {
	n.stopping = true
}

// Tick requests, renews and ends leases.
func (n *Node) Tick(now core.Millis, out *core.Effects) {
	asks := map[string][]string{}
	n.round++
	for _, name := range n.order {
		n.tickLease(now, n.defs[name], asks, out)
	}
	for _, voter := range slices.Sorted(maps.Keys(asks)) {
		n.sendRequest(now, voter, asks[voter], out)
	}
}

func (n *Node) tickLease(now core.Millis, def *Definition, asks map[string][]string, out *core.Effects) {
	c := n.claims[def.Name]
	if c != nil && c.until != 0 && now >= c.until {
		n.endLease(now, def.Name, out)
	}
	holding := c != nil && c.until != 0
	if !holding && !n.shouldAcquire(now, def) {
		return
	}
	if c == nil {
		c = &claim{}
		n.claims[def.Name] = c
	}
	if holding {
		n.checkHandBack(now, def, c, out)
	}
	if now < c.nextRequestAt {
		return
	}
	c.nextRequestAt = now + retryInterval
	if holding {
		c.nextRequestAt = now + renewInterval
	}
	c.round, c.requestedAt, c.votes = n.round, now, map[string]bool{}
	for _, voter := range def.Voters {
		asks[voter] = append(asks[voter], def.Name)
	}
}

// shouldAcquire reports whether this host is the first candidate that is not known to be dead or leaving. After a
// start, a candidate of unknown state counts as alive until a former lease of it has expired.
func (n *Node) shouldAcquire(now core.Millis, def *Definition) bool {
	if n.stopping {
		return false
	}
	for _, candidate := range def.Candidates {
		if candidate == n.Self {
			return true
		}
		state := n.Health.Liveness(now, candidate)
		if state == core.Alive || state == core.Unknown && now-n.started < Duration+ClockMargin {
			return false
		}
	}
	return false
}

func (n *Node) checkHandBack(now core.Millis, def *Definition, c *claim, out *core.Effects) {
	first := def.Candidates[0]
	if first == n.Self || n.Health.Liveness(now, first) != core.Alive {
		c.preferredSince = 0
		return
	}
	if c.preferredSince == 0 {
		c.preferredSince = now
	}
	if now-c.preferredSince >= HandBackDelay && !c.handBack {
		c.handBack = true
		n.OnHandBack(now, def.Name, first, out)
	}
}

func (n *Node) sendRequest(now core.Millis, voter string, names []string, out *core.Effects) {
	message := &Request{Incarnation: n.Incarnation, Round: n.round, Names: names}
	if voter != n.Self {
		out.Send(voter, message)
		return
	}
	n.onResponse(now, n.Self, n.vote(now, n.Self, message), out)
}

// vote grants each lease that no other host may still hold.
func (n *Node) vote(now core.Millis, from string, m *Request) *Response {
	answer := &Response{Round: m.Round, Names: m.Names}
	for _, name := range m.Names {
		def := n.defs[name]
		p := n.promises[name]
		free := p.until <= now || p.holder == from && p.incarnation <= m.Incarnation
		granted := def != nil && free && n.promisesExpired(now, def) && slices.Contains(def.Voters, n.Self)
		if granted {
			p = promise{from, m.Incarnation, now + Duration + ClockMargin}
			n.promises[name] = p
		}
		answer.Granted = append(answer.Granted, granted)
		answer.Holders = append(answer.Holders, p.holder)
	}
	return answer
}

// promisesExpired reports whether every promise from before this process's start has expired. A sole voter need not
// wait: it is also the sole candidate and has made promises only to itself.
func (n *Node) promisesExpired(now core.Millis, def *Definition) bool {
	return len(def.Voters) == 1 || now-n.started >= Duration+ClockMargin
}

// Receive handles a Request or a Response.
func (n *Node) Receive(now core.Millis, from string, message core.Message, out *core.Effects) {
	switch m := message.(type) {
	case *Request:
		if m.Release {
			n.release(from, m)
			return
		}
		out.Send(from, n.vote(now, from, m))
	case *Response:
		n.onResponse(now, from, m, out)
	}
}

func (n *Node) release(from string, m *Request) {
	for _, name := range m.Names {
		p := n.promises[name]
		if p.holder == from && p.incarnation == m.Incarnation {
			delete(n.promises, name)
		}
	}
}

func (n *Node) onResponse(now core.Millis, from string, m *Response, out *core.Effects) {
	if len(m.Granted) != len(m.Names) {
		return
	}
	for i, name := range m.Names {
		c, def := n.claims[name], n.defs[name]
		if c == nil || def == nil || c.round != m.Round || !m.Granted[i] || !slices.Contains(def.Voters, from) {
			continue
		}
		c.votes[from] = true
		if len(c.votes) < def.majority() || c.requestedAt+Duration <= now {
			continue
		}
		gained := c.until == 0
		c.until = max(c.until, c.requestedAt+Duration)
		if gained {
			n.OnGain(now, name, out)
		}
	}
}

func (n *Node) endLease(now core.Millis, name string, out *core.Effects) {
	c := n.claims[name]
	if c == nil || c.until == 0 {
		return
	}
	*c = claim{nextRequestAt: now}
	n.OnLose(now, name, out)
}

// Release gives a held lease back to its voters; the caller must have stopped the task.
func (n *Node) Release(now core.Millis, name string, out *core.Effects) {
	c, def := n.claims[name], n.defs[name]
	if c == nil || def == nil || c.until == 0 {
		return
	}
	message := &Request{Incarnation: n.Incarnation, Names: []string{name}, Release: true}
	for _, voter := range def.Voters {
		if voter == n.Self {
			n.release(n.Self, message)
			continue
		}
		out.Send(voter, message)
	}
	n.endLease(now, name, out)
	c.nextRequestAt = now + Duration
}
