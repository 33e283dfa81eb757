// Package stand is a stand-in for the upstreams and the platform's host
// list: endpoints with slots that count what they run, so that an experiment
// can tell whether anything ran twice or past a limit.
package stand
