package fleet

import (
	"clementinelock/core"
	"clementinelock/core/edits"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// Messages travel with numbers in place of their fields' names, since every entry host gets and sends several a second; a number is never used again for something else.

// EntryHost is what an entry host tells of itself.
type EntryHost struct {
	Name    string `cbor:"1,keyasint"`
	Region  string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	Address string `cbor:"4,keyasint"`
	// Process is that of the host's start; a later start has a greater one.
	Process uint64 `cbor:"5,keyasint"`
	// Ready is false before the host can serve and from the begin of a planned stop on.
	Ready bool `cbor:"6,keyasint,omitempty"`
}

// Report goes from an entry host to its control host, with what it holds already.
type Report struct {
	EntryHost
	Index       uint64 `cbor:"10,keyasint,omitempty"`
	Version     uint64 `cbor:"11,keyasint,omitempty"`
	ListProcess uint64 `cbor:"12,keyasint,omitempty"`
	ListNumber  uint64 `cbor:"13,keyasint,omitempty"`
	// ControlsProcess and ControlsNumber tell whose list of control hosts is held, by the process of its sender.
	ControlsProcess uint64 `cbor:"14,keyasint,omitempty"`
	ControlsNumber  uint64 `cbor:"15,keyasint,omitempty"`
	// Probe asks only whether the control host hears the leader; the answer brings nothing else.
	Probe bool `cbor:"16,keyasint,omitempty"`
	// Left tells that the entry host reports to another control host from now on; it needs no more updates from this one.
	Left bool `cbor:"17,keyasint,omitempty"`
}

// Update goes from a control host to an entry host.
type Update struct {
	// Process tells apart the processes of the control host.
	Process uint64 `cbor:"1,keyasint"`
	// ProbeAnswer marks the answer to a probe, which tells of what is in force only the version.
	ProbeAnswer bool `cbor:"2,keyasint,omitempty"`
	// LeaderHeard tells that the control host follows a leader now; one that does not may have missed changes.
	LeaderHeard bool `cbor:"3,keyasint,omitempty"`
	// Index and Version are those of what is in force; an entry host takes the index once it holds the version.
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
}

// EntryCounts counts the ready entry hosts of the receiver's availability zone, of its region and of the deployment.
type EntryCounts struct {
	Zone   int `cbor:"1,keyasint"`
	Region int `cbor:"2,keyasint"`
	All    int `cbor:"3,keyasint"`
}

// ControlHost is a control host with its place.
type ControlHost struct {
	Name   string `cbor:"1,keyasint"`
	Region string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint"`
}

// Share goes from one control host to another: the entry hosts that report to the sender, and the list when the sender reads it.
type Share struct {
	ControlHost
	Process uint64 `cbor:"4,keyasint"`
	Number  uint64 `cbor:"5,keyasint"`
	// Have is the number that the sender holds of the receiver's entry hosts, of the receiver's process AckProcess.
	AckProcess uint64 `cbor:"6,keyasint,omitempty"`
	AckNumber  uint64 `cbor:"7,keyasint,omitempty"`
	// Full tells that Entries holds all of the sender's entry hosts; without it they are as before.
	Full    bool        `cbor:"8,keyasint,omitempty"`
	Entries []EntryHost `cbor:"9,keyasint,omitempty"`
	// ListProcess and ListNumber tell what the sender holds of the receiver's list.
	ListProcess uint64        `cbor:"10,keyasint,omitempty"`
	ListNumber  uint64        `cbor:"11,keyasint,omitempty"`
	Endpoints   *roster.Delta `cbor:"12,keyasint,omitempty"`
	// ListInterval is how often the sender reads the list, when it does.
	ListInterval core.Millis `cbor:"13,keyasint,omitempty"`
}

// Order goes from a control host to the leader: something that an operator asks for.
type Order struct {
	Ticket     uint64
	Publish    *routes.Document
	Evacuation *edits.Evacuation
	// Read asks up to which index the state must be applied to be the newest.
	Read bool
}

// OrderAnswer is the leader's answer; with Done the order is committed, for a Read Index is the one to wait for.
type OrderAnswer struct {
	Ticket uint64
	Done   bool
	Index  uint64
}

// MessageName returns the message's name.
func (Report) MessageName() string { return "FleetReport" }

// MessageName returns the message's name.
func (Update) MessageName() string { return "FleetUpdate" }

// MessageName returns the message's name.
func (Share) MessageName() string { return "FleetShare" }

// MessageName returns the message's name.
func (Order) MessageName() string { return "FleetOrder" }

// MessageName returns the message's name.
func (OrderAnswer) MessageName() string { return "FleetOrderAnswer" }

// OrderResult is the body of an operator's reply.
type OrderResult struct {
	// Document is set for a read.
	Document routes.Document
}
