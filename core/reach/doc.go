// Package reach tells whether an entry host can reach endpoints at all, and chooses the entry hosts that serve its callers
// while it can't.
//
// Watch recognises a cut from all endpoints by the connections that can't be opened and by the silence of open ones; it
// asks for probes of a few endpoints before it decides, and of one at a time until the cut ends. Helpers chooses among the
// entry hosts that control hosts have named. Both are deterministic: they open no connection and read no clock.
package reach
