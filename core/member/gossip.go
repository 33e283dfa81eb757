package member

import (
	"maps"
	"slices"
	"strings"

	"clementinelock/core"

	"github.com/cespare/xxhash/v2"
)

func hashOf(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// nameOf returns the host of this zone, or the zone, whose name has the hash, or the empty string.
func (t *Table) nameOf(hash uint32) string {
	if t.byHash == nil {
		t.byHash = map[uint32]string{}
		names, hosts := t.hostsByZone()
		for _, name := range slices.Concat(names, hosts[t.Zone]) {
			t.byHash[hashOf(name)] = name
		}
	}
	return t.byHash[hash]
}

// heartbeatInterval returns the time between heartbeats; it is longer in a large zone, whose heartbeats carry more.
func (t *Table) heartbeatInterval() core.Millis {
	if len(t.peers) > smallGroup {
		return largeZoneInterval
	}
	return HeartbeatInterval
}

// Tick sends heartbeats when they are due.
func (t *Table) Tick(now core.Millis, out *core.Effects) {
	if now < t.nextHeartbeat || now-t.lastHeartbeat < minHeartbeatInterval {
		return
	}
	t.nextHeartbeat = now + t.heartbeatInterval()
	t.lastHeartbeat = now
	t.counter++
	inner, outer := t.targets()
	zones := t.zoneHeartbeat(now)
	if len(inner) > 0 {
		heartbeat := t.hostHeartbeat(now)
		heartbeat.Reports, heartbeat.Stamps, heartbeat.Notices = zones.Reports, zones.Stamps, zones.Notices
		for _, target := range inner {
			out.Send(target, heartbeat)
		}
	}
	zones.addOwnReport(t, now)
	for _, target := range outer {
		out.Send(target, zones)
	}
}

// hostHeartbeat returns a heartbeat with the live hosts of this zone, which goes only to hosts of this zone.
func (t *Table) hostHeartbeat(now core.Millis) *Heartbeat {
	heartbeat := &Heartbeat{Zone: t.Zone, Entries: []Entry{t.ownEntry(now)}}
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		h := t.peers[name]
		switch {
		case now-h.heardAt >= t.deadTimeout():
		case t.sendInFull(now, h.changedAt, len(t.peers)):
			heartbeat.Entries = append(heartbeat.Entries, h.Entry)
		default:
			heartbeat.Counters = append(heartbeat.Counters, CounterUpdate{Name: hashOf(name), Incarnation: h.Incarnation, Counter: h.Counter})
		}
	}
	return heartbeat
}

// zoneHeartbeat returns a heartbeat with the other zones' reports and the notices about endpoints.
func (t *Table) zoneHeartbeat(now core.Millis) *Heartbeat {
	heartbeat := &Heartbeat{Zone: t.Zone}
	for _, zone := range slices.Sorted(maps.Keys(t.reports)) {
		r := t.reports[zone]
		switch {
		case now-r.heardAt >= reportTimeout || zone == t.Zone:
		case t.sendInFull(now, r.changedAt, len(t.reports)):
			heartbeat.Reports = append(heartbeat.Reports, r.Report)
		default:
			heartbeat.Stamps = append(heartbeat.Stamps, StampUpdate{Zone: hashOf(zone), Stamp: r.Stamp})
		}
	}
	for _, endpoint := range slices.Sorted(maps.Keys(t.notices)) {
		if len(heartbeat.Notices) < maxNotices {
			heartbeat.Notices = append(heartbeat.Notices, t.notices[endpoint])
		}
	}
	return heartbeat
}

// addOwnReport adds the report of this host's own zone.
func (b *Heartbeat) addOwnReport(t *Table, now core.Millis) {
	report := t.ownReport(now)
	if !sameReport(report, t.lastReport) {
		t.reportChangedAt = now
	}
	t.lastReport = report
	if t.sendInFull(now, t.reportChangedAt, len(t.reports)) {
		b.Reports = append(slices.Clone(b.Reports), report)
		return
	}
	b.Stamps = append(slices.Clone(b.Stamps), StampUpdate{Zone: hashOf(t.Zone), Stamp: report.Stamp})
}

// sendInFull reports whether an entry or report is sent in full: always after a change and in a
// small group, otherwise at random in one of refreshOdds heartbeats.
func (t *Table) sendInFull(now, changed core.Millis, group int) bool {
	return group <= smallGroup || now-changed < fullSendPeriod || t.Rand.IntN(refreshOdds) == 0
}

func (t *Table) ownEntry(now core.Millis) Entry {
	e := Entry{Name: t.Self, Incarnation: t.Incarnation, Counter: t.counter, Leaving: t.leaving}
	t.FillOwnEntry(now, &e)
	return e
}

