package fleet

import (
	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/core/edits"
	"clementinelock/core/reach"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// Reports, updates and shares are encoded with numbers in place of field names, since every entry host sends and
// receives several a second. A number is never reused for another field.

// EntryHost describes an entry host.
type EntryHost struct {
	Name    string `cbor:"1,keyasint"`
	Region  string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	Address string `cbor:"4,keyasint"`
	// Process identifies the host's process; a later start has a greater one.
	Process uint64 `cbor:"5,keyasint"`
	// Ready is false until the host can serve, and from the beginning of a planned stop.
	Ready bool `cbor:"6,keyasint,omitempty"`
	// ReportsLoad is set if the host knows its capacity and reports its load.
	ReportsLoad bool `cbor:"7,keyasint,omitempty"`
	// Cut is set while the host reaches no endpoint.
	Cut bool `cbor:"8,keyasint,omitempty"`
}

// Report goes from an entry host to its control host and identifies the state that the entry host holds.
type Report struct {
	EntryHost
	Index       uint64 `cbor:"10,keyasint,omitempty"`
	Version     uint64 `cbor:"11,keyasint,omitempty"`
	ListProcess uint64 `cbor:"12,keyasint,omitempty"`
	ListNumber  uint64 `cbor:"13,keyasint,omitempty"`
	// ControlsProcess and ControlsNumber identify the list of control hosts that is held: its sender's process,
	// and its number.
	ControlsProcess uint64 `cbor:"14,keyasint,omitempty"`
	ControlsNumber  uint64 `cbor:"15,keyasint,omitempty"`
	// Probe asks for the control hosts, the version and whether a leader is heard; the answer holds nothing
	// else.
	Probe bool `cbor:"16,keyasint,omitempty"`
	// Left is set when the entry host reports to another control host from now on; it needs no more updates
	// from this one.
	Left bool `cbor:"17,keyasint,omitempty"`
	// Load is the entry host's traffic in thousandths of what it should have at most in order to bear a burst.
	Load uint32 `cbor:"18,keyasint,omitempty"`
	// QuarantineIndex identifies the quarantines that are held.
	QuarantineIndex uint64 `cbor:"19,keyasint,omitempty"`
	// Crashes and Served hold what the entry host has seen lately of requests that may crash endpoints.
	Crashes []crash.Report `cbor:"20,keyasint,omitempty"`
	Served  []crash.Served `cbor:"21,keyasint,omitempty"`
	// Ended holds the endpoints whose end the entry host has noticed lately.
	Ended []crash.Ended `cbor:"22,keyasint,omitempty"`
	// PeersNumber identifies the Peers that are held; 0 means none.
	PeersNumber uint64 `cbor:"23,keyasint,omitempty"`
	// SentAt is when the report was sent, by the sender's clock.
	SentAt core.Millis `cbor:"24,keyasint,omitempty"`
}

// Update goes from a control host to an entry host.
type Update struct {
	// Process identifies the control host's process.
	Process uint64 `cbor:"1,keyasint"`
	// ProbeAnswer marks the answer to a probe; of the state in force it holds only the version.
	ProbeAnswer bool `cbor:"2,keyasint,omitempty"`
	// LeaderHeard is set when the control host follows a leader now; one that does not may have missed changes.
	LeaderHeard bool `cbor:"3,keyasint,omitempty"`
	// Index and Version are those of the state in force; an entry host applies the index once it holds the
	// version.
	Index   uint64 `cbor:"4,keyasint,omitempty"`
	Version uint64 `cbor:"5,keyasint,omitempty"`
	// Document is nil when the entry host has it already.
	Document  *routes.Document `cbor:"6,keyasint,omitempty"`
	Evacuated []string         `cbor:"7,keyasint,omitempty"`
	Endpoints *roster.Delta    `cbor:"8,keyasint,omitempty"`
	// Controls is nil when the entry host has the list of that number already.
	Controls       []ControlHost `cbor:"9,keyasint,omitempty"`
	ControlsNumber uint64        `cbor:"10,keyasint,omitempty"`
	Entries        EntryCounts   `cbor:"11,keyasint"`
	// CountsPending is set while the sender has just started and can't have heard of all entry hosts.
	CountsPending bool `cbor:"12,keyasint,omitempty"`
	// Quarantined is left out when the entry host holds the quarantines of that index.
	Quarantined     []crash.Quarantine `cbor:"13,keyasint,omitempty"`
	QuarantineIndex uint64             `cbor:"14,keyasint,omitempty"`
	// Suspects lists the requests whose answers the entry host reports.
	Suspects []crash.Digest `cbor:"15,keyasint,omitempty"`
	// Ended holds the endpoints whose end any entry host has noticed lately.
	Ended []crash.Ended `cbor:"16,keyasint,omitempty"`
	// Peers is left out when the entry host holds the same.
	Peers *Peers `cbor:"17,keyasint,omitempty"`
	// Returned holds the evacuations that ended lately.
	Returned []ZoneReturn `cbor:"18,keyasint,omitempty"`
	// MajorityAge is the time since the control host last heard from a majority of the voters, if it hears no leader; 0
	// means that it did not, or is not known.
	MajorityAge core.Millis `cbor:"19,keyasint,omitempty"`
	// LeaderAge is the time since the control host last heard from the leader or, as the leader, from a majority; 0 means that
	// it is not known.
	LeaderAge core.Millis `cbor:"20,keyasint,omitempty"`
	// ReportSentAt is SentAt of the receiver's latest report, 0 if it is not known.
	ReportSentAt core.Millis `cbor:"21,keyasint,omitempty"`
	// PingInterval is how often the receiver sends pings; 0 means that the sender answers none.
	PingInterval core.Millis `cbor:"22,keyasint,omitempty"`
}

// ZoneReturn is the end of an availability zone's evacuation.
type ZoneReturn struct {
	Zone string `cbor:"1,keyasint"`
	// Age is the time since the end.
	Age core.Millis `cbor:"2,keyasint,omitempty"`
}

// Peers is what an entry host knows of the others.
type Peers struct {
	// Number identifies the content.
	Number uint64 `cbor:"1,keyasint"`
	// Helpers may serve the receiver's callers while it reaches no endpoint, the nearest first.
	Helpers []reach.Helper `cbor:"2,keyasint,omitempty"`
	// Cut names the hosts that reach no endpoint, whose requests the receiver takes.
	Cut []string `cbor:"3,keyasint,omitempty"`
}

// EntryCounts counts the ready entry hosts of the receiver's region and of the deployment now, and the largest number
// of late of its availability zone; Zone is 0 where it is not known.
type EntryCounts struct {
	Zone   int `cbor:"1,keyasint"`
	Region int `cbor:"2,keyasint"`
	All    int `cbor:"3,keyasint"`
	// Rank numbers the ready hosts of the receiver's region from 1, those of an availability zone one after the other; 0
	// means that it is not known.
	Rank int `cbor:"4,keyasint,omitempty"`
}

// ControlHost is a control host with its region and availability zone.
type ControlHost struct {
	Name   string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint"`
}

// Share goes from one control host to another. It holds the entry hosts that report to the sender, and the list
// when the sender reads it.
type Share struct {
	ControlHost
	Process uint64 `cbor:"4,keyasint"`
	Number  uint64 `cbor:"5,keyasint"`
	// AckNumber is the number of the receiver's entry hosts that the sender holds, as numbered by the
	// receiver's process AckProcess.
	AckProcess uint64 `cbor:"6,keyasint,omitempty"`
	AckNumber  uint64 `cbor:"7,keyasint,omitempty"`
	// Full is set when Entries holds all of the sender's entry hosts; otherwise they are unchanged.
	Full    bool        `cbor:"8,keyasint,omitempty"`
	Entries []EntryHost `cbor:"9,keyasint,omitempty"`
	// ListProcess and ListNumber identify the receiver's list that the sender holds.
	ListProcess uint64        `cbor:"10,keyasint,omitempty"`
	ListNumber  uint64        `cbor:"11,keyasint,omitempty"`
	Endpoints   *roster.Delta `cbor:"12,keyasint,omitempty"`
	// ListInterval is how often the sender reads the list, if it does.
	ListInterval core.Millis `cbor:"13,keyasint,omitempty"`
	// Loads holds the load of the sender's entry hosts.
	Loads []ZoneLoad `cbor:"14,keyasint,omitempty"`
	// Peaks holds the largest numbers of entry hosts that the sender has seen or heard of lately, if Full is set.
	Peaks []ZonePeak `cbor:"15,keyasint,omitempty"`
	// Crashes and Served hold what the sender's entry hosts reported lately.
	Crashes []crash.Report `cbor:"16,keyasint,omitempty"`
	Served  []crash.Served `cbor:"17,keyasint,omitempty"`
	Ended   []crash.Ended  `cbor:"18,keyasint,omitempty"`
	// SentAt is when the share was sent, by the sender's clock; 0 means that it is not told.
	SentAt core.Millis `cbor:"19,keyasint,omitempty"`
}

// Order goes from a control host to the leader. It is a request of an operator.
type Order struct {
	Ticket     uint64
	Publish    *routes.Document
	Evacuation *edits.Evacuation
	// Read asks for the index up to which a host must have applied the log to return the newest state.
	Read bool
	// AcceptedAt is when the operator gave the order, no later than it was by the clock of the leader of Term; a Term of 0 means that
	// it is not told.
	Term       uint64      `cbor:",omitempty"`
	AcceptedAt core.Millis `cbor:",omitempty"`
}

// OrderAnswer is the leader's answer. Done is set once the order is committed; for a Read, Index is the one to
// wait for.
type OrderAnswer struct {
	Ticket uint64
	Done   bool
	Index  uint64
}

// MessageName returns the name that the message is listed by.
func (Report) MessageName() string { return "FleetReport" }

// MessageName returns the name that the message is listed by.
func (Update) MessageName() string { return "FleetUpdate" }

// MessageName returns the name that the message is listed by.
func (Share) MessageName() string { return "FleetShare" }

// MessageName returns the name that the message is listed by.
func (Order) MessageName() string { return "FleetOrder" }

// MessageName returns the name that the message is listed by.
func (OrderAnswer) MessageName() string { return "FleetOrderAnswer" }

// OrderResult is the body of the reply to an operator.
type OrderResult struct {
	// Document is set for a read.
	Document routes.Document
}
