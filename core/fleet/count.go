package fleet

import (
	"slices"
	"strings"

	"clementinelock/core"
)

// A global limit, such as the rate of a cold endpoint, is divided among the entry hosts of an availability zone. Hosts
// that are cut off from the control hosts go on sending, and hosts that come back are heard of one by one, so that
// the number to divide by is the largest of late and not the present one.
const (
	// peakRetention is how long a zone's largest number of entry hosts is kept after it was last seen.
	peakRetention = core.Minute
	// countDelay is the time after its start in which a control host has heard all entry hosts that report to it.
	countDelay = entryTimeout
)

// ZonePeak is the largest number of ready entry hosts of an availability zone that was seen lately.
type ZonePeak struct {
	Zone  string `cbor:"1,keyasint"`
	Hosts int    `cbor:"2,keyasint"`
	// Age is the time since so many were last seen.
	Age core.Millis `cbor:"3,keyasint,omitempty"`
}

// peak is a zone's largest number of entry hosts and when it was last seen.
type peak struct {
	hosts  int
	seenAt core.Millis
}

// recordPeak keeps the number of a zone's entry hosts unless a larger one is held.
func (c *Control) recordPeak(now core.Millis, zone string, hosts int, seenAt core.Millis) {
	held := c.peaks[zone]
	switch {
	case now-seenAt > peakRetention, hosts < held.hosts && now-held.seenAt <= peakRetention:
		return
	case hosts == held.hosts:
		seenAt = max(seenAt, held.seenAt)
	}
	c.peaks[zone] = peak{hosts, seenAt}
}

// recordPeaks records the entry hosts that are ready now.
func (c *Control) recordPeaks(now core.Millis) {
	ready := map[string]int{}
	for _, e := range c.readyEntries() {
		ready[e.Zone]++
	}
	for zone, hosts := range ready {
		c.recordPeak(now, zone, hosts, now)
	}
}

// zonePeaks returns the peaks that are held, sorted by zone.
func (c *Control) zonePeaks(now core.Millis) []ZonePeak {
	var out []ZonePeak
	for zone, p := range c.peaks {
		if now-p.seenAt <= peakRetention {
			out = append(out, ZonePeak{Zone: zone, Hosts: p.hosts, Age: now - p.seenAt})
		}
	}
	slices.SortFunc(out, func(a, b ZonePeak) int { return strings.Compare(a.Zone, b.Zone) })
	return out
}

// applyPeaks takes over what another control host has seen.
func (c *Control) applyPeaks(now core.Millis, peaks []ZonePeak) {
	for _, p := range peaks {
		c.recordPeak(now, p.Zone, p.Hosts, now-p.Age)
	}
	c.peaksHeard = c.peaksHeard || len(peaks) > 0
}

// countEntries counts the entry hosts for one of them.
func (c *Control) countEntries(now core.Millis, host EntryHost) (counts EntryCounts, pending bool) {
	c.recordPeaks(now)
	before, listed := 0, false
	for _, each := range c.readyEntries() {
		counts.All++
		if each.Region != host.Region {
			continue
		}
		counts.Region++
		listed = listed || each.Name == host.Name
		if each.Zone < host.Zone || each.Zone == host.Zone && each.Name < host.Name {
			before++
		}
	}
	if listed {
		counts.Rank = before + 1
	}
	if p := c.peaks[host.Zone]; now-p.seenAt <= peakRetention {
		counts.Zone = p.hosts
	}
	return counts, !c.peaksHeard && now-c.startedAt < countDelay
}
