// Package edits decides which edits of operators are accepted and keeps their
// history; it is the state machine that the replicated log drives.
//
// An edit is accepted only against the version in force. Of two concurrent
// edits one is accepted; the other is refused, and its outcome lists the
// differences between its base version, if that is still retained, and the
// version in force. The outcome is stored under the edit's id, so that a resent
// edit gets the same outcome and is applied once.
package edits
