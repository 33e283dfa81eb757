// Package queue holds the requests that wait for a slot. It is bounded and ordered by class, then by earliest
// deadline; requests that can no longer meet their deadline are passed to a callback instead of being served.
package queue
