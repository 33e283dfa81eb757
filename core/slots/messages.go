package slots

import "clementinelock/core"

// Token names one slot that was given out.
type Token struct {
	Keeper      string
	Incarnation uint64
	Number      uint64
}

// Ask asks a keeper for a slot; Remaining is what is left of the request's deadline, and Ask numbers are unique in the sender's incarnation.
type Ask struct {
	Ask         uint64
	Incarnation uint64
	Zone        string
	Service     string
	Remaining   core.Millis
	Exclude     []string
	// Wait lets the keeper queue the ask; without it the keeper refuses when no slot is free.
	Wait bool
}

// Grant gives a slot; Free is how many the keeper has left.
type Grant struct {
	Ask uint64
	// Incarnation is that of the process that asked; a later one of the host must not take the slot for its own.
	Incarnation uint64
	Token       Token
	Endpoint    string
	Zone        string
	Service     string
	Free        int
}

// Refused tells that no slot is given; Free and Waiting are the keeper's state, Moved tells that it no longer keeps the service.
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

// Withdraw takes an ask back; a slot that was given for it is free again.
type Withdraw struct {
	Ask         uint64
	Incarnation uint64
	Zone        string
	Service     string
}

// Result is how an attempt ended at its endpoint.
type Result struct {
	Latency core.Millis
	// Unused means that nothing was sent, Failed that the endpoint did not answer, Shed that it refused the work.
	Unused bool
	Failed bool
	// Aborted means that the endpoint was told to stop, which takes it a moment.
	Aborted bool
	Shed    bool
	Report  *core.Report
}

// Done gives a slot back; it is sent until it is acknowledged.
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

// Who asks every host for the slots that it holds, when a new keeper starts.
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

// MessageName returns the message's name.
func (Ask) MessageName() string { return "SlotsAsk" }

// MessageName returns the message's name.
func (Grant) MessageName() string { return "SlotsGrant" }

// MessageName returns the message's name.
func (Refused) MessageName() string { return "SlotsRefused" }

// MessageName returns the message's name.
func (Withdraw) MessageName() string { return "SlotsWithdraw" }

// MessageName returns the message's name.
func (Done) MessageName() string { return "SlotsDone" }

// MessageName returns the message's name.
func (DoneAnswer) MessageName() string { return "SlotsDoneAnswer" }

// MessageName returns the message's name.
func (Who) MessageName() string { return "SlotsWho" }

// MessageName returns the message's name.
func (Held) MessageName() string { return "SlotsHeld" }

// MessageName returns the message's name.
func (Handover) MessageName() string { return "SlotsHandover" }
