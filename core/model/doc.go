// Package model is a model of the systems that clementinelock serves:
// upstreams with slots, callers, latencies between availability zones and
// the faults between them, all on virtual time.
//
// It runs the very machines that the daemons run. Every step checks the
// promises: no key runs twice, nothing runs that was called not run, no
// endpoint runs more than its slots, every answer is its caller's own and no
// host's version goes back.
package model
