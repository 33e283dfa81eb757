package fleet

import (
	"cmp"
	"hash/fnv"
	"slices"

	"clementinelock/core"
	"clementinelock/core/reach"
)

const (
	// helpersPerDistance is the number of helpers that a host knows in its availability zone, in the rest of its region and
	// elsewhere.
	helpersPerDistance = 4
	// cutBatchDelay batches the cuts of several hosts: the others must know of them before these hand requests over.
	cutBatchDelay = ControlTickInterval
)

// addPeers adds the helpers of an entry host and the hosts that are cut off from endpoints, unless it holds them.
func (c *Control) addPeers(e *entryState, u *Update) {
	if e.peers == nil || e.peersVersion != c.readyVersion || !c.readyCached {
		e.peers = c.peersOf(e.EntryHost)
		e.peersVersion = c.readyVersion
	}
	if e.PeersNumber != e.peers.Number {
		u.Peers = e.peers
	}
}

// peersOf returns what an entry host is told of the others. Helpers are chosen so that hosts of a zone have different ones.
func (c *Control) peersOf(host EntryHost) *Peers {
	p := &Peers{}
	var near [3][]EntryHost
	for _, each := range c.readyEntries() {
		switch {
		case each.Cut:
			p.Cut = append(p.Cut, each.Name)
		case each.Name == host.Name:
		case each.Zone == host.Zone:
			near[0] = append(near[0], each)
		case each.Region == host.Region:
			near[1] = append(near[1], each)
		default:
			near[2] = append(near[2], each)
		}
	}
	for _, hosts := range near {
		rank := func(e EntryHost) uint64 { return hashOf(host.Name, e.Name) }
		slices.SortFunc(hosts, func(a, b EntryHost) int { return cmp.Compare(rank(a), rank(b)) })
		for _, each := range hosts[:min(helpersPerDistance, len(hosts))] {
			p.Helpers = append(p.Helpers, reach.Helper{Name: each.Name, Region: each.Region, Zone: each.Zone})
		}
	}
	var names []string
	for _, each := range p.Helpers {
		names = append(names, each.Name)
	}
	p.Number = hashOf(append(append(names, ""), p.Cut...)...)
	return p
}

// hashOf hashes names in their order; it is never 0.
func hashOf(names ...string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		_, _ = h.Write([]byte(name))
		_, _ = h.Write([]byte{0})
	}
	return max(1, h.Sum64())
}

// cutEntries returns the names of the entry hosts that reach no endpoint.
func (c *Control) cutEntries() (names []string) {
	for _, e := range c.readyEntries() {
		if e.Cut {
			names = append(names, e.Name)
		}
	}
	return names
}

// sendCut tells the entry hosts at once when other ones reach no endpoint, or do again.
func (c *Control) sendCut(now core.Millis, out *core.Effects) {
	names := c.cutEntries()
	if slices.Equal(names, c.cutSent) {
		return
	}
	out.Logf("entries", "Entry hosts that reach no endpoint: %v.", names)
	c.cutSent = names
	for _, name := range sortedNames(c.entries) {
		c.sendUpdate(now, c.entries[name], out)
	}
}

// SetCut sets whether this host reaches no endpoint, and reports a change to the control host at once.
func (e *Entry) SetCut(now core.Millis, cut bool) core.Effects {
	out := &core.Effects{}
	if e.Cut != cut {
		e.Cut = cut
		e.report(now, e.currentControl, false, out)
	}
	return *out
}

// applyPeers takes over what an update tells of other entry hosts, and reports whether that is new.
func (e *Entry) applyPeers(u *Update) bool {
	if u.Peers == nil || u.Peers.Number == e.peers.Number {
		return false
	}
	e.peers = *u.Peers
	return true
}
