// Package edits decides which operators' edits are accepted and keeps their
// history; it is the state machine that the replicated log drives.
//
// An edit is accepted only against the version in force, so that of two
// concurrent edits one is accepted and the other gets the difference. The
// outcome is stored under the edit's id, so that a resent edit gets the same
// outcome and is applied once.
package edits
