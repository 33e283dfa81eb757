// Package load generates load for experiments: its callers look up entry hosts,
// cache the answers for their time to live, send requests, retry on other hosts
// where the answers allow it, and check that every answer is complete and belongs
// to its request.
package load
