// Package relay distributes accepted configurations and plans to every host,
// and reports the versions in force and the demand back to the control hosts.
//
// Each zone has two relays, its first live hosts in an order that depends on the
// zone. Relays sync with control hosts, and the zone's other hosts with the
// relays. A host that reaches neither takes a newer version from any host that
// has one. Versions only go forward: a restarted host adopts none that is older
// than the version that it had confirmed.
package relay
