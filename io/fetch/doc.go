// Package fetch sends a caller's request to an endpoint over plain HTTP and
// tells how far each attempt got.
//
// A request that must not run twice goes on a connection of its own, which
// no library repeats it on. Others share connections that are kept only as
// long as they have shown life lately.
package fetch
