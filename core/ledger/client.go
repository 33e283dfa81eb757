package ledger

import (
	"maps"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
)

const (
	resendInterval = 150 * core.Millisecond
	settleTimeout  = 10 * core.Second
	minPollDelay   = 20 * core.Millisecond
	maxPollDelay   = 100 * core.Millisecond
)

// Claim is a request for the right to run a key.
type Claim struct {
	Key      Key
	Digest   uint64
	Attempt  uint64
	Deadline core.Millis
}

// Decision answers a claim: Run when the key may be run under the token, else a stored outcome or a refusal.
type Decision struct {
	Run     bool
	Token   Token
	Outcome *Outcome
	Refusal *core.Refusal
}

// reservation is a claim without a decision.
type reservation struct {
	request   uint64
	claim     Claim
	token     Token
	replicas  []string
	granted   map[string]bool
	answers   map[string]*ReserveAnswer
	startedAt core.Millis
	sentAt    core.Millis
	pollAt    core.Millis
}

// pendingSettle is a Settle that not all replicas have acknowledged.
type pendingSettle struct {
	message  *Settle
	request  uint64
	unacked  map[string]bool
	total    int
	reported bool
	sentAt   core.Millis
	until    core.Millis
}

// Client claims keys for the requests of its host. Its exported fields must be set before use.
type Client struct {
	Self        string
	Incarnation uint64
	Rand        *rand.Rand
	Local       *Replica
	// Replicas returns the hosts that hold a region's ledger.
	Replicas func(region string) []string
	// ProcessEnded reports whether the process that a token names has ended.
	ProcessEnded func(now core.Millis, token Token) bool
	// Dead reports whether a host is known to be unreachable, so that the client does not wait for its answer.
	Dead func(now core.Millis, host string) bool
	// OnDecision passes the decision on a claim to its request.
	OnDecision func(now core.Millis, request uint64, decision Decision, out *core.Effects)
	// OnSettled reports to a request that a majority has acknowledged the end of its token,
	// or with acknowledged false that this is not known.
	OnSettled func(now core.Millis, request uint64, acknowledged bool, out *core.Effects)

	lastNumber     uint64
	reservations   map[Token]*reservation
	pendingSettles map[Token]*pendingSettle
}

// Start initializes the client.
func (c *Client) Start() {
	c.reservations = map[Token]*reservation{}
	c.pendingSettles = map[Token]*pendingSettle{}
}

// Claim asks the key's home region for the right to run it.
func (c *Client) Claim(now core.Millis, request uint64, claim Claim, out *core.Effects) {
	r := &reservation{request: request, claim: claim, replicas: c.Replicas(claim.Key.Home)}
	c.begin(now, r, out)
}

func (c *Client) begin(now core.Millis, r *reservation, out *core.Effects) {
	c.lastNumber++
	r.token = Token{c.Self, c.Incarnation, c.lastNumber}
	r.granted, r.answers = map[string]bool{}, map[string]*ReserveAnswer{}
	r.startedAt, r.pollAt = now, 0
	c.reservations[r.token] = r
	c.sendReserve(now, r, out)
}

func (c *Client) sendReserve(now core.Millis, r *reservation, out *core.Effects) {
	r.sentAt = now
	message := &Reserve{
		Key: r.claim.Key.Text, Digest: r.claim.Digest, Attempt: r.claim.Attempt,
		Issued: r.claim.Key.Issued, Token: r.token, Replicas: r.replicas,
	}
	for _, host := range r.replicas {
		if r.answers[host] != nil {
			continue
		}
		if host == c.Self {
			c.recordAnswer(r, host, c.Local.reserve(now, message))
			continue
		}
		out.Send(host, message)
	}
	c.decide(now, r, out)
}

// Receive handles a replica's answer.
func (c *Client) Receive(now core.Millis, from string, message core.Message, out *core.Effects) {
	switch m := message.(type) {
	case *ReserveAnswer:
		r := c.reservations[m.Token]
		if r == nil || r.pollAt != 0 || !slices.Contains(r.replicas, from) {
			return
		}
		c.recordAnswer(r, from, m)
		c.decide(now, r, out)
	case *SettleAnswer:
		c.onSettleAnswer(now, from, m, out)
	}
}

func (c *Client) recordAnswer(r *reservation, from string, m *ReserveAnswer) {
	r.answers[from] = m
	if m.Granted {
		r.granted[from] = true
	}
}

