// Package grant divides a region's limits among its hosts, so that all of
// them together stay under each limit.
//
// A limit is a rate: requests per second into the region's upstreams, or
// bits per second over a link to another region. One host of the region
// holds the lease to divide it. Each share has an end; a host whose share
// has ended uses its safe share, a fixed part of the limit that is never
// divided, so that all cut-off hosts together are still under the limit.
package grant
