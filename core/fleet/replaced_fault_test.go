package fleet_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fake"
	"clementinelock/core/fleet"
	"clementinelock/core/routes"
)

const (
	// settingsLag is how long settings name a host that is gone.
	settingsLag = 3 * core.Second
	// recoveryBound is the time after the return of the last host within which each control host answers a read; calmLength is
	// how long each read and order after that must be confirmed.
	recoveryBound = 6 * core.Second
	calmLength    = 5 * core.Second
	// stopPeriod is how long a host that was told to stop counts as lost before its successor's time begins.
	stopPeriod = 6 * core.Second
)

// disruptedSite is a site whose control hosts are lost, within what may be lost at once, until a final fault.
type disruptedSite struct {
	*site
	// chance draws the disruptions; the site's own source draws delays.
	chance *rand.Rand
	// tolerated is the number of control hosts that may be lost at once; a host that is back counts for catchUp longer.
	tolerated int
	catchUp   core.Millis
	// lostUntil holds the end of each loss.
	lostUntil []core.Millis
	// disturbedUntil is when the latest disturbance of all control hosts ends.
	disturbedUntil core.Millis
	// names holds the control hosts that are part of the deployment, those first whose disks have lasted longest.
	names []string
	// events lists the disruptions for failure messages.
	events []string
}

func (d *disruptedSite) note(format string, args ...any) {
	d.events = append(d.events, fmt.Sprintf("%d ", d.Now-core.Hour)+fmt.Sprintf(format, args...))
}

// lost returns how many control hosts count as lost.
func (d *disruptedSite) lost() int {
	d.lostUntil = slices.DeleteFunc(d.lostUntil, func(until core.Millis) bool { return until <= d.Now })
	return len(d.lostUntil)
}

// waitFor runs until another loss of so many hosts may be borne.
func (d *disruptedSite) waitFor(count int) {
	for d.lost()+count > d.tolerated {
		d.RunUntil(slices.Min(d.lostUntil))
	}
}

// changeSeeds lets the settings name three of the control hosts.
func (d *disruptedSite) changeSeeds() {
	names := slices.Clone(d.names)
	d.chance.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	d.seeds = names[:min(3, len(names))]
}

// dropFromSettings lets the settings name other seeds some time after a seed has gone.
func (d *disruptedSite) dropFromSettings(name string) {
	d.At(d.Now+settingsLag, func() {
		if slices.Contains(d.seeds, name) {
			d.changeSeeds()
		}
	})
}

// victim chooses a control host that runs.
func (d *disruptedSite) victim() string {
	up := slices.DeleteFunc(slices.Clone(d.names), func(name string) bool { return !d.Up(name) })
	if len(up) == 0 {
		up = d.names
	}
	leader := d.leader()
	switch d.chance.IntN(3) {
	case 0:
		return up[0]
	case 1:
		if slices.Contains(up, leader) {
			return leader
		}
	}
	return up[d.chance.IntN(len(up))]
}

func (d *disruptedSite) add(zone string) {
	d.process++
	name := fmt.Sprintf("control-new-%d", d.process)
	d.zones[name] = zone
	d.disks[name] = fake.NewDisk(d.chance.Uint64N(1<<62) + 2)
	d.names = append(d.names, name)
	d.startControl(name)
}

// replace removes a control host for good, and adds one with an empty disk and another name.
func (d *disruptedSite) replace(planned bool) {
	name := d.victim()
	zone, delay := d.zones[name], core.Millis(500+d.chance.IntN(1500))
	d.note("replace %s planned %t", name, planned)
	d.dropFromSettings(name)
	d.names = slices.DeleteFunc(d.names, func(each string) bool { return each == name })
	until := d.Now + delay + d.catchUp
	if planned {
		until += stopPeriod
	}
	d.lostUntil = append(d.lostUntil, until)
	if !planned {
		d.removeHost(name)
		d.At(d.Now+delay, func() { d.add(zone) })
		return
	}
	d.add(zone)
	d.At(d.Now+delay, func() {
		if !d.Up(name) {
			d.removeHost(name)
			return
		}
		d.Apply(name, d.controls[name].Stop(d.clock(name)))
		d.At(d.Now+core.Millis(d.chance.IntN(200)), func() { d.removeHost(name) })
	})
}

// restart ends a control host's process; with wipe it comes back with an empty disk.
func (d *disruptedSite) restart(name string, powerLoss, wipe bool, delay core.Millis) {
	if wipe {
		d.crash(name, true)
		d.disks[name] = fake.NewDisk(d.chance.Uint64N(1<<62) + 2)
		d.names = append(slices.DeleteFunc(d.names, func(each string) bool { return each == name }), name)
	} else {
		d.crash(name, powerLoss)
	}
	d.At(d.Now+delay, func() { d.startHost(name) })
}

