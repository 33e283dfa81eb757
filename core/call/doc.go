// Package call carries a caller's request from its arrival to its answer:
// the claim of its key, the slot, the attempts at endpoints, retries and
// hedges, its deadline, and what the caller may be told of whether it ran.
//
// The desk decides; the driver moves the bytes. An attempt's answer goes to
// the caller only by the request's own number, which is never used twice in
// one process's life.
package call
