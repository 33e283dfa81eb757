// Package route orders the targets of requests and look-ups: availability zones
// with upstreams for a request, entry hosts for a look-up.
//
// Within a region the nearest zone with a free slot comes first. Requests go to
// another region only by the shares of the current plan.
package route
