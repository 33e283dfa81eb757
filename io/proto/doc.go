// Package proto holds what the HTTP protocols towards callers, upstreams and
// operators share: header names, paths and the form of a refusal.
package proto
