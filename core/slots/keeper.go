package slots

import (
	"maps"
	"slices"

	"clementinelock/core"
	"clementinelock/core/queue"
	"clementinelock/core/tree"
)

const (
	// tokenGrace is how long after its deadline a slot counts as used when its host sends no Done.
	tokenGrace  = 200 * core.Millisecond
	whoInterval = 200 * core.Millisecond
	// abortDelay is the time that an endpoint may take to stop a cancelled request.
	abortDelay = 5 * core.Millisecond
)

// waiter is a queued ask.
type waiter struct {
	from     string
	ask      *Ask
	deadline core.Millis
}

// grantedSlot is a slot in use.
type grantedSlot struct {
	token    Token
	endpoint string
	from     string
	ask      askID
	until    core.Millis
	// grantedAt is when this keeper granted the slot, 0 if another one did.
	grantedAt core.Millis
}

// askID identifies an ask among those of all hosts.
type askID struct {
	from        string
	incarnation uint64
	ask         uint64
}

// keeper grants the slots of one service in one zone.
type keeper struct {
	node            *Node
	zone            string
	service         string
	settings        *tree.Service
	endpoints       map[string]*endpoint
	active          bool
	reservedOnly    bool
	reserve         int
	queue           queue.Queue[waiter]
	slots           map[Token]*grantedSlot
	byAsk           map[askID]Token
	handedTo        string
	meanServiceTime float64
	round           uint64
	nextWhoAt       core.Millis
	awaitingHeld    map[string]bool
	uses            uint64
}

func newKeeper(node *Node, zone, service string) *keeper {
	return &keeper{
		node: node, zone: zone, service: service, endpoints: map[string]*endpoint{},
		slots: map[Token]*grantedSlot{}, byAsk: map[askID]Token{}, awaitingHeld: map[string]bool{},
	}
}

// setSettings applies new settings; an endpoint that is added while the keeper runs starts cold.
func (k *keeper) setSettings(now core.Millis, s *tree.Service) {
	first := k.settings == nil
	k.settings = s
	k.queue.Limit = s.QueueLimit
	for _, address := range s.Endpoints {
		if k.endpoints[address] != nil {
			continue
		}
		e := &endpoint{address: address}
		if !first {
			e.warmUpStart = now
		}
		k.endpoints[address] = e
	}
	for _, address := range slices.Sorted(maps.Keys(k.endpoints)) {
		if !slices.Contains(s.Endpoints, address) && k.endpoints[address].inUse == 0 {
			delete(k.endpoints, address)
		}
	}
}

// start activates the keeper. With known, the former keeper has handed over its slots in use. Otherwise all slots that
// it may have granted count as used until the hosts or the endpoints have reported theirs.
func (k *keeper) start(now core.Millis, known bool) {
	k.active, k.handedTo, k.reservedOnly = true, "", false
	k.awaitingHeld = map[string]bool{}
	k.round++
	if known {
		return
	}
	for _, host := range k.node.hosts() {
		if host != k.node.Self {
			k.awaitingHeld[host] = true
		}
	}
	for _, e := range k.endpoints {
		e.unknown = max(0, k.settings.Slots-e.inUse)
		e.unknownFrom = now
		e.unknownUntil = now + k.settings.MaxDeadline + tokenGrace
	}
}

// mayGrant reports whether this host may grant slots: it knows which endpoints are leaving, and it holds the lease, or is
// the first candidate, has lost the lease and may use the reserved slots.
func (k *keeper) mayGrant(now core.Millis) bool {
	return k.active && k.node.informed(now) && (k.reservedOnly || k.node.Holds(now, k.zone, k.service))
}

// askWho sends Who to the hosts that have not reported their slots yet.
func (k *keeper) askWho(now core.Millis, out *core.Effects) {
	if len(k.awaitingHeld) == 0 || now < k.nextWhoAt {
		return
	}
	k.nextWhoAt = now + whoInterval
	for _, host := range slices.Sorted(maps.Keys(k.awaitingHeld)) {
		out.Send(host, &Who{Zone: k.zone, Service: k.service, Round: k.round})
	}
}

// onHeld records the slots that a host holds; once every host has answered, no slot is unknown.
func (k *keeper) onHeld(now core.Millis, from string, m *Held, out *core.Effects) {
	if m.Round != k.round || !k.awaitingHeld[from] {
		return
	}
	k.adopt(now, from, m.Slots)
	delete(k.awaitingHeld, from)
	if len(k.awaitingHeld) > 0 {
		return
	}
	for _, e := range k.endpoints {
		e.unknown, e.unknownUntil = 0, 0
	}
	k.serveQueue(now, out)
}

