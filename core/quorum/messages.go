package quorum

import "clementinelock/core"

// Header is part of every message: the sender's term and incarnation, and the incarnation that it is addressed to
// (0: any).
type Header struct {
	Term          uint64
	Incarnation   uint64
	ToIncarnation uint64
}

// VoteRequest asks for a vote, or with Pre whether a vote would be granted.
type VoteRequest struct {
	Header
	Pre       bool
	LastIndex uint64
	LastTerm  uint64
	// Transfer marks an election that the leader itself has requested; votes are then granted although that leader
	// is live.
	Transfer bool
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	Header
	Pre     bool
	Granted bool
}

// Append replicates records; without records it is a heartbeat.
type Append struct {
	Header
	PrevIndex uint64
	PrevTerm  uint64
	Records   []core.Record
	Commit    uint64
	Round     uint64
	// SentAt is the leader's time at which it sent the message; 0 means that it is not told.
	SentAt core.Millis `cbor:",omitempty"`
	// Doubtful is set while the leader has not heard from a majority for so long that there may be another one soon.
	Doubtful bool `cbor:",omitempty"`
}

// AppendResponse reports how far the follower's log matches; Hint is the index to go back to if it does not.
type AppendResponse struct {
	Header
	// Boot and Nonce identify the follower's start.
	Boot    uint64
	Nonce   uint64
	Matches bool
	Match   uint64
	Hint    uint64
	Round   uint64
}

// InstallSnapshot carries one chunk of a snapshot.
type InstallSnapshot struct {
	Header
	Index        uint64
	SnapshotTerm uint64
	Offset       int
	Data         []byte
	Done         bool
}

// InstallSnapshotResponse reports how many bytes of the snapshot the follower holds.
type InstallSnapshotResponse struct {
	Header
	// Boot and Nonce identify the follower's start; older builds don't tell them.
	Boot   uint64 `cbor:",omitempty"`
	Nonce  uint64 `cbor:",omitempty"`
	Index  uint64
	Offset int
	Done   bool
}

// Hello announces a replica that has started and may not vote yet.
type Hello struct {
	Header
	Boot uint64
	// Nonce is drawn at each start. It distinguishes a resent Hello from that of a start with the same boot number
	// on an older copy of the disk.
	Nonce uint64
	// LastIndex and LastTerm are those of the log on disk at the start.
	LastIndex uint64
	LastTerm  uint64
	// Stopping marks the announcement of a planned stop of this start.
	Stopping bool `cbor:",omitempty"`
}

// HelloResponse reports what is known of a started replica; Fenced means that its disk is older than what it has
// acknowledged.
type HelloResponse struct {
	Header
	Boot   uint64
	Fenced bool
	// Leader names the leader that the sender follows, so that a newcomer need not know it; it may be empty.
	Leader string `cbor:",omitempty"`
}

// TimeoutNow asks a caught-up follower to start an election at once, since the leader is stopping.
type TimeoutNow struct {
	Header
}

// MessageName implements core.Message.
func (VoteRequest) MessageName() string { return "QuorumVoteAsk" }

// MessageName implements core.Message.
func (VoteResponse) MessageName() string { return "QuorumVoteAnswer" }

// MessageName implements core.Message.
func (Append) MessageName() string { return "QuorumAppend" }

// MessageName implements core.Message.
func (AppendResponse) MessageName() string { return "QuorumAppendAnswer" }

// MessageName implements core.Message.
func (InstallSnapshot) MessageName() string { return "QuorumInstall" }

// MessageName implements core.Message.
func (InstallSnapshotResponse) MessageName() string { return "QuorumInstallAnswer" }

// MessageName implements core.Message.
func (Hello) MessageName() string { return "QuorumHello" }

// MessageName implements core.Message.
func (HelloResponse) MessageName() string { return "QuorumHelloAnswer" }

// MessageName implements core.Message.
func (TimeoutNow) MessageName() string { return "QuorumTimeoutNow" }
