package relay

import (
	"clementinelock/core"
	"clementinelock/core/plan"
	"clementinelock/core/tree"
)

// Confirmation tells which version is in force at a host and, when it lags, why.
type Confirmation struct {
	_       struct{} `cbor:",toarray"`
	Host    string
	Have    uint64
	Version uint64
	Parent  string
	Reason  string
	// Age is how long ago the host said so, in milliseconds.
	Age core.Millis
}

// Demand is what one relay's hosts are asked for, by region and service.
type Demand struct {
	_      struct{} `cbor:",toarray"`
	Source string
	Age    core.Millis
	Flows  []FlowDemand
}

// FlowDemand is the demand of one region for one service: requests per second, the mean time that a slot is used and the mean bits of a request with its answer.
type FlowDemand struct {
	_ struct{} `cbor:",toarray"`
	plan.Flow
	Rate        float64
	ServiceTime core.Millis
	Bits        float64
}

// Sync asks a parent for what is newer and reports upwards.
type Sync struct {
	_             struct{} `cbor:",toarray"`
	Have          uint64
	Term          uint64
	Number        uint64
	Confirmations []Confirmation
	Demands       []Demand
	// Once marks a question to a host that is not the parent.
	Once bool
}

// Delta is what one version changed.
type Delta struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	Differences []tree.Difference
}

// Update answers Sync or pushes news: deltas from a version on, or a whole tree; empty when there is no news.
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
