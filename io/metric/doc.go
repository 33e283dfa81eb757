// Package metric exposes the state of a process as Prometheus metrics.
//
// Most metrics are read at each scrape from one dump of the state, so that they
// agree with one another.
package metric
