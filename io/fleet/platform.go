package fleet

import (
	"context"
	"errors"
	"net/http"

	"clementinelock/core"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
	"clementinelock/io/proto"
)

// Operator is the interface of a control host for operators; each call returns within a second.
type Operator interface {
	// Publish brings a document into force; it returns a refusal if no leader confirmed it.
	Publish(ctx context.Context, document routes.Document) *core.Refusal
	// Evacuate starts or ends the evacuation of an availability zone.
	Evacuate(ctx context.Context, zone string, active bool) *core.Refusal
	// Read returns the newest document, or a refusal if this host can't be sure which one that is.
	Read(ctx context.Context) (routes.Document, *core.Refusal)
}

// Directory is the interface of a control host for look-ups of entry hosts.
type Directory interface {
	// EntryHosts returns the addresses of the entry hosts for a caller in the availability zone.
	EntryHosts(region, zone string) []string
}

// ErrListTooLong means that the list has more pages than were to be read.
var ErrListTooLong = errors.New("the list has more pages than are read")

// Platform is the adapter to a platform.
type Platform interface {
	// Dialect returns the names of the headers of callers and endpoints.
	Dialect() proto.Dialect
	// Decode returns the routes of a document; it returns an error for a document that is not valid.
	Decode(document routes.Document) (*routes.Table, error)
	// ReadList reads the list of endpoints of an availability zone, or of all if zone is empty. calls is the
	// number of requests to the platform; a list of more than maxPages pages gives ErrListTooLong.
	ReadList(ctx context.Context, address, zone string, maxPages int) (entries []roster.Entry, calls int, err error)
	// OperatorHandler returns the handler of operators' calls.
	OperatorHandler(o Operator) http.Handler
	// DirectoryHandler returns the handler of look-ups; callers may cache a response for ttlSeconds.
	DirectoryHandler(d Directory, ttlSeconds float64) http.Handler
	// ReadinessHandler returns the handler by which the platform finds out whether the host accepts requests.
	ReadinessHandler(ready func() bool) http.Handler
}
