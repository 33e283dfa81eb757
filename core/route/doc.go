// Package route orders the places that a request or a look-up can go to:
// availability zones of upstreams for a request, entry hosts for a look-up.
//
// Inside the region the nearest zone with a free slot comes first. Another
// region gets a request only by the shares of the plan in force.
package route
