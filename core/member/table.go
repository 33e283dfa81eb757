package member

import (
	"maps"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
	"clementinelock/core/tree"
)

// Lengths of time of the gossip.
const (
	HeartbeatInterval = 250 * core.Millisecond
	largeZoneInterval = 500 * core.Millisecond
	DeadTimeout       = 1500 * core.Millisecond
	reportTimeout     = 5 * core.Second
	zoneFanOut        = 2
	// roundsPerDoubling is how many beats the slowest word takes for each doubling of the zone.
	roundsPerDoubling    = 2
	minHeartbeatInterval = 20 * core.Millisecond
	// smallGroup is the number of hosts in a zone, or of zones, up to which beats carry everything.
	smallGroup = 6
	// fullSendPeriod is how long a change is passed on in full.
	fullSendPeriod = 3 * core.Second
	// refreshOdds is how many beats carry an unchanged entry in full once, on average.
	refreshOdds = 16
	// maxNotices bounds the notices in one beat.
	maxNotices = 512
)

// peerEntry is another host's entry, with the times when it was last peerEntry of and when it last said something new.
type peerEntry struct {
	Entry
	heardAt   core.Millis
	changedAt core.Millis
}

// zoneReport is another zone's report, with the same times.
type zoneReport struct {
	Report
	heardAt   core.Millis
	changedAt core.Millis
}

// Table is a host's knowledge of all hosts. Set the exported fields before use.
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
	// OnPeerVersion is called when a host reports a version, so that a lagging host can ask it.
	OnPeerVersion func(now core.Millis, host string, version uint64, out *core.Effects)
	// OnNotices is called when the platform's word on an endpoint has changed.
	OnNotices func(now core.Millis, leaving map[string]bool, out *core.Effects)
	// Seeds lists hosts that are known before there is a tree, by zone.
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
	byHash        map[uint32]string
	// lastReport is this zone's report as it was sent last, reportAt when it last said something new.
	lastReport      Report
	reportChangedAt core.Millis
}

// Start takes the time of the process's start.
func (t *Table) Start(now core.Millis) {
	t.started = now
	t.peers = map[string]*peerEntry{}
	t.reports = map[string]*zoneReport{}
	t.notices = map[string]Notice{}
}

// SetView takes a new version of the tree.
func (t *Table) SetView(view *tree.View) {
	t.view = view
	t.byHash = nil
}

// Leave makes the host tell the others that it is leaving.
func (t *Table) Leave() {
	t.leaving = true
	t.nextHeartbeat = 0
}

// TriggerHeartbeat sends the next beat as soon as the shortest gap allows.
func (t *Table) TriggerHeartbeat() {
	t.nextHeartbeat = 0
}

// hostsByZone lists the hosts by zone, from the tree or before there is one from the seeds.
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

// ApplyNotices takes the platform's word on endpoints, from its list or from another host; the newest word on each counts.
func (t *Table) ApplyNotices(now core.Millis, notices []Notice, out *core.Effects) {
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

// deadTimeout grows with the zone, since gossip takes a few more rounds in a larger one.
func (t *Table) deadTimeout() core.Millis {
	rounds := core.Millis(0)
	for size := len(t.peers); size > 2; size /= 2 {
		rounds++
	}
	return DeadTimeout + rounds*roundsPerDoubling*t.heartbeatInterval()
}

// Liveness returns what is known of a host: from its own counter inside the zone, from the zone's report outside it.
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

// IncarnationOf returns the incarnation that a host of this zone runs, or 0.
func (t *Table) IncarnationOf(host string) uint64 {
	if h := t.peers[host]; h != nil {
		return h.Incarnation
	}
	return 0
}

// Keeper returns the keeper of a zone's service as last heard.
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

// RegionKeeper returns the host that keeps the region's task, or the empty string.
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

// ZoneReached tells whether a zone's report is fresh.
func (t *Table) ZoneReached(now core.Millis, zone string) bool {
	if zone == t.Zone {
		return true
	}
	r := t.reports[zone]
	return r != nil && now-r.heardAt < reportTimeout
}

// NewestPeerVersion returns the newest version that a live peer of the zone holds, and whether there is such a peer.
func (t *Table) NewestPeerVersion(now core.Millis) (uint64, bool) {
	newest, found := uint64(0), false
	for _, h := range t.peers {
		if now-h.heardAt < t.deadTimeout() {
			newest, found = max(newest, h.Version), true
		}
	}
	return newest, found
}

// ZonePeersHeard tells whether every other host of the zone was heard of since the start.
func (t *Table) ZonePeersHeard() bool {
	_, hosts := t.hostsByZone()
	for _, name := range hosts[t.Zone] {
		if name != t.Self && t.peers[name] == nil {
			return false
		}
	}
	return true
}

// Snapshot lists the entries and reports for a dump.
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
