// Package fleet runs the hosts of core/fleet as processes: a control host with
// its disk and an entry host that serves callers.
//
// What differs between platforms is behind Platform: the form of documents, of
// the list of endpoints and of the operators' and the directory's interface.
package fleet