// decide answers a claim as soon as the decision is certain.
func (c *Client) decide(now core.Millis, r *reservation, out *core.Effects) {
	if c.reservations[r.token] != r || r.pollAt != 0 {
		return
	}
	majority := len(r.replicas)/2 + 1
	if decision, ok := c.conclusiveDecision(r); ok {
		c.finish(now, r, decision, out)
		return
	}
	inTime := now-r.startedAt < ReserveTimeout
	if len(r.granted) >= majority && inTime {
		delete(c.reservations, r.token)
		c.OnDecision(now, r.request, Decision{Run: true, Token: r.token}, out)
		return
	}
	pending := c.countPending(now, r)
	if inTime && len(r.granted)+pending >= majority && len(r.replicas) > 0 {
		return
	}
	c.backOff(now, r, out)
}

// countPending counts the replicas that may still answer.
func (c *Client) countPending(now core.Millis, r *reservation) int {
	pending := 0
	for _, host := range r.replicas {
		if r.answers[host] == nil && !c.Dead(now, host) {
			pending++
		}
	}
	return pending
}

// conclusiveDecision returns the decision for which a single replica's answer suffices.
func (c *Client) conclusiveDecision(r *reservation) (Decision, bool) {
	for _, host := range r.replicas {
		a := r.answers[host]
		if a == nil {
			continue
		}
		key := r.claim.Key.Text
		switch {
		case a.Mismatch:
			return Decision{Refusal: core.Refuse(core.KeyReused, core.RanUnknown, "idempotency key %q was used with another request", key)}, true
		case a.Entry != nil && a.Entry.State == Finished:
			outcome := a.Entry.Outcome
			return Decision{Outcome: &outcome}, true
		case a.Expired:
			return Decision{Refusal: core.Refuse(core.KeyExpired, core.RanUnknown, "idempotency key %q is too old", key)}, true
		}
	}
	return Decision{}, false
}

func (c *Client) finish(now core.Millis, r *reservation, decision Decision, out *core.Effects) {
	delete(c.reservations, r.token)
	c.release(now, r, out)
	c.OnDecision(now, r.request, decision, out)
}

// backOff releases a reservation without a majority; while another copy runs, it schedules a new poll.
func (c *Client) backOff(now core.Millis, r *reservation, out *core.Effects) {
	refusal, again := c.refusalFor(now, r)
	if !again || now+maxPollDelay >= r.claim.Deadline {
		c.finish(now, r, Decision{Refusal: refusal}, out)
		return
	}
	c.release(now, r, out)
	r.pollAt = now + minPollDelay + core.Millis(c.Rand.Int64N(int64(maxPollDelay-minPollDelay)))
}

// refusalFor returns the refusal of a claim without a majority; again is true when polling again may change it.
func (c *Client) refusalFor(now core.Millis, r *reservation) (refusal *core.Refusal, again bool) {
	full := 0
	for _, host := range r.replicas {
		a := r.answers[host]
		if a == nil {
			continue
		}
		if a.Full {
			full++
		}
		if a.Entry == nil {
			continue
		}
		switch a.Entry.State {
		case Closed:
			return core.Refuse(core.KeyClosed, core.RanNo, "attempt %d of idempotency key %q is closed", r.claim.Attempt, r.claim.Key.Text), false
		case Reserved:
			if c.ProcessEnded(now, a.Entry.Token) {
				return core.Refuse(core.OutcomeLost, core.RanUnknown, "the host that ran idempotency key %q is gone", r.claim.Key.Text), false
			}
			refusal = core.Refuse(core.InProgress, core.RanUnknown, "idempotency key %q is being run by host %q", r.claim.Key.Text, a.Entry.Token.Host)
		}
	}
	if refusal != nil {
		return refusal, true
	}
	if full > 0 {
		return core.Refuse(core.LedgerFull, core.RanUnknown, "the ledger of region %q is full", r.claim.Key.Home), false
	}
	return core.Refuse(core.LedgerUnreached, core.RanUnknown, "%d of %d ledger replicas of region %q answered", len(r.answers), len(r.replicas), r.claim.Key.Home), false
}

func (c *Client) release(now core.Millis, r *reservation, out *core.Effects) {
	c.settle(now, 0, r.claim, r.token, &Settle{Release: true}, out)
}

// Finish records the outcome of a key that was run under the token.
func (c *Client) Finish(now core.Millis, claim Claim, token Token, outcome Outcome, out *core.Effects) {
	c.settle(now, 0, claim, token, &Settle{Outcome: outcome}, out)
}

