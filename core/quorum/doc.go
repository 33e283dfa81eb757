// Package quorum replicates a log of commands among the control replicas.
//
// It is a consensus protocol of the Raft family, written as a state machine:
// terms, pre-vote, check-quorum, reads confirmed by a round of heartbeats,
// snapshots with log truncation, chunked catch-up and one membership change
// at a time. A replica is named by its host and its incarnation, so that a
// host with an empty or an old disk can't vote as its former self. Nothing is
// answered that depends on a write before the driver reports it synced.
package quorum
