// Package slots grants the slots of upstream endpoints, so that all entry
// hosts together never run more requests on an endpoint than it has slots.
//
// Each service has one keeper per availability zone: the host of that zone
// that holds the lease for it. An entry host asks the keeper for a slot. The
// keeper counts every slot of the zone's endpoints, queues asks and chooses the
// endpoint; the entry host that asked then sends the request directly to the
// endpoint. A request therefore costs at most one round trip to a keeper, and
// none when the entry host is the keeper.
package slots
