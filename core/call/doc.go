// Package call handles a caller's request from its arrival to its answer:
// the claim of its idempotency key, the slot, the attempts at endpoints,
// retries and hedges, the deadline, and what the caller may be told about
// whether the request ran.
//
// The dispatcher decides, and the driver moves the bytes. An attempt's answer
// is matched to its caller by the request's ID only, which is never used twice
// in the life of a process.
package call
