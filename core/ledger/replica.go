package ledger

import (
	"slices"

	"clementinelock/core"
)

// Timeouts, intervals and sizes of the ledger.
const (
	// ReserveTimeout bounds the time from a reservation's first message to its decision.
	ReserveTimeout = core.Second
	// maxClockSkew is the assumed upper bound on the clock difference between two hosts.
	maxClockSkew = 2 * core.Second
	// pullDelay lets every reservation that began before the restart be decided before the entries are pulled.
	pullDelay          = ReserveTimeout + 200*core.Millisecond
	pullInterval       = 250 * core.Millisecond
	maxPageBytes       = 64 << 10
	entryOverheadBytes = 256
	maxVoidTokens      = 8
)

// Replica stores the entries for the keys of its region. Its exported fields must be set before use.
type Replica struct {
	Self string
	// Retention and LimitBytes come from the tree.
	Retention  core.Millis
	LimitBytes int64

	started    core.Millis
	replicas   []string
	entries    map[string]*trackedEntry
	order      []*trackedEntry
	lastNumber uint64
	bytes      int64
	recovered  bool
	pulls      map[string]*pull
}

type trackedEntry struct {
	Entry
	number  uint64
	size    int64
	evicted bool
}

type pull struct {
	after  uint64
	sentAt core.Millis
	done   bool
}

// Start initializes the replica; now is the start time of the process.
func (r *Replica) Start(now core.Millis) {
	r.started = now
	r.entries = map[string]*trackedEntry{}
	r.pulls = map[string]*pull{}
}

// SetReplicas sets the hosts that hold the ledger of this host's region.
// A host that becomes one of them has no earlier entries and must recover, as after a restart.
func (r *Replica) SetReplicas(now core.Millis, replicas []string) {
	if slices.Equal(r.replicas, replicas) {
		return
	}
	joins := !r.isMember()
	r.replicas = slices.Clone(replicas)
	if joins && r.isMember() {
		r.started, r.recovered, r.pulls = now, false, map[string]*pull{}
	}
}

func (r *Replica) isMember() bool {
	return slices.Contains(r.replicas, r.Self)
}

// Recovered reports whether the replica can vote on every key.
func (r *Replica) Recovered() bool {
	return r.recovered
}

// Bootstrap marks the replica as one of the first of its region's ledger, which has no earlier entries to recover.
func (r *Replica) Bootstrap() {
	r.recovered = true
}

// Tick pulls entries from the other replicas after a restart.
func (r *Replica) Tick(now core.Millis, out *core.Effects) {
	if r.recovered || !r.isMember() || now-r.started < pullDelay {
		return
	}
	if now-r.started >= r.Retention+maxClockSkew {
		r.recovered = true
		out.Logf("ledger", "Recovery ended: all keys from before the start have expired.")
		return
	}
	for _, host := range r.replicas {
		if host == r.Self {
			continue
		}
		p := r.pulls[host]
		if p == nil {
			p = &pull{sentAt: now - pullInterval}
			r.pulls[host] = p
		}
		if !p.done && now-p.sentAt >= pullInterval {
			p.sentAt = now
			out.Send(host, &Pull{After: p.after, Replicas: r.replicas})
		}
	}
}

// pullQuorum returns how many other replicas must send all their entries,
// so that they intersect every majority that this replica was part of.
func (r *Replica) pullQuorum() int {
	majority := len(r.replicas)/2 + 1
	return len(r.replicas) - majority + 1
}

// Receive handles a message to the replica.
func (r *Replica) Receive(now core.Millis, from string, message core.Message, out *core.Effects) {
	switch m := message.(type) {
	case *Reserve:
		out.Send(from, r.reserve(now, m))
	case *Settle:
		if answer := r.settle(now, m); answer != nil {
			out.Send(from, answer)
		}
	case *Pull:
		out.Send(from, r.answerPull(m))
	case *PullAnswer:
		r.onPullAnswer(now, from, m, out)
	}
}

