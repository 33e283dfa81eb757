package member

import "clementinelock/core"

// KeptService is a service that a host is the keeper of, with its free slots and waiting requests.
type KeptService struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Free    int
	Waiting int
}

// Entry is the state that a host reports about itself.
type Entry struct {
	_            struct{} `cbor:",toarray"`
	Name         string
	Incarnation  uint64
	Counter      uint64
	Leaving      bool
	Version      uint64
	Confirmed    uint64
	KeptServices []KeptService
	KeepsRegion  bool
}

// Report is the state that a zone reports to other zones.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Zone    string
	Stamp   uint64
	Down    []string
	Leaving []string
	Version uint64
	Keepers map[string]KeeperStatus
	// RegionKeeper is the host of the zone that holds the region's lease and divides its limits, or empty if none does.
	RegionKeeper string
}

// KeeperStatus is the keeper of one service in a zone, with its free slots and waiting requests.
type KeeperStatus struct {
	_       struct{} `cbor:",toarray"`
	Host    string
	Free    int
	Waiting int
}

// Notice is what the platform reports about one endpoint; the newest Since of an endpoint applies.
type Notice struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Leaving  bool
	Since    core.Millis
}

// CounterUpdate carries a host's counter and a hash of its name, in place of an entry that has not changed
// otherwise.
type CounterUpdate struct {
	_           struct{} `cbor:",toarray"`
	Name        uint32
	Incarnation uint64
	Counter     uint64
}

// StampUpdate carries the stamp of a zone's report and a hash of the zone's name, in place of a report that
// has not changed otherwise.
type StampUpdate struct {
	_     struct{} `cbor:",toarray"`
	Zone  uint32
	Stamp uint64
}

// Heartbeat carries the entries of a zone's hosts, the zones' reports and the notices about endpoints. Entries and
// reports that the receiver should already have go as CounterUpdate and StampUpdate.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Entries  []Entry
	Counters []CounterUpdate
	Reports  []Report
	Stamps   []StampUpdate
	Notices  []Notice
}

// MessageName returns the message's name.
func (Heartbeat) MessageName() string { return "MemberBeat" }
