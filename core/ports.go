package core

import "fmt"

// Message is sent from one process to another; the message table of core/host lists every type.
type Message interface {
	// MessageName returns the name of the message type in the message table.
	MessageName() string
}

// Send asks the driver to deliver a message to the host named To, at most once; delivery is not guaranteed.
type Send struct {
	To      string
	Message Message
}

// Record is one entry of the replicated log as stored on disk.
type Record struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// Vote is the part of a replica's state that must be synced before the replica answers.
type Vote struct {
	Term uint64
	// For is the replica voted for in Term.
	For string
	// Incarnation identifies the disk, from its initialisation to its loss or reset.
	Incarnation uint64
	// Boot counts the process starts with this disk.
	Boot uint64
	// Commit is an index up to which the log is known to be committed.
	Commit uint64
}

// Snapshot is the state after applying the log up to and including Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// Write asks the driver to sync state to disk and then to report Seq back; writes are carried out in order.
type Write struct {
	Seq      uint64
	Vote     *Vote
	Snapshot *Snapshot
	// TruncateFrom drops the log from this index on before Records are appended; 0 drops nothing.
	TruncateFrom uint64
	Records      []Record
}

// Stored is the content of a disk when a process starts.
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
	// Fresh asks for a new connection, or one that was recently shown to be alive.
	Fresh bool
	// Capture is the maximum number of bytes of the answer to return when it ends; -1 returns none.
	Capture int64
}

// Abort asks the driver to cancel an attempt at its endpoint.
type Abort struct {
	Attempt uint64
}

// StoredAnswer is an upstream's answer kept in the ledger; Body is empty if Whole is false.
type StoredAnswer struct {
	Status int
	Header map[string][]string
	Body   []byte
	Whole  bool
}

// Answer asks the driver to finish a caller's request with a refusal, a stored answer or the response to an attempt.
type Answer struct {
	Request uint64
	Refusal *Refusal
	Stored  *StoredAnswer
	Attempt uint64
}

// Reply answers the operator's request that was submitted with the same ticket.
type Reply struct {
	Ticket  uint64
	Refusal *Refusal
	Body    any
}

// Effects lists what a process asks its driver to do after one step.
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

// Log is one line of the process's log.
type Log struct {
	Part string
	Text string
}

// Send adds a message to be sent.
func (e *Effects) Send(to string, message Message) {
	e.Sends = append(e.Sends, Send{To: to, Message: message})
}

// Refuse adds the refusal of a caller's request.
func (e *Effects) Refuse(request uint64, refusal *Refusal) {
	e.Answers = append(e.Answers, Answer{Request: request, Refusal: refusal})
}

// Reply adds a reply to an operator.
func (e *Effects) Reply(ticket uint64, refusal *Refusal, body any) {
	e.Replies = append(e.Replies, Reply{Ticket: ticket, Refusal: refusal, Body: body})
}

// Logf adds a log line with the part's prefix.
func (e *Effects) Logf(part, format string, args ...any) {
	e.Logs = append(e.Logs, Log{Part: part, Text: fmt.Sprintf(format, args...)})
}

// Disk stores a replica's state; the errors of both methods name the file.
type Disk interface {
	// Load returns the content of the disk after removing an unacknowledged tail of the log.
	Load() (Stored, error)
	// Apply carries out writes in order and returns once all of them are synced.
	Apply(writes ...Write) error
}

// Assert panics with the formatted text if the invariant does not hold.
// The daemon then logs the text, dumps its state and stops.
func Assert(holds bool, format string, args ...any) {
	if !holds {
		panic("invariant broken: " + fmt.Sprintf(format, args...))
	}
}

// Part is one deterministic component of a process.
type Part interface {
	// Tick does the work that is due at now.
	Tick(now Millis, out *Effects)
	// Receive handles a message for this part from another host.
	Receive(now Millis, from string, message Message, out *Effects)
}

// Poll asks the driver for an endpoint's load report.
type Poll struct {
	Endpoint string
}

// Report is the load that an endpoint reports of itself.
type Report struct {
	InFlight int
	Queue    int
	Cold     bool
}

// Liveness is the state of a host as seen by another host.
type Liveness int

// The states of a host; Unknown is the state of a host that has not been heard from yet.
const (
	Unknown Liveness = iota
	Alive
	Leaving
	Dead
)

var livenessNames = []string{"Unknown", "Alive", "Leaving", "Dead"}

// String returns the name of the state.
func (l Liveness) String() string {
	return livenessNames[l]
}

// Health reports the liveness of other hosts.
type Health interface {
	// Liveness returns the state of the host at now.
	Liveness(now Millis, host string) Liveness
}
