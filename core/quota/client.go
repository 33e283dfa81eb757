package quota

import (
	"math"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
)

// Timing of an entry host's draws.
const (
	// stockLifetime is how long a token may be held in advance.
	stockLifetime = core.Second
	// stockTime is the time for whose requests tokens are held in advance.
	stockTime = 500 * core.Millisecond
	// minStockRate is the number of requests a second from which tokens are held in advance.
	minStockRate = 2.0
	// answerTimeout is longer than a pool's search for tokens and a round trip to another region.
	answerTimeout = 250 * core.Millisecond
	// acquireTimeout is how long a request waits for a token: one pool's answer, and another one's if the first is silent.
	acquireTimeout = 550 * core.Millisecond
	// silentPoolDelay is how long a pool that has not answered is avoided.
	silentPoolDelay = 2 * core.Second
	// silenceRetention is how long it counts that a pool has not answered: several rounds of draws from all pools.
	silenceRetention = 10 * core.Second
	// shortDelay bounds the time in which a customer's requests are rejected after a pool was short of tokens, without
	// asking again.
	shortDelay = 50 * core.Millisecond
	// returnSpread spreads the callers that were told to return over this time.
	returnSpread = 600 * core.Millisecond
	// idleRetention is how long a customer without requests is kept.
	idleRetention = 30 * core.Second
	// maxExtra bounds the tokens of one draw that are held in advance.
	maxExtra = 200
)

// Result is the decision on a request.
type Result int

// The decisions: Pending is followed by one of the others.
const (
	Pending Result = iota
	Granted
	// Exceeded means that the customer's quota is used up.
	Exceeded
	// Unreached means that no pool has answered.
	Unreached
)

// Decision is the result for a request; RetryAfter is set if the quota is used up.
type Decision struct {
	ID         uint64
	Result     Result
	RetryAfter core.Millis
}

// Client holds an entry host's tokens. Set the exported fields before use; calls must not overlap.
type Client struct {
	Rand *rand.Rand
	// Pools returns the control hosts to draw from, the most suitable first.
	Pools func() []string

	accounts map[string]*account
	lastID   uint64
	version  uint64
	avoid    map[string]core.Millis
	// silent holds when the pools that have not answered their latest draw were last found silent; while all are, one draw each
	// answerTimeout finds out whether one answers again.
	silent  map[string]core.Millis
	probeAt core.Millis
	counts  ClientCounts
}

// ClientCounts counts requests by their decisions, draws, and those that no pool answered in time.
type ClientCounts struct {
	Granted, Exceeded, Unreached, Draws, Unanswered uint64
}

// account is what the host holds of one customer's quota.
type account struct {
	tokens  int
	expires core.Millis
	waiting []waitingRequest
	draw    draw
	// returned counts tokens to give back with the next draw.
	returned int
	// shortUntil is until when requests are rejected without asking.
	shortUntil core.Millis
	rate       rate
}

type waitingRequest struct {
	id    uint64
	since core.Millis
	// number is that of the draw in which the request was counted; 0 while it is in none.
	number uint64
}

// draw is the draw that waits for an answer; number is 0 if there is none.
type draw struct {
	number uint64
	pool   string
	at     core.Millis
}

// Take decides on a request of a customer with a quota. If the decision is pending, it follows from Receive or Tick under
// the same ID. Version is that of the routes in force.
func (c *Client) Take(now core.Millis, customer string, version uint64, out *core.Effects) Decision {
	a := c.account(customer)
	c.version = max(c.version, version)
	a.rate.add(now, 1)
	c.lastID++
	d := Decision{ID: c.lastID}
	switch {
	case a.held(now) > 0:
		a.tokens--
		d.Result = Granted
		c.counts.Granted++
		if a.draw.number == 0 && a.tokens < a.wanted()/4 && now >= a.shortUntil {
			c.ask(now, customer, a, out)
		}
	case now < a.shortUntil:
		d.Result, d.RetryAfter = Exceeded, c.retryAfter(a.shortUntil-now)
		c.counts.Exceeded++
	case c.isUnreachable(now):
		d.Result = Unreached
		c.counts.Unreached++
		if a.draw.number == 0 && now >= c.probeAt {
			c.probeAt = now + answerTimeout
			c.ask(now, customer, a, out)
		}
	default:
		a.waiting = append(a.waiting, waitingRequest{id: d.ID, since: now})
		if a.draw.number == 0 {
			c.ask(now, customer, a, out)
		}
	}
	return d
}

// Return gives back the token of a request that has not run.
func (c *Client) Return(customer string) {
	c.account(customer).returned++
}

// Cancel ends the wait of a request whose caller has left.
func (c *Client) Cancel(customer string, id uint64) {
	a := c.account(customer)
	a.waiting = slices.DeleteFunc(a.waiting, func(w waitingRequest) bool { return w.id == id })
}

func (c *Client) account(customer string) *account {
	if c.accounts == nil {
		c.accounts, c.avoid, c.silent = map[string]*account{}, map[string]core.Millis{}, map[string]core.Millis{}
	}
	a := c.accounts[customer]
	if a == nil {
		a = &account{}
		c.accounts[customer] = a
	}
	return a
}

// held returns the number of tokens, after those that have expired are due to be returned.
func (a *account) held(now core.Millis) int {
	if a.tokens > 0 && now >= a.expires {
		a.returned += a.tokens
		a.tokens = 0
	}
	return a.tokens
}

// wanted returns how many tokens the host holds in advance.
func (a *account) wanted() int {
	if a.rate.perSecond < minStockRate {
		return 0
	}
	return int(min(maxExtra, math.Ceil(a.rate.perSecond*float64(stockTime)/float64(core.Second))))
}