// ownReport summarizes this zone. Its stamp is the wall clock, which only orders the reports of one zone.
func (t *Table) ownReport(now core.Millis) Report {
	r := Report{Zone: t.Zone, Stamp: uint64(now), Keepers: map[string]KeeperStatus{}}
	_, hosts := t.hostsByZone()
	for _, name := range hosts[t.Zone] {
		switch t.Liveness(now, name) {
		case core.Dead:
			r.Down = append(r.Down, name)
		case core.Leaving:
			r.Leaving = append(r.Leaving, name)
		}
	}
	entries := []Entry{t.ownEntry(now)}
	for _, h := range t.peers {
		if now-h.heardAt < t.deadTimeout() {
			entries = append(entries, h.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range entries {
		r.Version = max(r.Version, e.Version)
		if e.KeepsRegion {
			r.RegionKeeper = e.Name
		}
		for _, keep := range e.KeptServices {
			r.Keepers[keep.Service] = KeeperStatus{Host: e.Name, Free: keep.Free, Waiting: keep.Waiting}
		}
	}
	return r
}

// targets picks random hosts of this zone, and one random host in each of two other zones, in turn.
func (t *Table) targets() (inner, outer []string) {
	names, hosts := t.hostsByZone()
	inner = slices.DeleteFunc(slices.Clone(hosts[t.Zone]), func(name string) bool { return name == t.Self })
	t.Rand.Shuffle(len(inner), func(i, j int) { inner[i], inner[j] = inner[j], inner[i] })
	inner = inner[:min(len(inner), zoneFanOut)]
	others := slices.DeleteFunc(slices.Clone(names), func(zone string) bool { return zone == t.Zone || len(hosts[zone]) == 0 })
	if len(others) == 0 {
		return inner, nil
	}
	for range min(2, len(others)) {
		t.zoneCursor++
		zone := hosts[others[t.zoneCursor%len(others)]]
		outer = append(outer, zone[t.Rand.IntN(len(zone))])
	}
	return inner, outer
}

// Receive applies a heartbeat; it ignores other messages.
func (t *Table) Receive(now core.Millis, from string, message core.Message, out *core.Effects) {
	heartbeat, ok := message.(*Heartbeat)
	if !ok {
		return
	}
	newest := uint64(0)
	if heartbeat.Zone == t.Zone {
		for _, e := range heartbeat.Entries {
			t.applyEntry(now, e)
			if e.Name == from {
				newest = e.Version
			}
		}
	}
	for _, update := range heartbeat.Counters {
		t.applyCounter(now, heartbeat.Zone, update)
	}
	for _, update := range heartbeat.Stamps {
		if r := t.reports[t.nameOf(update.Zone)]; r != nil && update.Stamp > r.Stamp {
			r.Stamp, r.heardAt = update.Stamp, now
		}
	}
	for _, report := range heartbeat.Reports {
		t.applyReport(now, report)
		if report.Zone == heartbeat.Zone && newest == 0 {
			newest = report.Version
		}
	}
	t.ApplyNotices(now, heartbeat.Notices, out)
	t.OnPeerVersion(now, from, newest, out)
}

func (t *Table) applyEntry(now core.Millis, e Entry) {
	if e.Name == t.Self {
		if e.Incarnation < t.Incarnation {
			t.OnEarlierConfirmed(e.Confirmed)
		}
		return
	}
	h := t.peers[e.Name]
	newer := h == nil || e.Incarnation > h.Incarnation || e.Incarnation == h.Incarnation && e.Counter > h.Counter
	if !newer {
		return
	}
	changed := now
	if h != nil && sameEntry(h.Entry, e) {
		changed = h.changedAt
	}
	t.peers[e.Name] = &peerEntry{e, now, changed}
}

func (t *Table) applyCounter(now core.Millis, zone string, p CounterUpdate) {
	if zone != t.Zone {
		return
	}
	h := t.peers[t.nameOf(p.Name)]
	if h != nil && h.Incarnation == p.Incarnation && p.Counter > h.Counter {
		h.Counter, h.heardAt = p.Counter, now
	}
}

// sameEntry reports whether two entries are equal apart from counters and load.
func sameEntry(a, b Entry) bool {
	return a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && a.Version == b.Version && a.Confirmed == b.Confirmed &&
		a.KeepsRegion == b.KeepsRegion && slices.EqualFunc(a.KeptServices, b.KeptServices, func(x, y KeptService) bool { return x.Service == y.Service })
}

// sameReport reports whether two reports are equal apart from stamps and load.
func sameReport(a, b Report) bool {
	return slices.Equal(a.Down, b.Down) && slices.Equal(a.Leaving, b.Leaving) && a.Version == b.Version && a.RegionKeeper == b.RegionKeeper &&
		maps.EqualFunc(a.Keepers, b.Keepers, func(x, y KeeperStatus) bool { return x.Host == y.Host })
}

func (t *Table) applyReport(now core.Millis, report Report) {
	if report.Zone == t.Zone {
		return
	}
	old := t.reports[report.Zone]
	if old == nil || report.Stamp > old.Stamp || now-old.heardAt > reportTimeout {
		changed := now
		if old != nil && sameReport(old.Report, report) {
			changed = old.changedAt
		}
		t.reports[report.Zone] = &zoneReport{report, now, changed}
	}
}