func (r *Replica) answerPull(m *Pull) *PullAnswer {
	answer := &PullAnswer{After: m.After, UpTo: m.After, Complete: r.recovered && slices.Equal(m.Replicas, r.replicas), Last: true}
	size := int64(0)
	i, _ := slices.BinarySearchFunc(r.order, m.After+1, func(n *trackedEntry, number uint64) int { return int(n.number) - int(number) })
	for ; i < len(r.order); i++ {
		n := r.order[i]
		if size > maxPageBytes {
			answer.Last = false
			break
		}
		answer.UpTo = n.number
		if !n.evicted {
			answer.Entries = append(answer.Entries, n.Entry)
			size += n.size
		}
	}
	return answer
}

func (r *Replica) onPullAnswer(now core.Millis, from string, m *PullAnswer, out *core.Effects) {
	p := r.pulls[from]
	if r.recovered || p == nil || p.done || m.After != p.after || !m.Complete {
		return
	}
	for _, e := range m.Entries {
		r.mergeEntry(now, e)
	}
	p.after = m.UpTo
	p.sentAt = now - pullInterval
	p.done = m.Last
	done := 0
	for _, each := range r.pulls {
		if each.done {
			done++
		}
	}
	if done >= r.pullQuorum() {
		r.recovered = true
		out.Logf("ledger", "Recovery ended with %d entries.", len(r.entries))
	}
}

// mergeEntry merges another replica's entry into this one's; where both are reserved by different tokens,
// neither token keeps the key.
func (r *Replica) mergeEntry(now core.Millis, e Entry) {
	own := r.entries[e.Key]
	if own == nil {
		r.add(e)
		return
	}
	for _, void := range e.Void {
		own.addVoid(void)
	}
	switch {
	case own.State == Finished:
	case e.State == Finished:
		own.State, own.Token, own.Outcome, own.Attempt = e.State, e.Token, e.Outcome, e.Attempt
	case e.State == Closed && own.State != Reserved:
		own.State, own.Attempt = Closed, max(own.Attempt, e.Attempt)
	case e.State == Reserved && own.State == Reserved && e.Token != own.Token:
		own.Token = Token{}
	case e.State == Reserved && own.State != Reserved:
		own.State, own.Token, own.Attempt = Reserved, e.Token, e.Attempt
	}
	own.Touched = now
}

// canVoteOn reports whether a key without an entry here certainly never had one.
func (r *Replica) canVoteOn(issued core.Millis) bool {
	return r.recovered || issued >= r.started+maxClockSkew
}

func (r *Replica) reserve(now core.Millis, m *Reserve) *ReserveAnswer {
	answer := &ReserveAnswer{Token: m.Token}
	if !r.isMember() || !slices.Equal(m.Replicas, r.replicas) {
		answer.Recovering = true
		return answer
	}
	own := r.entries[m.Key]
	if own != nil && own.Digest != m.Digest {
		answer.Mismatch = true
		return answer
	}
	if own != nil && own.State == Finished {
		entry := own.Entry
		answer.Entry = &entry
		return answer
	}
	if m.Issued > 0 && now-m.Issued > r.Retention {
		answer.Expired = true
		return answer
	}
	if !r.canVoteOn(m.Issued) {
		answer.Recovering = true
		return answer
	}
	if own == nil {
		r.reserveNew(now, m, answer)
		return answer
	}
	r.reserveKnown(now, own, m, answer)
	return answer
}

func (r *Replica) reserveNew(now core.Millis, m *Reserve, answer *ReserveAnswer) {
	if r.bytes+entryOverheadBytes > r.LimitBytes && !r.evict(now) {
		answer.Full = true
		return
	}
	r.add(Entry{Key: m.Key, Digest: m.Digest, Attempt: m.Attempt, State: Reserved, Token: m.Token, Issued: m.Issued, Touched: now})
	answer.Granted = true
}

