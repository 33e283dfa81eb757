package slots

import (
	"clementinelock/core"
	"clementinelock/core/crash"
)

// Token identifies one granted slot.
type Token struct {
	Keeper      string
	Incarnation uint64
	Number      uint64
}

// Ask asks a keeper for a slot; Remaining is the time left until the request's deadline.
// Ask numbers are unique within the sender's incarnation.
type Ask struct {
	Ask         uint64
	Incarnation uint64
	Zone        string
	Service     string
	Remaining   core.Millis
	Exclude     []string
	// Wait allows the keeper to queue the ask; without it the keeper refuses when no slot is free.
	Wait bool
	// Content identifies the request by its content.
	Content crash.Digest
}

// Grant grants a slot; Free is the number of slots that the keeper has left.
type Grant struct {
	Ask uint64
	// Incarnation is that of the asking process; a later process of the host must not take the slot for its own.
	Incarnation uint64
	Token       Token
	Endpoint    string
	Zone        string
	Service     string
	Free        int
}

// Refused answers an ask without a slot; Waiting is the length of the queue,
// Moved means that the sender is not the keeper of the service.
type Refused struct {
	Ask         uint64
	Incarnation uint64
	Kind        core.Kind
	RetryAfter  core.Millis
	Moved       bool
	Zone        string
	Service     string
	Waiting     int
}

// Withdraw cancels an ask; a slot that was granted for it is free again.
type Withdraw struct {
	Ask         uint64
	Incarnation uint64
	Zone        string
	Service     string
}

// Result is the result of an attempt at an endpoint.
type Result struct {
	Latency core.Millis
	// Unused means that nothing was sent, Failed that the endpoint did not answer, Shed that it refused the request.
	Unused bool
	Failed bool
	// Aborted means that the endpoint was told to cancel the request, which it does with a short delay.
	Aborted bool
	Shed    bool
	Report  *core.Report
	// RetryAfter is how long the endpoint asked for no requests; 0 means that it did not ask.
	RetryAfter core.Millis
	// Answered means that the head of an answer arrived. Limit is how many requests per second the endpoint takes from
	// all hosts together; it holds if LimitNamed is set.
	Answered   bool
	Limit      float64
	LimitNamed bool
}

// Done returns a slot; it is resent until it is acknowledged.
type Done struct {
	Token   Token
	Zone    string
	Service string
	Result  Result
}

// DoneAnswer acknowledges a Done.
type DoneAnswer struct {
	Token Token
}

// Who asks a host for the slots that it holds; a new keeper sends it to every host.
type Who struct {
	Zone    string
	Service string
	Round   uint64
}

// HeldSlot is one slot in use.
type HeldSlot struct {
	Token     Token
	Endpoint  string
	Remaining core.Millis
}

// Held answers Who.
type Held struct {
	Zone    string
	Service string
	Round   uint64
	Slots   []HeldSlot
}

// Handover passes the slots in use to the next keeper.
type Handover struct {
	Zone    string
	Service string
	Slots   []HeldSlot
}

// MessageName implements core.Message.
func (Ask) MessageName() string { return "SlotsAsk" }

// MessageName implements core.Message.
func (Grant) MessageName() string { return "SlotsGrant" }

// MessageName implements core.Message.
func (Refused) MessageName() string { return "SlotsRefused" }

// MessageName implements core.Message.
func (Withdraw) MessageName() string { return "SlotsWithdraw" }

// MessageName implements core.Message.
func (Done) MessageName() string { return "SlotsDone" }

// MessageName implements core.Message.
func (DoneAnswer) MessageName() string { return "SlotsDoneAnswer" }

// MessageName implements core.Message.
func (Who) MessageName() string { return "SlotsWho" }

// MessageName implements core.Message.
func (Held) MessageName() string { return "SlotsHeld" }

// MessageName implements core.Message.
func (Handover) MessageName() string { return "SlotsHandover" }
