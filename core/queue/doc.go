// Package queue holds what waits for a slot, earliest deadline first and
// bounded in number; what can no longer meet its deadline is handed out as
// late instead of being served.
package queue