func (r *Replica) reserveKnown(now core.Millis, own *trackedEntry, m *Reserve, answer *ReserveAnswer) {
	free := own.State == Free || own.State == Closed && m.Attempt > own.Attempt
	switch {
	case slices.Contains(own.Void, m.Token):
	case own.State == Reserved && own.Token == m.Token:
		answer.Granted = true
	case free:
		own.State, own.Token, own.Attempt, own.Touched = Reserved, m.Token, m.Attempt, now
		answer.Granted = true
	}
	if !answer.Granted {
		entry := own.Entry
		answer.Entry = &entry
	}
}

// settle records the end of a token; it returns nil when this replica does not hold the ledger of the key's region.
func (r *Replica) settle(now core.Millis, m *Settle) *SettleAnswer {
	if !r.isMember() || !slices.Equal(m.Replicas, r.replicas) {
		return nil
	}
	own := r.entries[m.Key]
	if own == nil {
		own = r.add(Entry{Key: m.Key, Digest: m.Digest, Attempt: m.Attempt, State: Free, Issued: m.Issued, Touched: now})
	}
	own.Touched = now
	if m.Release {
		r.releaseToken(own, m)
		return &SettleAnswer{Token: m.Token}
	}
	core.Assert(own.State != Finished || own.Token == m.Token || own.Token == Token{}, "key %q was finished under two tokens: %v and %v", m.Key, own.Token, m.Token)
	own.State, own.Token, own.Outcome, own.Attempt = Finished, m.Token, m.Outcome, m.Attempt
	r.resize(own)
	return &SettleAnswer{Token: m.Token}
}

func (r *Replica) releaseToken(own *trackedEntry, m *Settle) {
	own.addVoid(m.Token)
	holds := own.State == Reserved && own.Token == m.Token
	if holds {
		own.State, own.Token = Free, Token{}
	}
	if m.Close && own.State != Finished && own.State != Reserved {
		own.State, own.Attempt = Closed, max(own.Attempt, m.Attempt)
	}
}

func (e *Entry) addVoid(token Token) {
	if slices.Contains(e.Void, token) {
		return
	}
	e.Void = append(e.Void, token)
	if len(e.Void) > maxVoidTokens {
		e.Void = slices.Clone(e.Void[1:])
	}
}

func (r *Replica) add(e Entry) *trackedEntry {
	r.lastNumber++
	n := &trackedEntry{Entry: e, number: r.lastNumber}
	r.entries[e.Key] = n
	r.order = append(r.order, n)
	r.resize(n)
	return n
}

func (r *Replica) resize(n *trackedEntry) {
	size := int64(entryOverheadBytes + 2*len(n.Key))
	if n.Outcome.Answer != nil {
		size += int64(len(n.Outcome.Answer.Body)) + entryOverheadBytes
	}
	if r.bytes+size-n.size > r.LimitBytes && n.Outcome.Answer != nil {
		n.Outcome.Answer = &core.StoredAnswer{Status: n.Outcome.Answer.Status}
		size = int64(entryOverheadBytes + 2*len(n.Key))
	}
	r.bytes += size - n.size
	n.size = size
}

// evict removes the oldest entries that are past their retention; it returns false when there are none.
func (r *Replica) evict(now core.Millis) bool {
	dropped := false
	for len(r.order) > 0 {
		n := r.order[0]
		if !n.evicted && now-n.Touched <= r.Retention {
			break
		}
		r.order = r.order[1:]
		delete(r.entries, n.Key)
		r.bytes -= n.size
		dropped = true
	}
	return dropped
}

// Status is the state of a replica in dumps.
type Status struct {
	Replicas  []string
	Recovered bool
	Entries   int
	Bytes     int64
}

// Status returns the state of the replica.
func (r *Replica) Status() Status {
	return Status{Replicas: r.replicas, Recovered: r.recovered, Entries: len(r.entries), Bytes: r.bytes}
}
