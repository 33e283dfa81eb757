// Package lease assigns a named task to at most one host at a time, by a
// majority of a few voters that keep nothing on disk.
//
// A holder counts its lease from the time of its request; a voter counts its
// promise from the time of its answer and keeps it longer by a margin. Clocks
// therefore need not agree, only run at nearly the same rate. A voter that has
// restarted has lost its promises and grants no vote until every promise that
// it may have made has expired.
package lease
