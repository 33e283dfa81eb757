// Package core defines what the other packages share: the clock type, the
// error kinds, the interface of messages and the effects that a process asks
// its driver to carry out.
//
// All packages below core are deterministic. A component is a state machine:
// it is passed the current time with a message or a tick, and returns what to
// send, to answer and to write to disk. No package below core opens a socket or
// a file, starts a goroutine, reads a clock or uses an unseeded random source.
// The daemons, the randomised tests and any other driver therefore run the same
// code.
package core
