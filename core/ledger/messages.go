package ledger

import "clementinelock/core"

// Token names who may run a key; it is void once released.
type Token struct {
	Host        string
	Incarnation uint64
	Number      uint64
}

// State is what a replica notes of a key.
type State int

// The states of a key: Free after a release, Reserved by a token, Finished with an outcome, Closed for attempts up to a number.
const (
	Free State = iota
	Reserved
	Finished
	Closed
)

// Outcome is how a keyed request ended.
type Outcome struct {
	// Ran is Yes for a whole answer, Unknown when the answer broke off.
	Ran    core.Ran
	Answer *core.StoredAnswer
}

// Entry is a replica's note of one key.
type Entry struct {
	Key     string
	Digest  uint64
	Attempt uint64
	State   State
	Token   Token
	Outcome Outcome
	Issued  core.Millis
	Touched core.Millis
	// Void lists the tokens that were released; they are never granted again.
	Void []Token
}

// Reserve asks a replica to note that the token may run the key.
type Reserve struct {
	Key      string
	Digest   uint64
	Attempt  uint64
	Issued   core.Millis
	Token    Token
	Replicas []string
}

// ReserveAnswer tells whether the token was noted, and what stands in its way.
type ReserveAnswer struct {
	Token   Token
	Granted bool
	// Recovering means that the replica can't tell; Full that it takes no new key; Expired that the key is too old.
	Recovering bool
	Full       bool
	Expired    bool
	Mismatch   bool
	Entry      *Entry
}

// Settle notes the end of a token: an outcome, or a release; Close voids the attempts up to the token's.
type Settle struct {
	Key      string
	Digest   uint64
	Attempt  uint64
	Issued   core.Millis
	Token    Token
	Release  bool
	Close    bool
	Outcome  Outcome
	Replicas []string
}

// SettleAnswer acknowledges a Settle.
type SettleAnswer struct {
	Token Token
}

// Pull asks another replica for its entries after a number, when this one has restarted.
type Pull struct {
	After    uint64
	Replicas []string
}

// PullAnswer carries the entries after a number up to UpTo; Complete tells that the sender itself has forgotten none.
type PullAnswer struct {
	After    uint64
	UpTo     uint64
	Entries  []Entry
	Last     bool
	Complete bool
}

// MessageName returns the message's name.
func (Reserve) MessageName() string { return "LedgerReserve" }

// MessageName returns the message's name.
func (ReserveAnswer) MessageName() string { return "LedgerReserveAnswer" }

// MessageName returns the message's name.
func (Settle) MessageName() string { return "LedgerSettle" }

// MessageName returns the message's name.
func (SettleAnswer) MessageName() string { return "LedgerSettleAnswer" }

// MessageName returns the message's name.
func (Pull) MessageName() string { return "LedgerPull" }

// MessageName returns the message's name.
func (PullAnswer) MessageName() string { return "LedgerPullAnswer" }
