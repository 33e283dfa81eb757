// Package proto defines what the HTTP protocols of callers, upstreams and
// operators have in common: header names, paths and the JSON form of a refusal.
// Servers and clients take the names from here, so that both sides agree.
package proto
