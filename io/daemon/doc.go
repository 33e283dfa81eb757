// Package daemon runs one host: it connects the state machine of core/host with
// the clock, the network, the disk, the upstreams and the callers.
//
// The machine does no I/O itself, so that the same code also runs in
// simulations. The driver passes it one input at a time and executes the
// effects that it returns.
package daemon
