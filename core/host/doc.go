// Package host joins all parts into one process, as one state machine.
//
// A driver owns time, network, disk, upstreams and callers. It hands in what
// happened, one step at a time, with the time of the step, and carries out
// the effects that the step returns. The daemon is one driver, the
// randomised tests are another; neither needs anything else of the other.
package host
