// Package quota keeps customers within their quotas over all hosts together.
//
// A quota is a token bucket that is divided among the voting control hosts.
// Each holds a fixed part of the rate and of the capacity, its Pool, so that
// all parts together stay within the quota whichever hosts are cut off from
// each other. A pool that runs short borrows tokens from the others. An entry
// host draws tokens from a pool through its Client, one for each request, and
// a small stock in advance where a customer sends many.
package quota
