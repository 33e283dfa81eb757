// Package model simulates a deployment of clementinelock on virtual time:
// upstreams with slots, callers, latencies between availability zones, and
// faults.
//
// It runs the same state machines as the daemons and checks these guarantees
// at every step: no key runs twice, no request that was reported as not run
// ever runs, no endpoint runs more requests than it has slots, every answer
// belongs to its caller, and no host's version goes back.
package model
