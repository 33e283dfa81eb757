package crash

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
)

const (
	// newsInterval is the time between two messages with news, quarantineInterval that between two with quarantines alone.
	newsInterval       = 100 * core.Millisecond
	quarantineInterval = 500 * core.Millisecond
	// newsFanout is how many hosts a message goes to: with news at every interval, 1,200 hosts are reached in half a second.
	newsFanout = 4
	// maxNewsAge keeps reports that hosts have forgotten meanwhile from going round for ever.
	maxNewsAge = 5 * core.Second
	// maxHeld bounds the quarantines of a host.
	maxHeld = 64
)

// News is what hosts tell each other about requests that crash endpoints.
type News struct {
	Crashes     []Report     `cbor:"1,keyasint,omitempty"`
	Served      []Served     `cbor:"2,keyasint,omitempty"`
	Quarantined []Quarantine `cbor:"3,keyasint,omitempty"`
}

// MessageName returns the message's name.
func (News) MessageName() string { return "CrashNews" }

// Node finds requests that crash endpoints together with the other hosts: each host passes on what it hears, and all
// decide by the same rule. Set the exported fields before use; calls must not overlap.
type Node struct {
	Rand *rand.Rand
	// Peers returns the other hosts.
	Peers func() []string
	// OnQuarantine is called when a request must no longer be sent to endpoints.
	OnQuarantine func(now core.Millis, digest Digest, out *core.Effects)

	table      Table
	watch      Watch
	relay      Relay
	held       map[Digest]Quarantine
	nextSendAt core.Millis
	// changed is set until the watch knows of the latest quarantines and crashes.
	changed bool
}

// RecordCrash records that an endpoint ended while it held a request of this host; a request without a digest can't be
// recognised.
func (n *Node) RecordCrash(now core.Millis, report Report, out *core.Effects) {
	if report.Digest == (Digest{}) {
		return
	}
	out.Logf("crashes", "Endpoint %s ended while it held request %s.", report.Endpoint, report.Digest)
	n.addCrash(now, report)
	n.updateWatch(now)
}

// addCrash adds a crash, and passes it on if it is news.
func (n *Node) addCrash(now core.Millis, report Report) {
	if !n.table.Record(now, report) {
		return
	}
	n.changed = true
	if report.Age < maxNewsAge {
		n.relay.AddCrash(now, report)
		n.nextSendAt = min(n.nextSendAt, now)
	}
}

// addServed forgets crashes before an answer, and passes the answer on if it was news.
func (n *Node) addServed(now core.Millis, served Served, out *core.Effects) {
	if n.table.Clear(now, served) {
		n.relay.AddServed(now, served)
		n.nextSendAt = min(n.nextSendAt, now)
		n.changed = true
	}
	if q := n.held[served.Digest]; q.Holds(now) && len(n.table.Endpoints(served.Digest)) == 0 {
		out.Logf("crashes", "Request %s is no longer quarantined: an endpoint has answered it.", served.Digest)
		q.Until, q.Times = now, q.Times+1
		n.hold(now, q, out)
	}
}

// RecordAnswer records that an endpoint has answered a request.
func (n *Node) RecordAnswer(now core.Millis, digest Digest) {
	n.watch.RecordAnswer(now, digest)
}

// Remaining returns for how long a request must not be sent to endpoints; 0 means that it may be.
func (n *Node) Remaining(now core.Millis, digest Digest) core.Millis {
	return n.watch.Remaining(now, digest)
}

// Held returns the quarantines that this host knows, those that end first first.
func (n *Node) Held() []Quarantine {
	return slices.SortedFunc(maps.Values(n.held), func(a, b Quarantine) int {
		return cmp.Or(cmp.Compare(a.Until, b.Until), compareDigests(a.Digest, b.Digest))
	})
}

// updateWatch passes changed quarantines and suspects on to the watch.
func (n *Node) updateWatch(now core.Millis) {
	if n.changed {
		n.changed = false
		n.watch.Set(n.Held(), n.table.Suspects(now))
	}
}

// hold takes over a quarantine unless this host knows a later decision.
func (n *Node) hold(now core.Millis, q Quarantine, out *core.Effects) {
	known := n.held[q.Digest]
	if q.Times < known.Times || q.Times == known.Times && q.Until <= known.Until || q.IsForgotten(now) {
		return
	}
	if n.held == nil {
		n.held = map[Digest]Quarantine{}
	}
	n.held[q.Digest] = q
	if len(n.held) > maxHeld {
		delete(n.held, n.Held()[0].Digest)
	}
	n.nextSendAt = min(n.nextSendAt, now)
	n.table.Explain(q.Digest)
	n.changed = true
	n.updateWatch(now)
	if q.Holds(now) && !known.Holds(now) {
		out.Logf("crashes", "Request %s is quarantined for %s: endpoints %v ended under it.", q.Digest, q.Until-now, n.table.Endpoints(q.Digest))
		n.OnQuarantine(now, q.Digest, out)
	}
}

// Tick decides what is due and sends news.
func (n *Node) Tick(now core.Millis, out *core.Effects) {
	for _, served := range n.watch.TakeServed(now) {
		n.addServed(now, served, out)
	}
	if n.table.Len() > 0 {
		held := n.Held()
		if digest, due := n.table.Due(now, held); due {
			n.hold(now, cmp.Or(n.held[digest], Quarantine{Digest: digest}).Renewed(now), out)
		}
	}
	n.updateWatch(now)
	if now >= n.nextSendAt {
		n.send(now, out)
	}
}

// send sends the news to some hosts, and the quarantines to some hosts that may have started since.
func (n *Node) send(now core.Millis, out *core.Effects) {
	maps.DeleteFunc(n.held, func(_ Digest, q Quarantine) bool { return q.IsForgotten(now) })
	news := &News{Quarantined: n.Held()}
	news.Crashes, news.Served = n.relay.Reports(now)
	n.nextSendAt = now + quarantineInterval
	if len(news.Crashes)+len(news.Served) > 0 {
		n.nextSendAt = now + newsInterval
	}
	if len(news.Crashes)+len(news.Served)+len(news.Quarantined) == 0 {
		return
	}
	peers := n.Peers()
	for _, i := range n.Rand.Perm(len(peers))[:min(newsFanout, len(peers))] {
		out.Send(peers[i], news)
	}
}

// Receive handles a message from another host; it ignores other messages.
func (n *Node) Receive(now core.Millis, _ string, message core.Message, out *core.Effects) {
	news, ok := message.(*News)
	if !ok {
		return
	}
	for _, report := range news.Crashes {
		n.addCrash(now, report)
	}
	for _, served := range news.Served {
		n.addServed(now, served, out)
	}
	for _, q := range news.Quarantined {
		n.hold(now, q, out)
	}
	n.updateWatch(now)
}