// ask draws tokens from the most suitable pool.
func (c *Client) ask(now core.Millis, customer string, a *account, out *core.Effects) {
	pool := c.pool(now)
	if pool == "" {
		return
	}
	c.lastID++
	a.draw = draw{number: c.lastID, pool: pool, at: now}
	for i := range a.waiting {
		a.waiting[i].number = c.lastID
	}
	extra := 0
	if len(a.waiting) == 0 {
		// A draw that no request waits for still has to be answered with a token.
		extra = 1
	}
	out.Send(pool, &Draw{
		Customer: customer, Number: c.lastID, Need: len(a.waiting), Extra: max(extra, a.wanted()-a.tokens), Returned: a.returned, Version: c.version,
	})
	a.returned = 0
	c.counts.Draws++
}

// isUnreachable reports whether no pool has answered its latest draw, so that a request would wait in vain.
func (c *Client) isUnreachable(now core.Millis) bool {
	pools := c.Pools()
	for _, name := range pools {
		if at, silent := c.silent[name]; !silent || now-at > silenceRetention {
			return false
		}
	}
	return len(pools) > 0
}

// pool returns the first pool that is not avoided, or the one that may be asked again first.
func (c *Client) pool(now core.Millis) string {
	best := ""
	for _, name := range c.Pools() {
		if now >= c.avoid[name] {
			return name
		}
		if best == "" || c.avoid[name] < c.avoid[best] {
			best = name
		}
	}
	return best
}

// Receive applies a pool's answer and returns the decisions that follow from it.
func (c *Client) Receive(now core.Millis, from string, g *Grant, out *core.Effects) []Decision {
	a := c.account(g.Customer)
	delete(c.silent, from)
	current := a.draw.number == g.Number
	if current {
		a.draw = draw{}
		delete(c.avoid, from)
	}
	if g.Behind {
		if current {
			c.avoid[from] = now + silentPoolDelay
			c.ask(now, g.Customer, a, out)
		}
		return nil
	}
	count := g.Count
	var decisions []Decision
	for count > 0 && len(a.waiting) > 0 {
		count--
		decisions = append(decisions, Decision{ID: a.waiting[0].id, Result: Granted})
		c.counts.Granted++
		a.waiting = a.waiting[1:]
	}
	if count > 0 {
		if a.held(now) == 0 {
			a.expires = now + stockLifetime
		}
		a.tokens += count
	}
	if g.Short {
		a.shortUntil = now + min(g.Wait, shortDelay)
		for _, w := range a.waiting {
			decisions = append(decisions, Decision{ID: w.id, Result: Exceeded, RetryAfter: c.retryAfter(g.Wait)})
			c.counts.Exceeded++
		}
		a.waiting = nil
	}
	if current && len(a.waiting) > 0 {
		c.ask(now, g.Customer, a, out)
	}
	return decisions
}

// retryAfter spreads the callers that return when there are tokens again.
func (c *Client) retryAfter(wait core.Millis) core.Millis {
	return max(minWait, wait) + core.Millis(c.Rand.Int64N(int64(returnSpread)))
}

// Tick asks another pool where one is silent, ends the wait of requests for which none has answered, gives back tokens and
// forgets customers without requests.
func (c *Client) Tick(now core.Millis, out *core.Effects) []Decision {
	var decisions []Decision
	for _, customer := range c.customers() {
		a := c.accounts[customer]
		a.held(now)
		if a.draw.number != 0 && now-a.draw.at >= answerTimeout {
			c.avoid[a.draw.pool] = now + silentPoolDelay
			c.silent[a.draw.pool] = now
			c.counts.Unanswered++
			a.draw = draw{}
		}
		a.waiting = slices.DeleteFunc(a.waiting, func(w waitingRequest) bool {
			if now-w.since < acquireTimeout {
				return false
			}
			decisions = append(decisions, Decision{ID: w.id, Result: Unreached})
			c.counts.Unreached++
			return true
		})
		switch {
		case a.draw.number != 0:
		case len(a.waiting) > 0:
			c.ask(now, customer, a, out)
		case a.returned > 0:
			if pool := c.pool(now); pool != "" {
				out.Send(pool, &Draw{Customer: customer, Returned: a.returned, Version: c.version})
			}
			a.returned = 0
		case a.tokens == 0 && now-a.rate.at > idleRetention:
			delete(c.accounts, customer)
		}
	}
	return decisions
}

func (c *Client) customers() []string {
	names := make([]string, 0, len(c.accounts))
	for name := range c.accounts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Counts returns the counts since the start.
func (c *Client) Counts() ClientCounts {
	return c.counts
}

// AccountDump is what the host holds of a customer's quota, for operators.
type AccountDump struct {
	Customer string
	// Tokens are held in advance, until the time ExpiresIn from now.
	Tokens    int
	ExpiresIn core.Millis
	Waiting   int
	// PerSecond is the rate of the customer's requests at this host.
	PerSecond float64
}

// Dump returns what the host holds for operators.
func (c *Client) Dump(now core.Millis) []AccountDump {
	var out []AccountDump
	for _, customer := range c.customers() {
		a := c.accounts[customer]
		current := a.rate
		current.decay(now)
		d := AccountDump{Customer: customer, Tokens: a.held(now), Waiting: len(a.waiting), PerSecond: current.perSecond}
		if a.tokens > 0 {
			d.ExpiresIn = a.expires - now
		}
		out = append(out, d)
	}
	return out
}
