// Package lease gives a named task to one host at a time, by the votes of a
// few hosts that keep nothing on disk.
//
// A holder counts its lease from the moment that it asked, a voter its
// promise from the moment that it answered and a margin longer, so that the
// clocks need not agree, only run at nearly the same rate. A voter that has
// restarted has forgotten its promises and gives no vote until every promise
// that it may have made is over.
package lease
