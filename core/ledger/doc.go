// Package ledger makes a request with an idempotency key run at most once.
//
// Each key has a home region. Before a host dispatches a keyed request, a
// majority of the home region's replicas must have noted that this host and
// no other may run the key; the outcome is noted the same way. Replicas keep
// the ledger in memory. One that has restarted has forgotten what it noted:
// it takes the entries over from so many others that every majority is met,
// and until then votes only on keys that were issued after its own start.
//
// The note of who may run a key is a fencing token: host, incarnation and
// sequence number. Releasing a token makes it void for ever, so a late copy
// of a released reservation can't be granted again. Sequence numbers and
// epochs in the producer protocol of the related paper serve the same end.
package ledger
