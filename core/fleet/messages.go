package fleet

import (
	"clementinelock/core/edits"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// EntryHost is what an entry host tells of itself.
type EntryHost struct {
	Name    string
	Region  string
	Zone    string
	Address string
	// Process is that of the host's start; a later start has a greater one.
	Process uint64
	// Ready is false before the host can serve and from the begin of a planned stop on.
	Ready bool
}

// Report goes from an entry host to its control host, with what it holds already.
type Report struct {
	EntryHost
	Index       uint64
	Version     uint64
	ListProcess uint64
	ListNumber  uint64
	// Probe asks only whether the control host hears the leader; the answer brings nothing else.
	Probe bool
}

// Update goes from a control host to an entry host.
type Update struct {
	// Process tells apart the processes of the control host.
	Process uint64
	// Bare marks the answer to a probe, which tells nothing of what is in force.
	Bare bool
	// LeaderHeard tells that the control host follows a leader now; one that does not may have missed changes.
	LeaderHeard bool
	// Index and Version are those of what is in force; an entry host takes the index once it holds the version.
	Index   uint64
	Version uint64
	// Document is nil when the entry host has it already.
	Document  *routes.Document
	Evacuated []string
	Endpoints *roster.Delta
	Controls  []ControlHost
	Entries   EntryCounts
}

// EntryCounts counts the ready entry hosts of the receiver's availability zone, of its region and of the deployment.
type EntryCounts struct {
	Zone   int
	Region int
	All    int
}

// ControlHost is a control host with its place.
type ControlHost struct {
	Name   string
	Region string
	Zone   string
}

// Share goes from one control host to another: the entry hosts that report to the sender, and the list when the sender reads it.
type Share struct {
	ControlHost
	Process uint64
	Number  uint64
	// Have is the number that the sender holds of the receiver's entry hosts, of the receiver's process HaveOf.
	HaveOf uint64
	Have   uint64
	// Whole tells that Entries holds all of the sender's entry hosts; without it they are as before.
	Whole   bool
	Entries []EntryHost
	// ListProcess and ListNumber tell what the sender holds of the receiver's list.
	ListProcess uint64
	ListNumber  uint64
	Endpoints   *roster.Delta
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

// OrderDone is the body of an operator's reply.
type OrderDone struct {
	// Document is set for a read.
	Document routes.Document
}
