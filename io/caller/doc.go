// Package caller serves callers over HTTP: look-ups, idempotency keys and
// the requests themselves, whose bodies it streams both ways.
package caller
