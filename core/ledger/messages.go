package ledger

import "clementinelock/core"

// Token identifies who may run a key; it is void once released.
type Token struct {
	Host        string
	Incarnation uint64
	Number      uint64
}

// State is the state of a key at a replica.
type State int

// The states of a key: Free after a release, Reserved by a token, Finished with an outcome,
// Closed for attempts up to a number.
const (
	Free State = iota
	Reserved
	Finished
	Closed
)

// Outcome is the result of a keyed request.
type Outcome struct {
	// Ran is Yes for a whole answer, Unknown when the answer broke off.
	Ran    core.Ran
	Answer *core.StoredAnswer
}

// Entry is a replica's record of one key.
type Entry struct {
	Key     string
	Digest  uint64
	Attempt uint64
	State   State
	Token   Token
	Outcome Outcome
	Issued  core.Millis
	Touched core.Millis
	// Void lists the most recently released tokens, which are not granted again.
	Void []Token
}

// Reserve asks a replica to record that the token may run the key.
type Reserve struct {
	Key      string
	Digest   uint64
	Attempt  uint64
	Issued   core.Millis
	Token    Token
	Replicas []string
}

// ReserveAnswer reports whether the token was recorded, and otherwise what prevents it.
type ReserveAnswer struct {
	Token   Token
	Granted bool
	// Recovering means that the replica can't vote on the key, Full that it takes no new key,
	// Expired that the key is older than the retention, Mismatch that the key came with another request.
	Recovering bool
	Full       bool
	Expired    bool
	Mismatch   bool
	Entry      *Entry
}

// Settle ends a token with an outcome or a release; Close also closes the attempts up to Attempt.
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

// Pull asks another replica for its entries with sequence numbers above After; a restarted replica sends it.
type Pull struct {
	After    uint64
	Replicas []string
}

// PullAnswer carries the entries with sequence numbers above After and up to UpTo. Last means that there are no more,
// Complete that the sender itself has lost none.
type PullAnswer struct {
	After    uint64
	UpTo     uint64
	Entries  []Entry
	Last     bool
	Complete bool
}

// MessageName implements core.Message.
func (Reserve) MessageName() string { return "LedgerReserve" }

// MessageName implements core.Message.
func (ReserveAnswer) MessageName() string { return "LedgerReserveAnswer" }

// MessageName implements core.Message.
func (Settle) MessageName() string { return "LedgerSettle" }

// MessageName implements core.Message.
func (SettleAnswer) MessageName() string { return "LedgerSettleAnswer" }

// MessageName implements core.Message.
func (Pull) MessageName() string { return "LedgerPull" }

// MessageName implements core.Message.
func (PullAnswer) MessageName() string { return "LedgerPullAnswer" }
