// Package metric shows a process's state as Prometheus metrics.
package metric
