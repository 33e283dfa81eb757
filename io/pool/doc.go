// Package pool sends requests to endpoints over persistent HTTP/1.1 connections.
//
// An entry host has to know more about a connection than a general HTTP client
// reports: whether any byte of a request was sent, whether an answer belongs to
// the pending request, and whether bytes arrive that belong to no request. Each
// connection therefore has one reader that outlives its requests. Bytes that
// arrive while no request is pending close the connection, an answer with another
// request's id is skipped, and the pool never sends a request twice. Responses
// are parsed by net/http; package wire decides which are whole.
package pool
