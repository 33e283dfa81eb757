// Package relay brings accepted configurations and plans to every host, and
// word of what is in force and what is asked for back to the control hosts.
//
// Each zone has two relays, its first live hosts in an order of their own;
// they ask control hosts, and the zone's other hosts ask them. A host that
// reaches neither takes a newer version from any host that has one. Versions
// only go forward: a host that has restarted waits until it can have the
// version that it had confirmed.
package relay
