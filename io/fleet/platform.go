package fleet

import (
	"context"
	"net/http"

	"clementinelock/core"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
	"clementinelock/io/proto"
)

// Operator is what operators may ask a control host for; each call ends within a second.
type Operator interface {
	// Publish brings a document into force; it returns a refusal when no leader confirmed it.
	Publish(ctx context.Context, document routes.Document) *core.Refusal
	// Evacuate begins or ends the evacuation of an availability zone.
	Evacuate(ctx context.Context, zone string, active bool) *core.Refusal
	// Read returns the newest document, or a refusal when this host can't be sure which that is.
	Read(ctx context.Context) (routes.Document, *core.Refusal)
}

// Directory tells callers which entry hosts to use.
type Directory interface {
	// EntryHosts lists the addresses for a caller in the availability zone.
	EntryHosts(region, zone string) []string
}

// Platform translates between a platform's forms and the project's.
type Platform interface {
	// Dialect names the headers of callers and endpoints.
	Dialect() proto.Dialect
	// Decode reads a document; it errs on one that can't be in force.
	Decode(document routes.Document) (*routes.Table, error)
	// ReadList reads the list of the endpoints in an availability zone, or of all without a zone; calls counts what was asked of the platform.
	ReadList(ctx context.Context, address, zone string) (entries []roster.Entry, calls int, err error)
	// OperatorHandler serves operators.
	OperatorHandler(o Operator) http.Handler
	// DirectoryHandler serves look-ups; callers may keep an answer for that many seconds.
	DirectoryHandler(d Directory, ttlSeconds float64) http.Handler
	// ReadinessHandler tells the platform whether the host takes requests.
	ReadinessHandler(ready func() bool) http.Handler
}
