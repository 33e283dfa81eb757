// Package logs writes the log of a process, as text or as JSON.
//
// Each line names the part of the process that it comes from. A structured log
// is written from a bounded queue that drops lines when it is full, so that a
// slow output never delays requests.
package logs
