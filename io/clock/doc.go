// Package clock provides the machine's time as core.Millis. Steps of the wall
// clock are slewed, so that the core never sees time jump or go back.
package clock
