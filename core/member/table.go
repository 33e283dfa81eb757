package member

import (
	"maps"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
	"clementinelock/core/tree"
)

// Intervals, time-outs and limits of the gossip.
const (
	HeartbeatInterval = 250 * core.Millisecond
	largeZoneInterval = 500 * core.Millisecond
	DeadTimeout       = 1500 * core.Millisecond
	reportTimeout     = 5 * core.Second
	// zoneFanOut is the number of hosts of the zone that each heartbeat goes to.
	zoneFanOut = 2
	// roundsPerDoubling is the number of heartbeats that the slowest update takes for each doubling of the zone.
	roundsPerDoubling    = 2
	minHeartbeatInterval = 20 * core.Millisecond
	// smallGroup is the number of hosts in a zone, or of zones, up to which heartbeats carry everything in full.
	smallGroup = 6
	// fullSendPeriod is how long a change is passed on in full.
	fullSendPeriod = 3 * core.Second
	// refreshOdds is the mean number of heartbeats between two that carry an unchanged entry in full.
	refreshOdds = 16
	// maxNotices is the limit of notices in one heartbeat.
	maxNotices = 512
	// noticeTimeout is how long a host that has started waits for others' notices; a host that is cut off serves alone.
	noticeTimeout = core.Second
)

// peerEntry is another host's entry, with the times when it was last heard of and when it last changed.
type peerEntry struct {
	Entry
	heardAt   core.Millis
	changedAt core.Millis
}

// zoneReport is another zone's report, with the times when it was last heard of and when it last changed.
type zoneReport struct {
	Report
	heardAt   core.Millis
	changedAt core.Millis
}

// Table holds what a host knows about all hosts. Set the exported fields before use.
type Table struct {
	Self        string
	Region      string
	Zone        string
	Incarnation uint64
	Rand        *rand.Rand
	// FillOwnEntry fills in the host's own entry before it is sent.
	FillOwnEntry func(now core.Millis, entry *Entry)
	// OnEarlierConfirmed is called with the version that an earlier incarnation of this host had confirmed.
	OnEarlierConfirmed func(confirmed uint64)
	// OnPeerVersion is called with the version that a host reports, so that a lagging host can ask it.
	OnPeerVersion func(now core.Millis, host string, version uint64, out *core.Effects)
	// OnNotices is called with all leaving endpoints when a notice has changed them.
	OnNotices func(now core.Millis, leaving map[string]bool, out *core.Effects)
	// Seeds lists the hosts that are known before there is a tree, by zone.
	Seeds map[string][]string

	counter       uint64
	started       core.Millis
	leaving       bool
	peers         map[string]*peerEntry
	reports       map[string]*zoneReport
	view          *tree.View
	nextHeartbeat core.Millis
	lastHeartbeat core.Millis
	zoneCursor    int
	notices       map[string]Notice
	// informed is set once another host or the platform has sent notices, if only to say that there are none.
	informed bool
	byHash   map[uint32]string
	// lastReport is this zone's report as last sent; reportChangedAt is when it last changed.
	lastReport      Report
	reportChangedAt core.Millis
}

// Start sets the time of the process's start and clears the table.
func (t *Table) Start(now core.Millis) {
	t.started = now
	t.peers = map[string]*peerEntry{}
	t.reports = map[string]*zoneReport{}
	t.notices = map[string]Notice{}
}

// SetView sets the version of the tree that lists the hosts.
func (t *Table) SetView(view *tree.View) {
	t.view = view
	t.byHash = nil
}

// Leave marks this host as leaving and triggers a heartbeat.
func (t *Table) Leave() {
	t.leaving = true
	t.nextHeartbeat = 0
}

// TriggerHeartbeat makes the next heartbeat due as soon as minHeartbeatInterval allows.
func (t *Table) TriggerHeartbeat() {
	t.nextHeartbeat = 0
}

// hostsByZone lists the hosts by zone: those of the tree, or the seeds before there is one.
func (t *Table) hostsByZone() (names []string, hosts map[string][]string) {
	if t.view == nil || len(t.view.Zones) == 0 {
		return slices.Sorted(maps.Keys(t.Seeds)), t.Seeds
	}
	hosts = make(map[string][]string, len(t.view.Zones))
	for _, zone := range t.view.Zones {
		names = append(names, zone.Name)
		hosts[zone.Name] = t.view.ZoneHosts(zone.Name)
	}
	return names, hosts
}

// ApplyNotices applies notices about endpoints from the platform's list or from another host; the newest
// notice of each endpoint counts.
func (t *Table) ApplyNotices(now core.Millis, notices []Notice, out *core.Effects) {
	t.informed = true
	changed := false
	for _, notice := range notices {
		old, known := t.notices[notice.Endpoint]
		if known && old.Since >= notice.Since || !known && !notice.Leaving {
			continue
		}
		t.notices[notice.Endpoint] = notice
		changed = changed || notice.Leaving != old.Leaving
	}
	if !changed {
		return
	}
	t.TriggerHeartbeat()
	t.OnNotices(now, t.leavingEndpoints(), out)
}

func (t *Table) leavingEndpoints() map[string]bool {
	leaving := map[string]bool{}
	for endpoint, notice := range t.notices {
		if notice.Leaving {
			leaving[endpoint] = true
		}
	}
	return leaving
}

