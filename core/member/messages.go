package member

import "clementinelock/core"

// KeptService is a task that a host keeps, with how much of it is free and waiting.
type KeptService struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Free    int
	Waiting int
}

// Entry is what a host says of itself.
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

// Report is what one zone says of itself to others.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Zone    string
	Stamp   uint64
	Down    []string
	Leaving []string
	Version uint64
	Keepers map[string]KeeperStatus
	// RegionKeeper is the host of the zone that keeps the region's task, if any does.
	RegionKeeper string
}

// KeeperStatus is the keeper of one service in a zone.
type KeeperStatus struct {
	_       struct{} `cbor:",toarray"`
	Host    string
	Free    int
	Waiting int
}

// Notice is the platform's word on one endpoint; Since orders the notices of one endpoint.
type Notice struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Leaving  bool
	Since    core.Millis
}

// CounterUpdate is a host's counter, by a hash of its name, when nothing else that it says has changed.
type CounterUpdate struct {
	_           struct{} `cbor:",toarray"`
	Name        uint32
	Incarnation uint64
	Counter     uint64
}

// StampUpdate is the stamp of a zone's report, by a hash of its name, when nothing else in it has changed.
type StampUpdate struct {
	_     struct{} `cbor:",toarray"`
	Zone  uint32
	Stamp uint64
}

// Beat carries a host's own entry, those of its zone, the zones' reports and the notices of leaving endpoints. What the other hosts know already goes as a pulse.
type Beat struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Entries  []Entry
	Counters []CounterUpdate
	Reports  []Report
	Stamps   []StampUpdate
	Notices  []Notice
}

// MessageName returns the message's name.
func (Beat) MessageName() string { return "MemberBeat" }
