// Package entry serves callers on an entry host whose routes are distributed as
// documents.
//
// A connection has one goroutine that reads requests, one that writes answers
// in the order of the requests, and one for each request in flight, so that
// pipelined requests run concurrently. Because the reader goes on while requests
// run, a caller's disconnect is noticed at once. A request that is not idempotent
// starts only when all preceding answers are written: a caller repeats the
// requests that it sent behind an answer that closes the connection.
//
// Requests are parsed by net/http; endpoints are chosen by core/pick.
package entry
