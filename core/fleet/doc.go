// Package fleet holds the hosts of a deployment that is told no list of its
// hosts: each process knows a few control hosts at its start, and the hosts
// find each other from there.
//
// Control is a control host. It takes part in agreement, reads the platform's
// list of endpoints or takes it from the control host that does, and passes
// what is in force on to the entry hosts that report to it. Entry is an entry
// host's side of that: it reports to the nearest control host that hears the
// leader, and goes on with what it has when it reaches none.
//
// Hosts are named by their address without a port, since every host uses the
// same port for its peers. Both parts are deterministic state machines.
package fleet
