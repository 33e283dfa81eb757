package entry

import (
	"context"
	"net/http"

	"clementinelock/core"
	"clementinelock/core/creds"
	"clementinelock/core/routes"
)

// authorization is the header of callers' credentials.
const authorization = "Authorization"

// contactGrace is the time without contact to a control host after which a key that is not known may be a new one.
const contactGrace = 2 * core.Second

// Quotas decides on requests of customers with a quota.
type Quotas interface {
	// Acquire takes a token of the customer's quota, which is in force by that version of the routes. It returns a refusal if
	// there is none, or nil.
	Acquire(ctx context.Context, customer string, version uint64) *core.Refusal
	// Return gives back the token of a request that has not run.
	Return(customer string)
}

// identity is whom a request comes from.
type identity struct {
	// customer is nil for a request that needs no key and has none.
	customer *creds.Customer
	// key is the digest of the request's key if hasKey is set.
	key    creds.Digest
	hasKey bool
	// version is that of the routes by which the customer was found.
	version uint64
	// charged is set if the request has a token of the customer's quota, vouched if the entry host that handed the request
	// over has identified the customer.
	charged bool
	vouched bool
}

// name returns the customer's name, which is empty if there is none.
func (i *identity) name() string {
	if i.customer == nil {
		return ""
	}
	return i.customer.Name
}

// regions returns the customer's home regions.
func (i *identity) regions() []string {
	if i.customer == nil {
		return nil
	}
	return i.customer.Regions
}

// priority returns the rank of a request: the customer's goes before that of the route.
func (i *identity) priority(route *routes.Route) int {
	if i.customer != nil && i.customer.HasPriority {
		return i.customer.Priority
	}
	return route.Priority
}

// customerHeader returns the header that tells an endpoint the request's customer.
func (s *Server) customerHeader(x *exchange) map[string]string {
	name := x.identity.name()
	if name == "" || s.Dialect.Customer == "" {
		return nil
	}
	return map[string]string{s.Dialect.Customer: name}
}

// identify finds the customer of a request and removes the headers that endpoints must not get from callers. Without
// customers in the routes, requests pass unchanged.
func (s *Server) identify(x *exchange, table *routes.Table, route *routes.Route) *core.Refusal {
	if table.Customers == nil {
		return nil
	}
	header := x.request.Header
	values := header[authorization]
	header.Del(authorization)
	header.Del(s.Dialect.Customer)
	i := &x.identity
	i.version = table.Version
	if x.handover != nil && x.handover.customer != "" {
		i.vouched = true
		i.customer = table.Customers.Named(x.handover.customer)
		if i.customer == nil {
			return core.Refuse(core.Unauthorized, core.RanNo, "customer %q is not in version %d", x.handover.customer, table.Version)
		}
		return nil
	}
	key, err := creds.ParseBearer(values)
	if err == nil {
		i.key, i.hasKey = key, true
		i.customer = table.Customers.Find(key)
	}
	switch {
	case i.customer == nil && route.Public:
		return nil
	case err != nil:
		return core.Refuse(core.Unauthorized, core.RanNo, "route %q needs a key: %v", route.Name, err)
	case i.customer == nil:
		return s.refuseKey(table)
	case s.keysOutdated() && !route.Public:
		return core.Refuse(core.NotReady, core.RanNo, "keys can't be checked: no contact to a control host for %s", s.sinceContact())
	}
	return nil
}

// refuseKey refuses a request whose key is not known. A host without contact may lack a new one, which others know.
func (s *Server) refuseKey(table *routes.Table) *core.Refusal {
	if since := s.sinceContact(); since > contactGrace {
		return core.Refuse(core.NotReady, core.RanNo, "the key is not in version %d, which may be outdated: no contact to a control host for %s", table.Version, since)
	}
	return core.Refuse(core.Unauthorized, core.RanNo, "the key is not in version %d", table.Version)
}

// checkKey checks again, before an attempt, that the request's key is in force: it may have been revoked or moved to another
// customer while the request waited.
func (s *Server) checkKey(x *exchange) *core.Refusal {
	i, table := &x.identity, s.table.Load()
	if i.customer == nil || table == nil || table.Customers == nil || table.Version == i.version {
		return nil
	}
	i.version = table.Version
	customer := table.Customers.Named(i.customer.Name)
	if !i.vouched {
		customer = table.Customers.Find(i.key)
	}
	if customer == nil {
		return core.Refuse(core.Unauthorized, core.RanNo, "the key of customer %q is no longer in force by version %d", i.customer.Name, table.Version)
	}
	i.customer = customer
	return nil
}

// keysOutdated reports whether keys may have been revoked longer ago than the deployment allows.
func (s *Server) keysOutdated() bool {
	return s.MaxKeyAge > 0 && s.sinceContact() > s.MaxKeyAge
}

// RecordContact records when a control host could last tell this host of all changes.
func (s *Server) RecordContact(at core.Millis) {
	s.contactAt.Store(int64(at))
}

// sinceContact returns the time since the latest contact, or 0 before the first.
func (s *Server) sinceContact() core.Millis {
	at := s.contactAt.Load()
	if at == 0 {
		return 0
	}
	return s.Now() - core.Millis(at)
}

// charge takes a token of the customer's quota; the host that a request was handed over from has done so.
func (s *Server) charge(ctx context.Context, x *exchange) *core.Refusal {
	i := &x.identity
	if i.customer == nil || i.vouched || !i.customer.Quota.IsSet() || s.Quotas == nil {
		return nil
	}
	if refusal := s.Quotas.Acquire(ctx, i.customer.Name, i.version); refusal != nil {
		return refusal
	}
	i.charged = true
	return nil
}

// settle gives the token of a request back whose reply says that it has not run.
func (s *Server) settle(x *exchange, customer string, r *reply) *reply {
	if x.identity.charged && r.answer == nil && r.ran == core.RanNo {
		s.Quotas.Return(customer)
	}
	return r
}

// credentialOf returns what identifies the caller of a request in its digest: the customer where the routes have customers,
// so that nothing that is told to other hosts depends on a key.
func (c *conn) credentialOf(header http.Header, h *handover) string {
	table := c.server.table.Load()
	if table == nil || table.Customers == nil {
		return header.Get(authorization)
	}
	if h != nil && h.customer != "" {
		return h.customer
	}
	if key, err := creds.ParseBearer(header[authorization]); err == nil {
		if customer := table.Customers.Find(key); customer != nil {
			return customer.Name
		}
	}
	return ""
}