// Release releases a token that was not used to run the key. With closeAttempt the attempt is closed,
// and OnSettled reports when a majority has acknowledged it.
func (c *Client) Release(now core.Millis, request uint64, claim Claim, token Token, closeAttempt bool, out *core.Effects) {
	c.settle(now, request, claim, token, &Settle{Release: true, Close: closeAttempt}, out)
}

func (c *Client) settle(now core.Millis, request uint64, claim Claim, token Token, m *Settle, out *core.Effects) {
	m.Key, m.Digest, m.Attempt, m.Issued, m.Token = claim.Key.Text, claim.Digest, claim.Attempt, claim.Key.Issued, token
	m.Replicas = c.Replicas(claim.Key.Home)
	s := &pendingSettle{message: m, request: request, unacked: map[string]bool{}, total: len(m.Replicas), until: now + settleTimeout}
	for _, host := range m.Replicas {
		s.unacked[host] = true
	}
	c.pendingSettles[token] = s
	c.sendSettle(now, token, s, out)
}

func (c *Client) sendSettle(now core.Millis, token Token, s *pendingSettle, out *core.Effects) {
	s.sentAt = now
	for _, host := range s.message.Replicas {
		if !s.unacked[host] {
			continue
		}
		if host != c.Self {
			out.Send(host, s.message)
			continue
		}
		if c.Local.settle(now, s.message) != nil {
			c.onSettleAnswer(now, c.Self, &SettleAnswer{Token: token}, out)
		}
	}
}

func (c *Client) onSettleAnswer(now core.Millis, from string, m *SettleAnswer, out *core.Effects) {
	s := c.pendingSettles[m.Token]
	if s == nil {
		return
	}
	delete(s.unacked, from)
	if s.total-len(s.unacked) >= s.total/2+1 {
		c.notifySettled(now, s, true, out)
	}
	if len(s.unacked) == 0 {
		delete(c.pendingSettles, m.Token)
	}
}

func (c *Client) notifySettled(now core.Millis, s *pendingSettle, acknowledged bool, out *core.Effects) {
	if s.reported || s.request == 0 {
		return
	}
	s.reported = true
	c.OnSettled(now, s.request, acknowledged, out)
}

// Tick resends unanswered messages and polls for keys that other hosts run.
func (c *Client) Tick(now core.Millis, out *core.Effects) {
	for _, token := range slices.SortedFunc(maps.Keys(c.reservations), compareTokens) {
		r := c.reservations[token]
		switch {
		case r == nil:
		case r.pollAt != 0 && now >= r.pollAt:
			delete(c.reservations, token)
			c.begin(now, r, out)
		case r.pollAt != 0:
		case now-r.startedAt >= ReserveTimeout || now >= r.claim.Deadline:
			c.decideAfterTimeout(now, r, out)
		case now-r.sentAt >= resendInterval:
			c.sendReserve(now, r, out)
		}
	}
	for _, token := range slices.SortedFunc(maps.Keys(c.pendingSettles), compareTokens) {
		s := c.pendingSettles[token]
		if now >= s.until {
			c.notifySettled(now, s, false, out)
			delete(c.pendingSettles, token)
			continue
		}
		if now-s.sentAt >= resendInterval {
			c.sendSettle(now, token, s, out)
		}
	}
}

func (c *Client) decideAfterTimeout(now core.Millis, r *reservation, out *core.Effects) {
	if decision, ok := c.conclusiveDecision(r); ok {
		c.finish(now, r, decision, out)
		return
	}
	c.backOff(now, r, out)
}

// Cancel ends a claim whose caller has disconnected before the decision; it returns false when there is no such claim.
func (c *Client) Cancel(now core.Millis, request uint64, out *core.Effects) bool {
	for _, token := range slices.SortedFunc(maps.Keys(c.reservations), compareTokens) {
		r := c.reservations[token]
		if r.request != request {
			continue
		}
		delete(c.reservations, token)
		if r.pollAt == 0 {
			c.release(now, r, out)
		}
		return true
	}
	return false
}

// Unsettled returns the number of Settle messages that not all replicas have acknowledged;
// a planned stop waits until it is 0.
func (c *Client) Unsettled() int {
	return len(c.pendingSettles)
}

func compareTokens(a, b Token) int {
	return int(a.Number) - int(b.Number)
}
