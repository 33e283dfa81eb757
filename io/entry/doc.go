// Package entry serves callers on an entry host whose routes come as documents.
//
// A connection has one goroutine that reads requests, one that writes answers
// in the order of the requests, and one for each request under way, so that
// requests that a caller sends ahead run beside each other. Reading on while
// requests run also shows at once that a caller has left. A request that is
// not idempotent starts only when all answers before it are written, since
// what was sent behind an answer that closes the connection is sent again.
//
// Heads and bodies are parsed by net/http; the choice of endpoints is that of
// core/pick.
package entry
