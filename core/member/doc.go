// Package member tells which hosts are alive, without all-to-all traffic.
//
// Inside an availability zone every host's counter is passed on by gossip;
// between zones only a short report per zone travels, which names the hosts
// that are down or leaving and the zone's keepers. The messages of one host
// so grow with its zone and with the number of zones, not with the number of
// hosts.
package member
