// Package shell is the operators' command line: one file per verb, and a
// look-up table from which each verb is built.
package shell
