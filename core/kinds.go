package core

import "fmt"

// Kind is the name of an error kind.
type Kind string

// The closed list of error kinds.
const (
	BadRequest      Kind = "BadRequest"
	UnknownService  Kind = "UnknownService"
	KeyReused       Kind = "KeyReused"
	KeyExpired      Kind = "KeyExpired"
	KeyClosed       Kind = "KeyClosed"
	InProgress      Kind = "InProgress"
	OutcomeLost     Kind = "OutcomeLost"
	LedgerUnreached Kind = "LedgerUnreached"
	LedgerFull      Kind = "LedgerFull"
	Overloaded      Kind = "Overloaded"
	CapReached      Kind = "CapReached"
	DeadlinePassed  Kind = "DeadlinePassed"
	NoUpstream      Kind = "NoUpstream"
	UpstreamFailed  Kind = "UpstreamFailed"
	CallerGone      Kind = "CallerGone"
	NotReady        Kind = "NotReady"
	Stopping        Kind = "Stopping"
	Invalid         Kind = "Invalid"
	VersionConflict Kind = "VersionConflict"
	EditIDReused    Kind = "EditIdReused"
	NoLeader        Kind = "NoLeader"
	NotFound        Kind = "NotFound"
	Quarantined     Kind = "Quarantined"
	Unauthorized    Kind = "Unauthorized"
	QuotaExceeded   Kind = "QuotaExceeded"
	QuotaUnreached  Kind = "QuotaUnreached"
	Internal        Kind = "Internal"
)

// Ran states whether a request was run.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "No"
	RanYes     Ran = "Yes"
	RanUnknown Ran = "Unknown"
)

// KindAnswer is the answer to one error kind: the HTTP status, the default delay before a retry and the meaning.
// A RetryAfter of 0 means that the request should not be retried.
type KindAnswer struct {
	Status     int
	RetryAfter Millis
	Meaning    string
}

// Answers maps each error kind to its answer; docs/ERRORS.md is generated from it.
var Answers = map[Kind]KindAnswer{
	BadRequest:      {400, 0, "The request can't be read; the detail names the header or field."},
	UnknownService:  {404, 0, "No service of that name is in the tree in force."},
	KeyReused:       {422, 0, "The idempotency key was used before with another request."},
	KeyExpired:      {422, 0, "The key is older than the time that keys are kept; it is not run, since an earlier copy may have been."},
	KeyClosed:       {409, 0, "This attempt of the key was closed before it was run; send a higher attempt or a new key."},
	InProgress:      {409, 500, "Another copy of this key is being run; its answer can be asked for with the same key."},
	OutcomeLost:     {409, 0, "A copy of this key was dispatched and its outcome is not known; it is not run again."},
	LedgerUnreached: {503, 1000, "Too few ledger replicas of the key's home region can be reached."},
	LedgerFull:      {503, 5000, "The ledger's limit in bytes is reached; it keeps its entries and takes no new key."},
	Overloaded:      {503, 500, "The queue for this class of service is full, the wait would pass the deadline, or no memory is left for the request."},
	CapReached:      {503, 1000, "The cap of the region, link or shift is reached."},
	DeadlinePassed:  {504, 0, "The deadline passed, or can't be met."},
	NoUpstream:      {503, 1000, "No upstream of the service can be reached from here."},
	UpstreamFailed:  {502, 200, "The upstream's answer broke off or never came."},
	CallerGone:      {499, 0, "The caller closed its connection."},
	NotReady:        {503, 1000, "This host has no configuration yet; ask another entry host."},
	Stopping:        {503, 200, "This host is stopping; ask another entry host."},
	Invalid:         {422, 0, "The edit or setting is not valid; the detail names the place and what was expected."},
	VersionConflict: {409, 0, "The edit was made against an older version; the difference is in the answer."},
	EditIDReused:    {422, 0, "The edit id was used before with another edit."},
	NoLeader:        {503, 500, "No control leader can be reached; resend with the same edit id."},
	NotFound:        {404, 0, "Nothing of that name is known."},
	Quarantined:     {503, 600_000, "Several endpoints have crashed while they ran this request, so that it is sent to none for a while."},
	Unauthorized:    {401, 0, "The route needs a customer's key, and the request has none that is in force."},
	QuotaExceeded:   {429, 1000, "The customer's quota over all hosts is used up."},
	QuotaUnreached:  {503, 300, "No control host gave a token of the customer's quota in time; ask another entry host."},
	Internal:        {500, 0, "A fault of this program; the log of the host names it."},
}

// Refusal is the answer to a request or an edit that was not served; its kind is always listed in Answers.
type Refusal struct {
	Kind       Kind
	Ran        Ran
	RetryAfter Millis
	Detail     string
}

// Error returns the kind and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Kind, r.Detail)
}

// Refuse returns a refusal with the default retry delay of its kind; it panics on a kind that Answers does not list.
func Refuse(kind Kind, ran Ran, format string, args ...any) *Refusal {
	row, known := Answers[kind]
	if !known {
		panic("error kind " + string(kind) + " is not listed in core.Answers")
	}
	return &Refusal{Kind: kind, Ran: ran, RetryAfter: row.RetryAfter, Detail: fmt.Sprintf(format, args...)}
}
