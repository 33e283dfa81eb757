// Package fake holds small fakes for the tests of the parts: a network on
// virtual time that delays, loses, repeats and cuts, and a disk that loses
// what was not synced.
package fake
