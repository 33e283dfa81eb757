package quota

import "clementinelock/core"

// search asks the pool that is expected to have the most tokens, or ends the search if none is left to ask.
func (p *Pool) search(now core.Millis, customer string, b *bucket, out *core.Effects) {
	want := 0
	for _, w := range b.waiting {
		want += w.need - w.given
	}
	best, bestLevel := "", 1.0
	holders := p.holders(customer, b)
	for _, name := range holders {
		if name == p.Name || now < p.silentUntil[name] {
			continue
		}
		if level := b.expectedLevel(now, name, len(holders)); level >= bestLevel && (best == "" || level > bestLevel) {
			best, bestLevel = name, level
		}
	}
	if best == "" || want == 0 || b.search.misses >= maxMisses {
		p.endSearch(now, customer, b, out)
		return
	}
	p.lastNumber++
	b.search.number, b.search.asked, b.search.until = p.lastNumber, best, now+lendTimeout
	out.Send(best, &Borrow{Customer: customer, Number: p.lastNumber, Want: want})
}

// expectedLevel estimates how many tokens another pool has; one that has not told counts as full.
func (b *bucket) expectedLevel(now core.Millis, name string, holders int) float64 {
	rate, capacity := b.shape.rate/float64(holders), b.shape.capacity/float64(holders)
	h, known := b.heard[name]
	if !known {
		return capacity
	}
	return min(capacity, h.level+rate*float64(now-h.at)/float64(core.Second))
}

// endSearch answers the draws that wait with what they got.
func (p *Pool) endSearch(now core.Millis, customer string, b *bucket, out *core.Effects) {
	b.search = search{}
	if len(b.waiting) > 0 {
		b.search.nextAt = now + borrowDelay
	}
	p.rejectWaiting(customer, b, out)
	b.level = min(b.level, b.capacity)
}

// rejectWaiting ends all draws that wait; out is nil where their senders need no answer.
func (p *Pool) rejectWaiting(customer string, b *bucket, out *core.Effects) {
	for _, w := range b.waiting {
		p.answerWaiting(customer, b, w, out)
	}
	b.waiting = nil
}

func (p *Pool) answerWaiting(customer string, b *bucket, w waitingDraw, out *core.Effects) {
	if out == nil {
		return
	}
	b.granted += uint64(w.given)
	b.rejected += uint64(w.need - w.given)
	g := &Grant{Customer: customer, Number: w.number, Count: w.given, Short: w.given < w.need}
	if g.Short {
		g.Wait = b.wait()
	}
	out.Send(w.from, g)
}

// serveWaiting gives the tokens of the bucket to the draws that wait, in their order.
func (p *Pool) serveWaiting(customer string, b *bucket, out *core.Effects) {
	for len(b.waiting) > 0 {
		w := &b.waiting[0]
		w.given += b.take(w.need - w.given)
		if w.given < w.need {
			return
		}
		p.answerWaiting(customer, b, *w, out)
		b.waiting = b.waiting[1:]
	}
}

// onBorrow lends another pool the tokens that this one does not need by itself shortly, at most half of them if it needs more.
func (p *Pool) onBorrow(now core.Millis, from string, m *Borrow, out *core.Effects) {
	l := &Lend{Customer: m.Customer, Number: m.Number}
	if b := p.buckets[m.Customer]; b != nil && b.removedAt == 0 {
		b.refill(now)
		if len(b.waiting) == 0 {
			b.used.decay(now)
			kept := min(b.level/2, b.used.perSecond*float64(keptTime)/float64(core.Second))
			l.Count = b.take(min(m.Want, int(b.level-kept)))
			b.lent += uint64(l.Count)
		}
		l.Level = int(b.level)
	}
	out.Send(from, l)
}

func (p *Pool) onLend(now core.Millis, from string, m *Lend, out *core.Effects) {
	delete(p.silentUntil, from)
	b := p.buckets[m.Customer]
	if b == nil {
		return
	}
	b.refill(now)
	b.heard[from] = heardLevel{level: float64(m.Level), at: now}
	b.level += float64(m.Count)
	b.borrowed += uint64(m.Count)
	b.search.misses++
	if m.Count > 0 {
		b.search.misses = 0
	}
	p.serveWaiting(m.Customer, b, out)
	if b.search.number != m.Number {
		b.level = min(b.level, b.capacity)
		return
	}
	p.search(now, m.Customer, b, out)
}
