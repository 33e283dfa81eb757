// Package grant divides a region's limits among its hosts, so that all of
// them together stay under each limit.
//
// A limit is a rate: requests per second into the region's upstreams, or
// bits per second over a link to another region. One host of the region, the
// divider, holds the lease to divide the limits. Each share expires. A fixed
// part of each limit is never divided: every host may always use its even part
// of it, the safe share. So all hosts together stay under the limit even when
// some of them cannot reach the divider.
package grant
