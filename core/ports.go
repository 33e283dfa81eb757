package core

import "fmt"

// Message is what one process sends another; every kind is in the message table of core/host.
type Message interface {
	// MessageName returns the name that the message is listed by.
	MessageName() string
}

// Send asks the driver to deliver a message to the host named To, at most once and without a promise.
type Send struct {
	To      string
	Message Message
}

// Record is one entry of the replicated log as the disk keeps it.
type Record struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// Vote is the part of a replica's state that must be synced before it answers.
type Vote struct {
	Term        uint64
	For         string
	Incarnation uint64
	Boot        uint64
	// Commit is an index up to which the log is known to be committed.
	Commit uint64
}

// Snapshot is the state up to and with one log index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// Write asks the driver to sync state to disk and then to hand Seq back; writes are carried out in their order.
type Write struct {
	Seq      uint64
	Vote     *Vote
	Snapshot *Snapshot
	// TruncateFrom drops the log from this index on before Records are appended; 0 drops nothing.
	TruncateFrom uint64
	Records      []Record
}

// Stored is what a disk holds when a process starts.
type Stored struct {
	Vote     Vote
	Snapshot Snapshot
	Records  []Record
}

// Dispatch asks the driver to send a caller's request to an endpoint.
type Dispatch struct {
	Request  uint64
	Attempt  uint64
	Endpoint string
	Deadline Millis
	// Fresh asks for a new connection or one with recent proof of life.
	Fresh bool
	// Capture is how many bytes of the answer to hand back with its end; -1 for none.
	Capture int64
}

// Abort asks the driver to cancel an attempt at its upstream.
type Abort struct {
	Attempt uint64
}

// StoredAnswer is an upstream's answer that the ledger keeps; Body is empty when Whole is false.
type StoredAnswer struct {
	Status int
	Header map[string][]string
	Body   []byte
	Whole  bool
}

// Answer asks the driver to finish a caller's request: with a refusal, with a stored answer or with the stream of an attempt.
type Answer struct {
	Request uint64
	Refusal *Refusal
	Stored  *StoredAnswer
	Attempt uint64
}

// Reply answers an operator's request that was handed in with the same ticket.
type Reply struct {
	Ticket  uint64
	Refusal *Refusal
	Body    any
}

// Effects is what a process asks of its driver after one step.
type Effects struct {
	Sends      []Send
	Writes     []Write
	Dispatches []Dispatch
	Aborts     []Abort
	Answers    []Answer
	Replies    []Reply
	Polls      []Poll
	Logs       []Log
}

// Log is one line for the process's log.
type Log struct {
	Part string
	Text string
}

// Send appends a message to be sent.
func (e *Effects) Send(to string, message Message) {
	e.Sends = append(e.Sends, Send{To: to, Message: message})
}

// Refuse appends the refusal of a caller's request.
func (e *Effects) Refuse(request uint64, refusal *Refusal) {
	e.Answers = append(e.Answers, Answer{Request: request, Refusal: refusal})
}

// Reply appends an operator's reply.
func (e *Effects) Reply(ticket uint64, refusal *Refusal, body any) {
	e.Replies = append(e.Replies, Reply{Ticket: ticket, Refusal: refusal, Body: body})
}

// Logf appends a line to be logged under the part's prefix.
func (e *Effects) Logf(part, format string, args ...any) {
	e.Logs = append(e.Logs, Log{Part: part, Text: fmt.Sprintf(format, args...)})
}

// Disk keeps a replica's state; both methods return errors that name the file.
type Disk interface {
	// Load returns what the disk holds, after it cut an unacknowledged tail.
	Load() (Stored, error)
	// Apply carries out writes in their order and returns once all are synced.
	Apply(writes ...Write) error
}

// Assert panics with the broken invariant's text; the daemon logs it, dumps its state and stops.
func Assert(holds bool, format string, args ...any) {
	if !holds {
		panic("invariant broken: " + fmt.Sprintf(format, args...))
	}
}

// Part is one deterministic component of a process.
type Part interface {
	// Tick carries out what is due at the time.
	Tick(now Millis, out *Effects)
	// Receive takes one of the part's messages from another host.
	Receive(now Millis, from string, message Message, out *Effects)
}

// Poll asks the driver for an endpoint's load report.
type Poll struct {
	Endpoint string
}

// Report is an endpoint's own account of its load.
type Report struct {
	InFlight int
	Queue    int
	Cold     bool
}

// Liveness is what a host knows of another one.
type Liveness int

// The states of a host; Unknown is one that was not heard of yet.
const (
	Unknown Liveness = iota
	Alive
	Leaving
	Dead
)

var livenessNames = []string{"Unknown", "Alive", "Leaving", "Dead"}

// String writes the state's name.
func (l Liveness) String() string {
	return livenessNames[l]
}

// Health tells what is known of other hosts.
type Health interface {
	// Liveness returns what is known of the host.
	Liveness(now Millis, host string) Liveness
}
