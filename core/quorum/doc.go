// Package quorum replicates a log of commands among the control hosts.
//
// It is a consensus protocol of the Raft family, written as a deterministic
// state machine: terms, pre-vote, check-quorum, reads confirmed by a round of
// heartbeats, snapshots with log truncation, snapshot transfer in chunks and
// one membership change at a time. A replica is identified by its host and its
// incarnation, so that a host whose disk was emptied can't vote under its
// former identity. A replica on an older copy of its disk is fenced: it takes
// no further part. A message that depends on a write is sent only after the
// driver has reported the write synced.
package quorum
