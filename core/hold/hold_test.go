package hold_test

import (
	"math/rand/v2"
	"testing"

	"clementinelock/core"
	"clementinelock/core/hold"
)

// holder is a connection of a test.
type holder struct {
	since   core.Millis
	busy    bool
	evicted bool
	account *hold.Account
}

func (h *holder) StalledSince() (core.Millis, bool) {
	return h.since, !h.busy
}

func (h *holder) Evict() bool {
	h.evicted = !h.busy
	return h.evicted
}

// open opens accounts of a size and returns their holders.
func open(t *testing.T, b *hold.Budget, count int, bytes int64, template holder) []*holder {
	t.Helper()
	holders := make([]*holder, count)
	for i := range holders {
		h := template
		holders[i] = &h
		if h.account = b.Open(0, &h, bytes); h.account == nil {
			t.Fatalf("account %d of %d was refused", i, count)
		}
	}
	return holders
}

func evicted(holders []*holder) (count int) {
	for _, h := range holders {
		if h.evicted {
			count++
		}
	}
	return count
}

// TestNewcomerBesideACrowd guards against a limit that is first come, first served: connections that hold all of it and do
// nothing keep out an ordinary caller.
func TestNewcomerBesideACrowd(t *testing.T) {
	b := &hold.Budget{MaxBytes: 1000, MaxAccounts: 100}
	crowd := open(t, b, 7, 10, holder{})
	ordinary := open(t, b, 1, 10, holder{since: 900})
	for i, h := range crowd {
		if granted := b.Grow(0, h.account, 100); granted != (i < 6) {
			t.Errorf("growth of holder %d: granted %t", i, granted)
		}
	}
	for range 30 {
		if b.Open(1000, &holder{since: 1000}, 10) == nil {
			t.Fatal("a newcomer was refused beside stalled holders")
		}
	}
	if b.Grow(1000, ordinary[0].account, 20); ordinary[0].evicted || evicted(crowd) == 0 {
		t.Errorf("ordinary holder evicted: %t, of the crowd %d", ordinary[0].evicted, evicted(crowd))
	}
	if got := b.Counts().Bytes; got > 1000 {
		t.Errorf("%d bytes are held, 1000 allowed", got)
	}
}

// TestRequestsUnderWayStay guards against the eviction of requests that endpoints may run, and against a limit that they use
// up for new connections.
func TestRequestsUnderWayStay(t *testing.T) {
	b := &hold.Budget{MaxBytes: 1000}
	busy := open(t, b, 10, 10, holder{busy: true})
	for _, h := range busy {
		b.Grow(0, h.account, 100)
	}
	idle := open(t, b, 1, 10, holder{})
	if b.Grow(5000, busy[9].account, 200) || idle[0].evicted {
		t.Error("a connection with a request under way got more than its part")
	}
	if len(open(t, b, 20, 10, holder{since: 5000})) != 20 || evicted(busy) != 0 {
		t.Errorf("%d busy holders were evicted", evicted(busy))
	}
	if b.Force(5000, busy[0].account, 2000); !idle[0].evicted || evicted(busy) != 0 {
		t.Errorf("forced growth: idle holder evicted %t, busy ones %d", idle[0].evicted, evicted(busy))
	}
}

// TestNumberOfAccounts guards against connections without end: a new one takes the place of the least useful one, and is
// refused only if all have requests under way.
func TestNumberOfAccounts(t *testing.T) {
	b := &hold.Budget{MaxAccounts: 3}
	old := open(t, b, 1, 10, holder{since: 0})[0]
	open(t, b, 2, 10, holder{since: 900})
	open(t, b, 1, 10, holder{since: 1000})
	if !old.evicted || b.Counts().Accounts != 3 {
		t.Errorf("oldest evicted: %t; accounts: %d", old.evicted, b.Counts().Accounts)
	}
	full := &hold.Budget{MaxAccounts: 2}
	open(t, full, 2, 10, holder{busy: true})
	if full.Open(0, &holder{}, 10) != nil || full.Counts().Refused != 1 {
		t.Error("a connection was accepted beyond the limit")
	}
}

// TestHeaviestAsker guards against a large request that evicts smaller ones for its own sake.
func TestHeaviestAsker(t *testing.T) {
	b := &hold.Budget{MaxBytes: 1000}
	small := open(t, b, 10, 50, holder{})
	large := open(t, b, 1, 50, holder{})[0]
	if b.Grow(100, large.account, 100); evicted(small) != 0 {
		t.Fatal("holders were evicted while there was room")
	}
	if b.Grow(100, large.account, 500) || evicted(small) != 0 {
		t.Errorf("the heaviest holder was granted more; %d smaller ones evicted", evicted(small))
	}
}

// TestSums checks that the bytes held are those of the open accounts, in random runs.
func TestSums(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		b := &hold.Budget{MaxBytes: 5000, MaxAccounts: 40}
		sizes := map[*holder]int64{}
		for now := range core.Millis(2000) {
			h := &holder{since: now, busy: random.IntN(4) == 0}
			if h.account = b.Open(now, h, 20); h.account != nil {
				sizes[h] = 20
			}
			for each := range sizes {
				if each.evicted {
					continue
				}
				switch more := random.Int64N(200); random.IntN(8) {
				case 0:
					if b.Grow(now, each.account, more) {
						sizes[each] += more
					}
				case 1:
					b.Shrink(each.account, more)
					sizes[each] = max(0, sizes[each]-more)
				case 2:
					b.Close(each.account)
					delete(sizes, each)
				case 3:
					each.busy = !each.busy && random.IntN(4) == 0
				}
			}
			var sum int64
			for each, size := range sizes {
				if each.evicted {
					delete(sizes, each)
					continue
				}
				sum += size
			}
			if c := b.Counts(); c.Bytes != sum || c.Accounts != len(sizes) || c.Bytes > 5000 || c.Accounts > 40 {
				t.Fatalf("seed %d: %+v, expected %d bytes in %d accounts", seed, c, sum, len(sizes))
			}
		}
	}
}
