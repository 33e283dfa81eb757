// Command third plays the cases of the third review: it starts the project's own
// programs as separate processes on loopback addresses, with stand-ins of the
// platform, of endpoints, of callers and of the operator in this process.
//
// Usage: third CASE RECORD. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case couldn't run. With TROUBLE=0 there is no disruption.
package main
