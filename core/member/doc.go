// Package member tracks which hosts are alive, without all-to-all traffic.
//
// Within an availability zone, hosts pass on each other's heartbeat counters by
// gossip. Between zones only a short report per zone travels, which names the
// hosts that are down or leaving and the zone's keepers. The messages of one
// host therefore grow with its zone and with the number of zones, not with the
// number of hosts.
package member
