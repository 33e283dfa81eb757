package trial

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"clementinelock/core"
	"clementinelock/core/host"
	"clementinelock/core/model"
	"clementinelock/core/tree"
	"clementinelock/io/plots"

	"gonum.org/v1/gonum/stat"
)

// The size expected in two years and its targets per node: bytes per second, percent of a core, and bytes of
// memory.
const (
	futureNodes       = 1200
	futureZones       = 35
	futureRegions     = 13
	nodesPerZone      = 34
	scaleDuration     = 10 * core.Second
	bytesTarget       = 30_000
	corePercentTarget = 1.2
	memoryTarget      = 256 << 20
)

// scalePoint is the cost of control per node at one size.
type scalePoint struct {
	nodes, zones int
	messages     float64
	bytes        float64
	busiest      float64
	corePercent  float64
	memory       float64
	inForce      core.Millis
	controlBytes float64
	controlHosts int
	bytesByName  map[string]float64
}

// scaleTree returns a tree with the given number of hosts, in availability zones of the size expected in two years,
// with four services each.
func scaleTree(nodes int) *tree.Tree {
	t := &tree.Tree{Nodes: map[tree.Path]tree.Values{}}
	zones := max(2, (nodes+nodesPerZone-1)/nodesPerZone)
	regions := max(1, zones*futureRegions/futureZones)
	left := nodes
	for z := range zones {
		region, zone := fmt.Sprintf("region-%d", z%regions), fmt.Sprintf("zone-%d", z)
		count := left / (zones - z)
		left -= count
		hosts := ""
		for h := range count {
			ip := fmt.Sprintf("127.%d.%d.%d", 10+z, h/200, 1+h%200)
			hosts += fmt.Sprintf("%s-%d %s:8080 %s:8443, ", zone, h, ip, ip)
		}
		t.Nodes[tree.Path("/"+region+"/"+zone)] = tree.Values{"Hosts": hosts}
		t.Nodes[tree.Path("/"+region)] = tree.Values{"Clients": fmt.Sprintf("10.%d.0.0/16", z%regions)}
		for s, service := range []string{"one", "two", "three", "four"} {
			endpoints := ""
			for e := range 8 {
				endpoints += fmt.Sprintf("127.%d.%d.%d:90%02d, ", 100+z, 1+e/4, 1+e, s)
			}
			t.Nodes[tree.Path("/"+region+"/"+zone+":"+service)] = tree.Values{"Endpoints": endpoints}
		}
	}
	return t
}

