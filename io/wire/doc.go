// Package wire decides what counts as a whole HTTP/1.1 answer, for each place that reads answers of other processes.
//
// Linux reports the failure of a connection, such as a reset, to one call only, a read or a write; reads after that return the end of the
// file. An answer without a length ends with its connection, so a reader that goes by the end of the file takes a part of such an answer
// for the whole if the goroutine that writes the request learns of the reset first. Conn returns the failure to its reader whichever
// goroutine it was reported to.
//
// net/http, which parses heads and trailers, keeps a blank in the name of a field, so that no look-up finds a length or an encoding of that
// name, and joins a line that begins with a blank to the one before. It also takes three digits below 100 for a status code, and some texts
// that are no three digits. Answers with such lines or codes, or with control bytes in a head, are none: Conn.ReadAnswer and Transport, a
// client of net/http, return errors for them.
package wire
