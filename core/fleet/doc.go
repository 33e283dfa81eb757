// Package fleet connects the hosts of a deployment that has no configured list of its hosts. Each process knows a
// few control hosts at its start, the seeds, and the hosts find each other from there.
//
// Control is a control host. It takes part in the quorum, reads the platform's list of endpoints or gets it from the
// control host that does, and sends the entry hosts that report to it the state in force: the configuration, the
// evacuated availability zones and the list. Entry is an entry host's side of that: it reports to the nearest control
// host that hears the leader, and keeps its state while it reaches none.
//
// Hosts are named by their address without a port, since every host uses the same port for its peers. Both parts are
// deterministic state machines, so that tests run them on virtual time.
package fleet
