// Package fake holds the fakes that the tests of the parts share: a
// simulation of a network on virtual time that delays, drops, duplicates and
// partitions, and a disk that loses unsynced writes in a crash.
package fake
