package hold

import "clementinelock/core"

// Holder is a connection for which memory is held.
type Holder interface {
	// StalledSince returns the time of the holder's last progress; stalled is false while it does work that must not be cut off.
	StalledSince() (since core.Millis, stalled bool)
	// Evict ends the holder; it returns false if the holder does such work by now.
	Evict() bool
}

const (
	// growthShare is the part of the limit up to which accounts may grow beyond their first bytes; new accounts use all of it.
	growthShare = 0.75
	// minAge is added to the time without progress, so that the size counts between accounts that stall since the same moment.
	minAge = 100 * core.Millisecond
)

// Account is what is held for one holder.
type Account struct {
	holder Holder
	bytes  int64
	// index is the account's place in Budget.accounts, -1 once it is closed.
	index int
}

// Counts is the state of a Budget.
type Counts struct {
	// Bytes and Accounts are what is held now.
	Bytes    int64
	Accounts int
	// Refused counts accounts that were not opened and growth that was not granted, Evicted the holders that gave way.
	Refused uint64
	Evicted uint64
}

// Budget is the limit of all accounts together. Set the exported fields before use.
type Budget struct {
	// MaxBytes limits the bytes of all accounts and MaxAccounts their number; 0 sets no limit.
	MaxBytes    int64
	MaxAccounts int

	accounts []*Account
	bytes    int64
	refused  uint64
	evicted  uint64
}

// Counts returns the state of the budget.
func (b *Budget) Counts() Counts {
	return Counts{Bytes: b.bytes, Accounts: len(b.accounts), Refused: b.refused, Evicted: b.evicted}
}

// Open opens an account with its first bytes; it returns nil if nobody can give way for it.
func (b *Budget) Open(now core.Millis, holder Holder, bytes int64) *Account {
	fits := func() bool {
		return (b.MaxAccounts == 0 || len(b.accounts) < b.MaxAccounts) && (b.MaxBytes == 0 || b.bytes+bytes <= b.MaxBytes)
	}
	if !b.makeRoom(now, nil, 0, fits) {
		b.refused++
		return nil
	}
	a := &Account{holder: holder, bytes: bytes, index: len(b.accounts)}
	b.accounts = append(b.accounts, a)
	b.bytes += bytes
	return a
}

// Grow adds bytes to an account. It returns false, and adds nothing, if the account has more than others to give way, or
// its holder has work under way and the limit is reached.
func (b *Budget) Grow(now core.Millis, a *Account, bytes int64) bool {
	if a.index < 0 {
		return false
	}
	fits := func() bool { return b.MaxBytes == 0 || float64(b.bytes+bytes) <= growthShare*float64(b.MaxBytes) }
	if !fits() {
		if _, stalled := a.holder.StalledSince(); !stalled || !b.makeRoom(now, a, bytes, fits) {
			b.refused++
			return false
		}
	}
	a.bytes += bytes
	b.bytes += bytes
	return true
}

// Force adds bytes that are held already to an account. Others give way for them, but the limit may be exceeded.
func (b *Budget) Force(now core.Millis, a *Account, bytes int64) {
	if a.index < 0 {
		return
	}
	a.bytes += bytes
	b.bytes += bytes
	b.makeRoom(now, nil, 0, func() bool { return b.MaxBytes == 0 || b.bytes <= b.MaxBytes })
}

// Shrink takes bytes off an account.
func (b *Budget) Shrink(a *Account, bytes int64) {
	if a.index < 0 {
		return
	}
	bytes = min(bytes, a.bytes)
	a.bytes -= bytes
	b.bytes -= bytes
}

// Close closes an account; it does nothing for one that is closed.
func (b *Budget) Close(a *Account) {
	if a.index < 0 {
		return
	}
	last := b.accounts[len(b.accounts)-1]
	b.accounts[a.index], last.index = last, a.index
	b.accounts[len(b.accounts)-1] = nil
	b.accounts = b.accounts[:len(b.accounts)-1]
	b.bytes -= a.bytes
	a.bytes, a.index = 0, -1
}

// makeRoom evicts holders until the condition is met; it returns false if none is left to evict, or if it is the turn of the
// account that asks for bytes.
func (b *Budget) makeRoom(now core.Millis, asking *Account, bytes int64, fits func() bool) bool {
	for attempts := len(b.accounts); !fits(); attempts-- {
		victim := b.heaviest(now, asking, bytes)
		if victim == nil || victim == asking || attempts <= 0 {
			return false
		}
		if victim.holder.Evict() {
			b.evicted++
			b.Close(victim)
		}
	}
	return true
}

// heaviest returns the account with the largest product of bytes and time without progress, or nil if all have work under way.
// Between equal ones it is that which asks.
func (b *Budget) heaviest(now core.Millis, asking *Account, bytes int64) *Account {
	var heaviest *Account
	var most float64
	for _, a := range b.accounts {
		since, stalled := a.holder.StalledSince()
		if !stalled {
			continue
		}
		size := a.bytes
		if a == asking {
			size += bytes
		}
		if weight := float64(size) * float64(max(0, now-since)+minAge); weight > most || a == asking && weight == most {
			heaviest, most = a, weight
		}
	}
	return heaviest
}
