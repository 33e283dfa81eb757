// Package fetch sends a caller's request to an endpoint over plain HTTP and
// reports how far each attempt got.
//
// A request that must not run twice is sent on a connection of its own, as the
// HTTP library may resend a request on a reused one. Other requests share
// connections, which are closed once they have been idle for a second, since
// an idle connection may have broken unnoticed.
package fetch
