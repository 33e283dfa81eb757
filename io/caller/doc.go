// Package caller serves callers over HTTP: look-ups, idempotency keys and
// requests.
//
// Bodies are streamed in both directions. Only the start of a request's body
// is read ahead, so that a request with a short body can be sent again.
package caller
