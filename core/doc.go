// Package core holds the ports of clementinelock: the clock type, the closed
// list of error kinds, the messages' common shape and the effects that a
// process asks its driver to carry out.
//
// Everything below core is deterministic. A part is a state machine that is
// handed the time, a message or a tick and returns what to send, to answer
// and to sync. No package below core opens a socket or a file, starts a
// goroutine, reads a clock or draws from an unseeded random source, so that
// the daemons, the randomised tests and any other driver run the same code.
package core