// adopt counts slots that another keeper granted; from is the host that uses them, or empty if not known.
func (k *keeper) adopt(now core.Millis, from string, held []HeldSlot) {
	for _, h := range held {
		e := k.endpoints[h.Endpoint]
		if e == nil || k.slots[h.Token] != nil {
			continue
		}
		k.slots[h.Token] = &grantedSlot{token: h.Token, endpoint: h.Endpoint, from: from, until: now + h.Remaining + tokenGrace}
		e.inUse++
		e.unknown = max(0, e.unknown-1)
	}
}

// onAsk grants a slot at once, queues the ask or refuses it.
func (k *keeper) onAsk(now core.Millis, from string, m *Ask, out *core.Effects) {
	id := askID{from, m.Incarnation, m.Ask}
	if token, ok := k.byAsk[id]; ok {
		k.sendGrant(now, from, m, token, k.slots[token].endpoint, out)
		return
	}
	if k.isWaiting(id) {
		return
	}
	if !k.mayGrant(now) {
		k.refuse(now, from, m, core.NoUpstream, 0, true, out)
		return
	}
	if m.Remaining <= 0 {
		k.refuse(now, from, m, core.DeadlinePassed, 0, false, out)
		return
	}
	if remaining := k.node.quarantined(now, m); remaining > 0 {
		k.refuse(now, from, m, core.Quarantined, remaining, false, out)
		return
	}
	if k.queue.Len() == 0 {
		if e := k.pick(now, m.Exclude); e != nil && k.node.admit(now, k.service) {
			k.allocate(now, from, m, e, out)
			return
		}
	}
	k.enqueue(now, from, m, out)
}

func (k *keeper) isWaiting(id askID) bool {
	found := false
	k.queue.Each(func(w waiter) {
		found = found || w.from == id.from && w.ask.Ask == id.ask && w.ask.Incarnation == id.incarnation
	})
	return found
}

func (k *keeper) enqueue(now core.Millis, from string, m *Ask, out *core.Effects) {
	expected := k.expectedWait(now)
	switch {
	case k.capacity(now) == 0 && k.paceOpensIn(now) > 0:
		k.refuse(now, from, m, core.Overloaded, k.paceOpensIn(now), false, out)
		return
	case k.capacity(now) == 0:
		k.refuse(now, from, m, core.NoUpstream, 0, false, out)
		return
	case !m.Wait:
		k.refuse(now, from, m, core.Overloaded, expected, false, out)
		return
	case expected > k.settings.QueueWait || expected+core.Millis(k.meanServiceTime) > m.Remaining:
		k.refuse(now, from, m, core.Overloaded, expected, false, out)
		return
	}
	_, evicted := k.queue.Push(0, now+m.Remaining, waiter{from, m, now + m.Remaining})
	if evicted != nil {
		k.refuse(now, evicted.Value.from, evicted.Value.ask, core.Overloaded, expected, false, out)
	}
}

// expectedWait estimates the wait of a new ask from the mean service time.
func (k *keeper) expectedWait(now core.Millis) core.Millis {
	capacity := max(1, k.capacity(now))
	return core.Millis(float64(k.queue.Len()+1) * k.meanServiceTime / float64(capacity))
}

// capacity returns the number of slots that this keeper may use now, in use or not.
func (k *keeper) capacity(now core.Millis) int {
	total := 0
	ejected := k.ejected(now)
	median := k.medianLatency()
	for _, address := range k.settings.Endpoints {
		if e := k.endpoints[address]; k.usable(now, e, ejected) {
			total += k.limit(now, e, median)
		}
	}
	return total
}

// free returns the number of slots that could be granted now.
func (k *keeper) free(now core.Millis) int {
	if !k.mayGrant(now) {
		return 0
	}
	total := 0
	ejected := k.ejected(now)
	median := k.medianLatency()
	for _, address := range k.settings.Endpoints {
		if e := k.endpoints[address]; k.usable(now, e, ejected) {
			total += max(0, k.limit(now, e, median)-e.used(now))
		}
	}
	return max(0, total-k.queue.Len())
}

func (k *keeper) refuse(now core.Millis, from string, m *Ask, kind core.Kind, retry core.Millis, moved bool, out *core.Effects) {
	if retry == 0 {
		retry = core.Answers[kind].RetryAfter
	}
	k.node.reply(now, from, &Refused{
		Ask: m.Ask, Incarnation: m.Incarnation, Kind: kind, RetryAfter: retry, Moved: moved,
		Zone: k.zone, Service: k.service, Waiting: k.queue.Len(),
	}, out)
}

