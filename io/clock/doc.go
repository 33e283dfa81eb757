// Package clock provides the machine's time as core.Millis. Steps of the wall
// clock are slewed, so that the core never sees time go back; it sees time
// jump forward only where the machine was suspended.
package clock