// loseOne replaces a control host, or disturbs it for some time.
func (d *disruptedSite) loseOne() {
	length := core.Millis(500 + d.chance.IntN(4000))
	kind := []string{"planned", "replace", "replace", "replace", "wipe", "restart", "cut", "freeze", "full"}[d.chance.IntN(9)]
	if kind == "planned" || kind == "replace" {
		d.replace(kind == "planned")
		return
	}
	name := d.victim()
	d.note("%s %s for %s", kind, name, length)
	d.lostUntil = append(d.lostUntil, d.Now+length+d.catchUp)
	switch kind {
	case "wipe":
		d.restart(name, true, true, length)
	case "restart":
		d.restart(name, d.chance.IntN(2) == 0, false, length)
	case "cut":
		others := slices.DeleteFunc(slices.Collect(maps.Keys(d.zones)), func(other string) bool { return other == name })
		slices.Sort(others)
		if d.chance.IntN(2) == 0 {
			others = slices.DeleteFunc(d.upControls(), func(other string) bool { return other == name })
		}
		oneWay := d.chance.IntN(4) == 0
		for _, other := range others {
			d.Cut(name, other, true)
			if !oneWay {
				d.Cut(other, name, true)
			}
		}
		d.At(d.Now+length, func() {
			for _, other := range others {
				d.Cut(name, other, false)
				d.Cut(other, name, false)
			}
		})
	case "freeze":
		freezeFor(length)(d.site, name)
	default:
		fullFor(length)(d.site, name)
	}
}

// extendLosses lets hosts that have not caught up yet count as lost until they had the time after a disturbance of all control hosts.
func (d *disruptedSite) extendLosses(length core.Millis) {
	d.lost()
	d.disturbedUntil = max(d.disturbedUntil, d.Now+length)
	for i, until := range d.lostUntil {
		d.lostUntil[i] = max(until, d.Now+length+d.catchUp)
	}
}

// disturbAll kills all control hosts, cuts their power or cuts them into halves. No disk is lost, so that it may happen at any time.
func (d *disruptedSite) disturbAll() {
	kind := []string{"power loss", "kill", "halves"}[d.chance.IntN(3)]
	d.note("%s of all", kind)
	if kind != "halves" {
		d.extendLosses(core.Second)
		for _, name := range d.upControls() {
			d.restart(name, kind == "power loss", false, core.Millis(500+d.chance.IntN(500)))
		}
		return
	}
	up := d.upControls()
	d.chance.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	half := len(up) / 2
	for _, name := range up[:half] {
		d.Isolate(name, up[half:], true)
	}
	length := core.Millis(1000 + d.chance.IntN(4000))
	d.extendLosses(length)
	d.At(d.Now+length, func() {
		for _, name := range up[:half] {
			d.Isolate(name, up[half:], false)
		}
	})
}

// readAt reads at one control host, and calls done with the version, or with an error.
func (d *disruptedSite) readAt(name string, done func(version uint64, refusal *core.Refusal)) {
	d.ticket++
	ticket := d.ticket
	d.replies[ticket] = func(r core.Reply) {
		if r.Refusal != nil {
			done(0, r.Refusal)
			return
		}
		done(r.Body.(*fleet.OrderResult).Document.Version, nil)
	}
	d.Apply(name, d.controls[name].Read(d.clock(name), ticket))
}

// expectCalm reads at each control host and sends orders for some time; each must be confirmed.
func (d *disruptedSite) expectCalm(when string, length core.Millis) {
	d.t.Helper()
	for end := d.Now + length; d.Now < end; {
		for i, name := range d.names {
			d.At(d.Now+core.Millis(i*20), func() {
				from := d.Now
				acked := d.acked
				d.readAt(name, func(version uint64, refusal *core.Refusal) {
					switch {
					case refusal != nil:
						d.fail("%s: %s refuses a read in calm after %s: %v; leader %q, voters %v", when, name, d.Now-from, refusal, d.leader(), d.voters())
					case version < acked:
						d.fail("%s: %s returned version %d after version %d was confirmed", when, name, version, acked)
					}
				})
			})
		}
		name := d.names[d.chance.IntN(len(d.names))]
		d.published++
		version := d.published
		document := routes.Document{Version: version, Text: fmt.Appendf(nil, "version %d", version)}
		d.ticket++
		d.replies[d.ticket] = func(r core.Reply) {
			if r.Refusal != nil {
				d.fail("%s: %s refuses an order in calm: %v", when, name, r.Refusal)
				return
			}
			d.acked = max(d.acked, version)
		}
		d.Apply(name, d.controls[name].Publish(d.clock(name), d.ticket, document))
		d.RunFor(500)
	}
	d.RunFor(core.Second)
}

func (d *disruptedSite) fail(format string, args ...any) {
	d.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), fmt.Sprint(slices.Clone(d.events)))
}

