// Package load is a caller: it looks entry hosts up, keeps the answers for
// their time to live, sends requests and tries elsewhere as the answers
// allow, and checks that every answer is whole and its own.
package load
