// Package ledger makes a request with an idempotency key run at most once.
//
// Each key has a home region. To run a key is to dispatch its request to an
// upstream. Before a host runs a key, a majority of the home region's replicas
// must have recorded that this host and no other may run it; the outcome is
// recorded in the same way. Replicas keep the ledger in memory. A replica that
// has restarted has lost its entries: it pulls them from enough other
// replicas to intersect every majority, and until then votes only on keys
// issued after its own start.
//
// The token that allows a host to run a key is a fencing token: host,
// incarnation and sequence number. A released token is void permanently, so a
// late copy of its reservation can't be granted again. Sequence numbers and
// epochs in the producer protocol of the related paper serve the same purpose.
package ledger
