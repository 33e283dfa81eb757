package relay

import (
	"clementinelock/core"
	"clementinelock/core/plan"
	"clementinelock/core/tree"
)

// Confirmation reports the version that a host has in force (Have), the one that it has confirmed (Version) and, if it
// lags or has no parent, the reason.
type Confirmation struct {
	_       struct{} `cbor:",toarray"`
	Host    string
	Have    uint64
	Version uint64
	Parent  string
	Reason  string
	// Age is the time since the host sent it.
	Age core.Millis
}

// Demand is the demand on one host and on the hosts below it, by region and service.
type Demand struct {
	_      struct{} `cbor:",toarray"`
	Source string
	Age    core.Millis
	Flows  []FlowDemand
}

// FlowDemand is the demand of one region for one service: requests per second, the mean time that a request
// holds a slot and the mean bits of a request with its answer.
type FlowDemand struct {
	_ struct{} `cbor:",toarray"`
	plan.Flow
	Rate        float64
	ServiceTime core.Millis
	Bits        float64
}

// Sync asks a parent for what is newer, and reports confirmations and demand to it.
type Sync struct {
	_             struct{} `cbor:",toarray"`
	Have          uint64
	Term          uint64
	Number        uint64
	Confirmations []Confirmation
	Demands       []Demand
	// Once marks a Sync to a host that is not the parent; that host does not record the sender as its child.
	Once bool
}

// Delta is what one version changed.
type Delta struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	Differences []tree.Difference
}

// Update answers a Sync or pushes a new version: the deltas from Base on, or a whole tree. It is empty if
// there is nothing new.
type Update struct {
	_        struct{} `cbor:",toarray"`
	Version  uint64
	Base     uint64
	Deltas   []Delta
	Snapshot *tree.Tree
	Plan     *plan.Plan
}

// MessageName returns the message's name.
func (Sync) MessageName() string { return "RelaySync" }

// MessageName returns the message's name.
func (Update) MessageName() string { return "RelayUpdate" }