// finalFault strikes right after an order was confirmed, or some time after it was sent: as many disks are lost as may be, while the
// other control hosts run on, are killed or lose power, in some runs with the entry hosts.
func (d *disruptedSite) finalFault() {
	d.publish()
	if d.chance.IntN(3) == 0 {
		d.RunFor(core.Millis(5 + d.chance.IntN(395)))
	} else {
		for end := d.Now + 5*core.Second; d.acked < d.published && d.Now < end; {
			d.RunFor(1)
		}
	}
	wipes := d.chance.IntN(d.tolerated - d.lost() + 1)
	kind := []string{"disks only", "kill", "power loss", "power loss with entry hosts"}[d.chance.IntN(4)]
	down := core.Millis(500 + d.chance.IntN(1500))
	d.note("final fault: %s, %d disks lost, down for %s", kind, wipes, down)
	for range wipes {
		name := d.victim()
		d.restart(name, true, true, down+core.Millis(d.chance.IntN(300)))
		d.note("disk of %s", name)
	}
	if kind == "disks only" && wipes > 0 {
		d.RunFor(down + 300)
		return
	}
	for _, name := range d.upControls() {
		d.restart(name, kind != "kill", false, down+core.Millis(d.chance.IntN(300)))
	}
	if kind == "power loss with entry hosts" {
		for name := range d.entries {
			d.Crash(name)
		}
		for _, name := range slices.Sorted(maps.Keys(d.entries)) {
			d.At(d.Now+down+core.Millis(d.chance.IntN(300)), func() { d.startHost(name) })
		}
	}
	d.RunFor(down + 300)
}

// expectRecovery waits until each control host has answered a read, and returns how long the last one took.
func (d *disruptedSite) expectRecovery() core.Millis {
	d.t.Helper()
	from := d.Now
	answered := map[string]bool{}
	for len(answered) < len(d.names) {
		if d.Now-from > recoveryBound {
			var open []string
			for _, name := range d.names {
				if !answered[name] {
					open = append(open, fmt.Sprintf("%s %+v", name, d.controls[name].Dump(d.clock(name)).Quorum))
				}
			}
			d.fail("not all control hosts answer a read within %s of the final fault; leader %q, voters %v, names %v; open:\n%v", recoveryBound, d.leader(), d.voters(), d.names, open)
		}
		for _, name := range d.names {
			if d.Up(name) {
				acked := d.acked
				d.readAt(name, func(version uint64, refusal *core.Refusal) {
					if refusal != nil {
						return
					}
					answered[name] = true
					if version < acked {
						d.fail("%s returned version %d after the final fault, version %d was confirmed", name, version, acked)
					}
				})
			}
		}
		d.RunFor(100)
	}
	return d.Now - from
}

// playFinalFault plays random losses that end with a final fault, and returns the time until each control host has answered a read.
func playFinalFault(t *testing.T, seed uint64) core.Millis {
	t.Helper()
	chance := rand.New(rand.NewPCG(seed, 48))
	hosts := 3 + chance.IntN(10)
	d := &disruptedSite{chance: chance, tolerated: 1, catchUp: 4 * core.Second}
	if hosts >= 6 && chance.IntN(2) == 0 {
		d.tolerated, d.catchUp = 2, 6*core.Second
	}
	disturbAll := chance.IntN(2) == 0
	var zones []string
	for i := range hosts {
		zones = append(zones, controlZones[i%len(controlZones)])
		d.names = append(d.names, fmt.Sprintf("control-%d", i))
	}
	d.site = newSiteIn(t, seed, zones, entryZones)
	d.note("%d hosts, %d tolerated", hosts, d.tolerated)
	d.RunFor(8 * core.Second)
	over := false
	var publish func()
	publish = func() {
		if !over {
			d.publish()
			d.At(d.Now+900, publish)
		}
	}
	publish()
	for range 4 + chance.IntN(6) {
		count := 1 + chance.IntN(d.tolerated)
		d.waitFor(count)
		if chance.IntN(2) == 0 {
			d.RunFor(core.Millis(chance.IntN(3000)))
		}
		for range count {
			d.loseOne()
			if chance.IntN(2) == 0 {
				d.RunFor(core.Millis(chance.IntN(500)))
			}
		}
		switch {
		case disturbAll && chance.IntN(4) == 0:
			d.RunFor(core.Millis(chance.IntN(3000)))
			d.disturbAll()
		case chance.IntN(4) == 0:
			d.changeSeeds()
		case chance.IntN(4) == 0:
			d.waitFor(d.tolerated)
			d.RunUntil(max(d.Now, d.disturbedUntil) + 2*core.Second)
			d.expectCalm("between losses", 2*core.Second)
		}
	}
	d.waitFor(1)
	if chance.IntN(2) == 0 {
		d.RunFor(core.Millis(chance.IntN(3000)))
	}
	over = true
	d.finalFault()
	took := d.expectRecovery()
	d.RunFor(2 * core.Second)
	d.expectCalm("after the final fault", calmLength)
	d.settle()
	return took
}

// TestReplacedControlHostsAndAFinalFault guards against control hosts that refuse reads and orders, or return an older version, once
// nothing is disturbed any more: control hosts are replaced, lose their disks and are cut off, no more at once than may be lost, and a
// final fault follows. FLEET_SEEDS sets how many random runs there are, FLEET_SEED the first.
func TestReplacedControlHostsAndAFinalFault(t *testing.T) {
	t.Parallel()
	first, count := envNumber("FLEET_SEED", 1), envNumber("FLEET_SEEDS", 8)
	var longest core.Millis
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { longest = max(longest, playFinalFault(t, seed)) })
	}
	t.Logf("each control host answered a read within %s of the final fault", longest)
}
