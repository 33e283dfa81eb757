// Package host combines all parts of a process into one state machine.
//
// A driver owns the clock, network, disk, and the connections to upstreams and
// callers. It passes in one event at a time, with the time of the event, and
// carries out the effects that are returned. The daemon is one driver and the
// randomised tests are another, so both run the same state machine.
package host