func (k *keeper) allocate(now core.Millis, from string, m *Ask, e *endpoint, out *core.Effects) {
	k.uses++
	k.node.lastNumber++
	token := Token{k.node.Self, k.node.Incarnation, k.node.lastNumber}
	id := askID{from, m.Incarnation, m.Ask}
	e.inUse++
	e.lastUsed = k.uses
	core.Assert(e.used(now) <= k.settings.Slots || e.unknown > 0, "endpoint %s has %d slots in use; expected at most %d", e.address, e.used(now), k.settings.Slots)
	k.slots[token] = &grantedSlot{token: token, endpoint: e.address, from: from, ask: id, until: now + m.Remaining + tokenGrace, grantedAt: now}
	e.pace.spend(now)
	k.byAsk[id] = token
	k.sendGrant(now, from, m, token, e.address, out)
}

func (k *keeper) sendGrant(now core.Millis, to string, m *Ask, token Token, endpoint string, out *core.Effects) {
	k.node.reply(now, to, &Grant{
		Ask: m.Ask, Incarnation: m.Incarnation, Token: token, Endpoint: endpoint, Zone: k.zone, Service: k.service, Free: k.free(now),
	}, out)
}

// serveQueue grants free slots to queued asks.
func (k *keeper) serveQueue(now core.Millis, out *core.Effects) {
	if !k.mayGrant(now) {
		return
	}
	for k.queue.Len() > 0 {
		e := k.pick(now, nil)
		if e == nil || !k.node.admit(now, k.service) {
			return
		}
		w, ok := k.queue.Pop(now, core.Millis(k.meanServiceTime), func(late waiter) {
			k.refuse(now, late.from, late.ask, core.DeadlinePassed, 0, false, out)
		})
		if !ok {
			return
		}
		if remaining := k.node.quarantined(now, w.ask); remaining > 0 {
			k.refuse(now, w.from, w.ask, core.Quarantined, remaining, false, out)
			continue
		}
		ask := *w.ask
		ask.Remaining = w.deadline - now
		if better := k.pick(now, ask.Exclude); better != nil {
			e = better
		}
		k.allocate(now, w.from, &ask, e, out)
	}
}

func (k *keeper) onDone(now core.Millis, m *Done, out *core.Effects) {
	g := k.slots[m.Token]
	if g == nil {
		return
	}
	if m.Result.Aborted {
		g.until = min(g.until, now+abortDelay)
	} else {
		k.release(g)
	}
	if e := k.endpoints[g.endpoint]; e != nil {
		e.recordResult(now, g.grantedAt, m.Result)
	}
	if !m.Result.Unused && !m.Result.Failed && !m.Result.Shed {
		k.recordServiceTime(m.Result.Latency)
	}
	k.serveQueue(now, out)
}

func (k *keeper) recordServiceTime(latency core.Millis) {
	if k.meanServiceTime == 0 {
		k.meanServiceTime = float64(latency)
		return
	}
	k.meanServiceTime += ewmaWeight * (float64(latency) - k.meanServiceTime)
}

func (k *keeper) release(g *grantedSlot) {
	delete(k.slots, g.token)
	delete(k.byAsk, g.ask)
	if e := k.endpoints[g.endpoint]; e != nil {
		e.inUse--
		core.Assert(e.inUse >= 0, "endpoint %s has %d slots in use; expected at least 0", e.address, e.inUse)
	}
}

func (k *keeper) withdraw(now core.Millis, from string, m *Withdraw, out *core.Effects) {
	id := askID{from, m.Incarnation, m.Ask}
	if token, ok := k.byAsk[id]; ok {
		k.release(k.slots[token])
		k.serveQueue(now, out)
		return
	}
	k.queue.Remove(func(w waiter) bool {
		return w.from == from && w.ask.Ask == m.Ask && w.ask.Incarnation == m.Incarnation
	})
}

// tick releases slots whose deadline has passed and refuses queued asks whose deadline has passed.
func (k *keeper) tick(now core.Millis, out *core.Effects) {
	for token, g := range k.slots {
		if now >= g.until {
			k.release(k.slots[token])
		}
	}
	k.queue.Expire(now, func(w waiter) {
		k.refuse(now, w.from, w.ask, core.DeadlinePassed, 0, false, out)
	})
	if !k.active {
		return
	}
	k.askWho(now, out)
	k.serveQueue(now, out)
}

// stop deactivates the keeper, except for the reserved slots when keepReserved is true;
// queued asks are refused as moved, so that their hosts ask the next keeper.
func (k *keeper) stop(now core.Millis, keepReserved bool, out *core.Effects) {
	k.active, k.reservedOnly = keepReserved, keepReserved
	k.queue.Drain(func(w waiter) {
		k.refuse(now, w.from, w.ask, core.NoUpstream, 0, true, out)
	})
}

func (k *keeper) heldSlots(now core.Millis) []HeldSlot {
	var out []HeldSlot
	for _, g := range k.slots {
		out = append(out, HeldSlot{g.token, g.endpoint, g.until - now})
	}
	slices.SortFunc(out, func(a, b HeldSlot) int { return int(a.Token.Number) - int(b.Token.Number) })
	return out
}
