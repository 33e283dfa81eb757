// Package shell is the operators' command line. Each verb has a file of its
// own and a row in the table Verbs, from which the commands, the manual and
// the completion script are built.
package shell
