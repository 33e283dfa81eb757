package quorum

import "clementinelock/core"

// Header stands in every message: the sender's term and incarnation, and the incarnation that it is meant for (0: any).
type Header struct {
	Term          uint64
	Incarnation   uint64
	ToIncarnation uint64
}

// VoteAsk asks for a vote, or with Pre whether a vote would be granted.
type VoteAsk struct {
	Header
	Pre       bool
	LastIndex uint64
	LastTerm  uint64
	// Transfer marks a vote that the old leader asked for, which passes the leader's lease.
	Transfer bool
}

// VoteAnswer answers a VoteAsk.
type VoteAnswer struct {
	Header
	Pre     bool
	Granted bool
}

// Append carries records, or none as a heartbeat.
type Append struct {
	Header
	PrevIndex uint64
	PrevTerm  uint64
	Records   []core.Record
	Commit    uint64
	Round     uint64
}

// AppendAnswer tells how far the follower's log matches; Hint is where to go back to when it does not.
type AppendAnswer struct {
	Header
	// Boot and Nonce are those of the follower's start.
	Boot    uint64
	Nonce   uint64
	Matches bool
	Match   uint64
	Hint    uint64
	Round   uint64
}

// Install carries one chunk of a snapshot.
type Install struct {
	Header
	Index        uint64
	SnapshotTerm uint64
	Offset       int
	Data         []byte
	Done         bool
}

// InstallAnswer tells how many bytes of the snapshot the follower holds.
type InstallAnswer struct {
	Header
	Index  uint64
	Offset int
	Done   bool
}

// Hello announces a replica that has started and may not vote yet.
type Hello struct {
	Header
	Boot uint64
	// Nonce tells two starts with one number apart: a Hello that is sent again from a start of an older copy of the disk.
	Nonce uint64
	// LastIndex and LastTerm are those that the disk had at the start.
	LastIndex uint64
	LastTerm  uint64
}

// HelloAnswer tells a started replica what is known of it; Fenced means that its disk is older than what it promised.
type HelloAnswer struct {
	Header
	Boot   uint64
	Fenced bool
}

// TimeoutNow asks a caught-up follower to campaign at once, since the leader is stopping.
type TimeoutNow struct {
	Header
}

// MessageName returns the message's name.
func (VoteAsk) MessageName() string { return "QuorumVoteAsk" }

// MessageName returns the message's name.
func (VoteAnswer) MessageName() string { return "QuorumVoteAnswer" }

// MessageName returns the message's name.
func (Append) MessageName() string { return "QuorumAppend" }

// MessageName returns the message's name.
func (AppendAnswer) MessageName() string { return "QuorumAppendAnswer" }

// MessageName returns the message's name.
func (Install) MessageName() string { return "QuorumInstall" }

// MessageName returns the message's name.
func (InstallAnswer) MessageName() string { return "QuorumInstallAnswer" }

// MessageName returns the message's name.
func (Hello) MessageName() string { return "QuorumHello" }

// MessageName returns the message's name.
func (HelloAnswer) MessageName() string { return "QuorumHelloAnswer" }

// MessageName returns the message's name.
func (TimeoutNow) MessageName() string { return "QuorumTimeoutNow" }
