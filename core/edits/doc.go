// Package edits decides which operators' edits are accepted and keeps their
// history; it is the state machine that the replicated log drives.
//
// An edit is accepted only against the version that it was made on, so two
// operators that race get one acceptance and one difference. An edit's id
// keeps its outcome, so an edit that is resent has it back and applies once.
package edits
