// Package roster keeps and replicates the platform's list of the endpoints of
// all services.
//
// A control host reads the list into a Journal, which numbers the changes; each
// follower holds a Replica and gets only the changes after its number, or the
// whole list when the journal no longer has them, so that a lost message needs
// no repair. The package is deterministic: it reads no clock and no file.
package roster
