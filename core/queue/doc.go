// Package queue holds the requests that wait for a slot. It is bounded and ordered by class, then by earliest
// deadline; requests that can no longer meet their deadline are handed out as late instead of being served.
package queue
