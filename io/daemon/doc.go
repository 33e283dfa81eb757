// Package daemon runs one host: it drives the core's machine with real time,
// network, disk, upstreams and callers.
package daemon
