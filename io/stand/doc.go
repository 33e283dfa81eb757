// Package stand runs stand-ins for the upstreams and for the platform's host
// list: endpoints with slots that count what they run, so that an experiment can
// check whether a request ran twice or a limit was exceeded.
package stand