// deadTimeout returns the time without a new counter after which a host of the zone is taken for dead. It
// grows with the zone, since gossip takes a few more rounds in a larger one.
func (t *Table) deadTimeout() core.Millis {
	rounds := core.Millis(0)
	for size := len(t.peers); size > 2; size /= 2 {
		rounds++
	}
	return DeadTimeout + rounds*roundsPerDoubling*t.heartbeatInterval()
}

// Liveness returns the state of a host: in this zone by the host's own counter, in other zones by their zone's report.
func (t *Table) Liveness(now core.Millis, host string) core.Liveness {
	if host == t.Self {
		if t.leaving {
			return core.Leaving
		}
		return core.Alive
	}
	zone := t.zoneOf(host)
	if zone == t.Zone {
		return t.livenessInZone(now, host)
	}
	r := t.reports[zone]
	switch {
	case r == nil && now-t.started < reportTimeout:
		return core.Unknown
	case r == nil || now-r.heardAt >= reportTimeout:
		return core.Dead
	case slices.Contains(r.Down, host):
		return core.Dead
	case slices.Contains(r.Leaving, host):
		return core.Leaving
	default:
		return core.Alive
	}
}

func (t *Table) livenessInZone(now core.Millis, host string) core.Liveness {
	h := t.peers[host]
	switch {
	case h == nil && now-t.started < DeadTimeout:
		return core.Unknown
	case h == nil || now-h.heardAt >= t.deadTimeout():
		return core.Dead
	case h.Leaving:
		return core.Leaving
	default:
		return core.Alive
	}
}

func (t *Table) zoneOf(host string) string {
	if t.view != nil {
		if place, ok := t.view.Host(host); ok {
			return place.Zone
		}
	}
	for zone, hosts := range t.Seeds {
		if slices.Contains(hosts, host) {
			return zone
		}
	}
	return ""
}

// IncarnationOf returns the incarnation of another host of this zone, or 0 if the host was not heard of.
func (t *Table) IncarnationOf(host string) uint64 {
	if h := t.peers[host]; h != nil {
		return h.Incarnation
	}
	return 0
}

// Keeper returns the keeper of a zone's service as last reported.
func (t *Table) Keeper(now core.Millis, zone, service string) (KeeperStatus, bool) {
	if zone != t.Zone {
		r := t.reports[zone]
		if r == nil || now-r.heardAt >= reportTimeout {
			return KeeperStatus{}, false
		}
		k, ok := r.Keepers[service]
		return k, ok
	}
	own := t.ownEntry(now)
	if k, ok := keeperStatus(own, service); ok {
		return k, true
	}
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		h := t.peers[name]
		if now-h.heardAt >= t.deadTimeout() {
			continue
		}
		if k, ok := keeperStatus(h.Entry, service); ok {
			return k, true
		}
	}
	return KeeperStatus{}, false
}

func keeperStatus(e Entry, service string) (KeeperStatus, bool) {
	for _, keep := range e.KeptServices {
		if keep.Service == service {
			return KeeperStatus{Host: e.Name, Free: keep.Free, Waiting: keep.Waiting}, true
		}
	}
	return KeeperStatus{}, false
}

// RegionKeeper returns the host in the zones that holds the region's lease and divides its limits (see core/grant), or
// the empty string.
func (t *Table) RegionKeeper(now core.Millis, zones []string) string {
	for _, zone := range zones {
		if zone == t.Zone {
			if name := t.ownReport(now).RegionKeeper; name != "" {
				return name
			}
			continue
		}
		if r := t.reports[zone]; r != nil && now-r.heardAt < reportTimeout && r.RegionKeeper != "" {
			return r.RegionKeeper
		}
	}
	return ""
}

// ZoneReached reports whether a zone's report is fresh; its own zone is always reached.
func (t *Table) ZoneReached(now core.Millis, zone string) bool {
	if zone == t.Zone {
		return true
	}
	r := t.reports[zone]
	return r != nil && now-r.heardAt < reportTimeout
}

// NewestPeerVersion returns the newest version that a live peer of the zone holds, and whether there is such a
// peer.
func (t *Table) NewestPeerVersion(now core.Millis) (uint64, bool) {
	newest, found := uint64(0), false
	for _, h := range t.peers {
		if now-h.heardAt < t.deadTimeout() {
			newest, found = max(newest, h.Version), true
		}
	}
	return newest, found
}

// ZonePeersHeard reports whether every other host of the zone was heard of since the start.
func (t *Table) ZonePeersHeard() bool {
	_, hosts := t.hostsByZone()
	for _, name := range hosts[t.Zone] {
		if name != t.Self && t.peers[name] == nil {
			return false
		}
	}
	return true
}

// Informed reports whether this host can know which endpoints are leaving; one that has just started has forgotten them.
func (t *Table) Informed(now core.Millis) bool {
	return t.informed || now-t.started >= noticeTimeout || t.isAlone()
}

// isAlone reports whether there are no other hosts.
func (t *Table) isAlone() bool {
	_, hosts := t.hostsByZone()
	count := 0
	for _, names := range hosts {
		count += len(names)
	}
	return count <= 1
}

// Snapshot returns the entries and reports for a dump.
func (t *Table) Snapshot(now core.Millis) (entries []Entry, reports []Report) {
	entries = []Entry{t.ownEntry(now)}
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		entries = append(entries, t.peers[name].Entry)
	}
	for _, zone := range slices.Sorted(maps.Keys(t.reports)) {
		reports = append(reports, t.reports[zone].Report)
	}
	return entries, reports
}
