// Package fleet runs the hosts of core/fleet as processes: a control host with
// its data folder, and an entry host that serves callers.
//
// The interface Platform hides what differs between platforms: the encoding of
// documents and of the list of endpoints, and the HTTP interfaces of operators
// and of the directory.
package fleet