// measureScale runs a deployment without callers and measures the cost of control.
func measureScale(b *bench, nodes int) scalePoint {
	t := scaleTree(nodes)
	view := tree.NewView(t)
	p := scalePoint{nodes: nodes, zones: len(view.Zones)}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := &model.Deployment{Seed: b.seed, Tree: t, Fail: func(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }}
	for i := range min(5, len(view.Zones)) {
		s.Control = append(s.Control, view.ZoneHosts(view.Zones[i].Name)[0])
	}
	s.Start()
	s.PutTree()
	s.RunFor(12 * core.Second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	p.memory = float64(after.HeapAlloc-before.HeapAlloc) / float64(nodes)
	p.controlHosts = len(s.Control)
	p.measureTraffic(s)
	p.inForce = longestEdit(s)
	runtime.KeepAlive(s)
	return p
}

// measureTraffic counts messages, bytes and processor time during scaleDuration.
func (p *scalePoint) measureTraffic(s *model.Deployment) {
	sent := map[string]float64{}
	p.bytesByName = map[string]float64{}
	messages := 0
	encoding := time.Duration(0)
	s.OnSend = func(from, to string, message core.Message) {
		began := time.Now()
		size := float64(len(host.Encode(message)))
		encoding += time.Since(began)
		p.bytesByName[message.MessageName()] += size
		sent[from] += size
		sent[to] += size
		messages++
	}
	began := time.Now()
	s.RunFor(scaleDuration)
	spent := time.Since(began)
	s.OnSend = nil
	seconds := float64(scaleDuration) / 1000
	p.messages = float64(messages) / float64(p.nodes) / seconds
	p.corePercent = 100 * spent.Seconds() / seconds / float64(p.nodes)
	total := 0.0
	for name, size := range sent {
		total += size
		p.busiest = max(p.busiest, size/seconds)
		for _, control := range s.Control {
			if control == name {
				p.controlBytes = max(p.controlBytes, size/seconds)
			}
		}
	}
	p.bytes = total / seconds / float64(p.nodes)
}

// longestEdit returns the longest time that any of five edits takes until it is in force at all hosts.
func longestEdit(s *model.Deployment) core.Millis {
	worst := core.Millis(0)
	for i := range 5 {
		_, f := measureEdit(s, s.Control[0], i)
		worst = max(worst, f)
		s.RunFor(200)
	}
	return worst
}

// scaleSizes lists the numbers of nodes that are measured.
var scaleSizes = []int{9, 50, 200, 400}

// benchScale measures the cost of control per node at several sizes and fits a line to the points.
func benchScale(_ context.Context, b *bench) error {
	var points []scalePoint
	for _, nodes := range scaleSizes {
		p := measureScale(b, nodes)
		points = append(points, p)
		b.add(fmt.Sprintf("%d nodes in %d zones", p.nodes, p.zones), true, "",
			"%.1f messages/s, %.1f KB/s (busiest %.1f, busiest control host %.1f), %.3f%% of a core, %.2f MiB, in force %s",
			p.messages, p.bytes/1000, p.busiest/1000, p.controlBytes/1000, p.corePercent, p.memory/(1<<20), p.inForce)
		b.add("  of these bytes", true, "", "%s", p.largestMessages())
	}
	b.extrapolate(points)
	return b.drawScale(points)
}

// drawScale plots the control traffic of a node over the number of nodes.
func (b *bench) drawScale(points []scalePoint) error {
	if b.plots == "" {
		return nil
	}
	mean, most := plots.Line{Name: "mean"}, plots.Line{Name: "busiest"}
	for _, p := range points {
		mean.X, mean.Y = append(mean.X, float64(p.nodes)), append(mean.Y, p.bytes/1000)
		most.X, most.Y = append(most.X, float64(p.nodes)), append(most.Y, p.busiest/1000)
	}
	return plots.Lines(filepath.Join(b.plots, "scale.png"), "Control bytes of a node", "nodes", "KB/s", mean, most)
}

// largestMessages lists the message types with the most bytes and their shares.
func (p scalePoint) largestMessages() string {
	total := 0.0
	for _, size := range p.bytesByName {
		total += size
	}
	names := slices.SortedFunc(maps.Keys(p.bytesByName), func(a, b string) int { return int(p.bytesByName[b] - p.bytesByName[a]) })
	text := ""
	for _, name := range names[:min(4, len(names))] {
		text += fmt.Sprintf("%s %.0f%%, ", name, 100*p.bytesByName[name]/total)
	}
	return strings.TrimSuffix(text, ", ")
}

// extrapolate fits a line to each figure and adds its value at futureNodes.
func (b *bench) extrapolate(points []scalePoint) {
	at := func(value func(scalePoint) float64) float64 {
		var x, y []float64
		for _, p := range points {
			x = append(x, float64(p.nodes))
			y = append(y, value(p))
		}
		offset, slope := stat.LinearRegression(x, y, nil, false)
		return offset + slope*futureNodes
	}
	bytes := at(func(p scalePoint) float64 { return p.bytes })
	most := at(func(p scalePoint) float64 { return p.busiest })
	spent := at(func(p scalePoint) float64 { return p.corePercent })
	memory := at(func(p scalePoint) float64 { return p.memory })
	inForce := at(func(p scalePoint) float64 { return float64(p.inForce) })
	b.add("1,200 nodes by the line: mean bytes sent and received", bytes <= bytesTarget, "≤ 30 KB/s", "%.1f KB/s", bytes/1000)
	b.add("1,200 nodes by the line: busiest node", most <= bytesTarget, "≤ 30 KB/s", "%.1f KB/s", most/1000)
	b.add("1,200 nodes by the line: processor time, the model's own included", spent <= corePercentTarget, "≤ 1.2%", "%.3f%%", spent)
	b.add("1,200 nodes by the line: memory", memory <= memoryTarget, "≤ 256 MiB", "%.1f MiB", memory/(1<<20))
	b.add("1,200 nodes by the line: in force", inForce <= 12000, "≤ 12s", "%.0fms", inForce)
}
