// Package clock reads the machine's time as the core's milliseconds.
package clock
