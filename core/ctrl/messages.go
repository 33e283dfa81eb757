package ctrl

import (
	"clementinelock/core"
	"clementinelock/core/edits"
	"clementinelock/core/plan"
	"clementinelock/core/quorum"
	"clementinelock/core/relay"
	"clementinelock/core/tree"
)

// Question is the kind of an operator's question.
type Question string

// The questions that control hosts answer.
const (
	AskEdit      Question = "Edit"
	AskPreview   Question = "Try"
	AskTree      Question = "Tree"
	AskHistory   Question = "History"
	AskInForce   Question = "InForce"
	AskMembers   Question = "Members"
	AskPlan      Question = "Plan"
	AskWhatIf    Question = "WhatIf"
	AskRemove    Question = "Remove"
	AskAllowJoin Question = "Expect"
)

// Request carries an operator's question to the leader; Origin and Ticket route the answer back.
type Request struct {
	Origin   string
	Ticket   uint64
	Question Question
	Edit     *tree.Edit
	Version  uint64
	Limit    int
	Name     string
	WhatIf   *WhatIf
	Hops     int
}

// WhatIf asks for the plan that results from a change or the loss of a region or zone.
type WhatIf struct {
	Changes    []tree.Change
	LostRegion string
	LostZone   string
}

// Body is the answer to a question; one field is set.
type Body struct {
	Outcome *edits.Outcome
	Tree    *tree.Tree
	History []edits.Version
	InForce *InForce
	Members *quorum.Status
	Plan    *plan.Plan
	WhatIf  *WhatIfResult
}

// InForce lists the version in force at each host.
type InForce struct {
	Version uint64
	Hosts   []relay.Confirmation
}

// WhatIfResult is the use of sites, regions and links before and after a change, by plans without shift caps.
type WhatIfResult struct {
	Before, After Usage
}

// Usage is the use of sites, regions and links by one plan, and the requests per second that it refuses. A site is a
// service in a region, the Pool of core/plan.
type Usage struct {
	Rows    []UsageRow
	Refused float64
}

// UsageRow is the use of one site, region or link, and its limit.
type UsageRow struct {
	What  string
	Used  float64
	Limit float64
}

// Response answers a Request.
type Response struct {
	Ticket  uint64
	Refusal *core.Refusal
	Body    Body
}

// FoundingRequest reports that a ledger replica of the region has no data and knows of no founding.
type FoundingRequest struct {
	Region      string
	Replicas    []string
	Incarnation uint64
}

// FoundingResponse names the replicas that founded the region's ledger.
type FoundingResponse struct {
	Founding edits.Founding
}

// MessageName returns the message's name.
func (Request) MessageName() string { return "CtrlAsk" }

// MessageName returns the message's name.
func (Response) MessageName() string { return "CtrlAnswer" }

// MessageName returns the message's name.
func (FoundingRequest) MessageName() string { return "CtrlFoundAsk" }

// MessageName returns the message's name.
func (FoundingResponse) MessageName() string { return "CtrlFoundAnswer" }
