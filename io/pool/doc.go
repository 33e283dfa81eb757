// Package pool sends requests to endpoints over kept HTTP/1.1 connections.
//
// An entry host has to know more of a connection than a general client tells:
// whether any byte of a request has left, whether an answer is that of the
// request that waits, and whether a connection has bytes on it that belong to
// no request. Each connection therefore has one reader that outlives its
// requests. Bytes that come while no request waits end the connection, an
// answer with another request's id is skipped, and nothing is ever sent twice
// here. Heads and bodies are parsed by net/http.
package pool
