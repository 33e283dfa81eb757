package fake

import (
	"maps"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
)

// Process is a state machine that the simulation runs.
type Process interface {
	// Tick does the work that is due.
	Tick(now core.Millis) core.Effects
	// Receive handles a message from another host.
	Receive(now core.Millis, from string, message core.Message) core.Effects
}

// Simulation runs processes on virtual time. Set the exported fields before the first step.
type Simulation struct {
	Now  core.Millis
	Rand *rand.Rand
	// Delay returns the network delay of a message.
	Delay func(from, to string) core.Millis
	// LossRate and DuplicateRate are the shares of messages that are lost and duplicated.
	LossRate, DuplicateRate float64
	TickInterval            core.Millis
	// Late returns by how much a message is delayed beyond Delay, for each copy that arrives; nil delays none.
	Late func(from, to string, message core.Message) []core.Millis
	// OnSend is called for each message that is sent.
	OnSend func(from, to string, message core.Message)
	// OnEffects is called with the effects of each step; the messages in them are sent already.
	OnEffects func(host string, e core.Effects)

	running    map[string]Process
	generation map[string]int
	frozen     map[string]bool
	cut        map[[2]string]bool
	events     EventQueue
	// Sent counts the messages by name.
	Sent map[string]int
}

// NewSimulation returns a simulation with a seed.
func NewSimulation(seed uint64) *Simulation {
	return &Simulation{
		Now: core.Hour, Rand: rand.New(rand.NewPCG(seed, seed)), TickInterval: 10,
		Delay:     func(string, string) core.Millis { return 1 },
		OnEffects: func(string, core.Effects) {},
		running:   map[string]Process{}, generation: map[string]int{}, frozen: map[string]bool{}, cut: map[[2]string]bool{},
		Sent: map[string]int{},
	}
}

// At schedules a function.
func (w *Simulation) At(at core.Millis, run func()) {
	w.events.Add(max(at, w.Now), run)
}

// Start starts a process and ticks it from then on.
func (w *Simulation) Start(host string, p Process) {
	w.generation[host]++
	w.running[host] = p
	delete(w.frozen, host)
	w.tick(host, w.generation[host])
}

func (w *Simulation) tick(host string, generation int) {
	if w.generation[host] != generation || w.running[host] == nil {
		return
	}
	if !w.frozen[host] {
		w.Apply(host, w.running[host].Tick(w.Now))
	}
	w.At(w.Now+w.TickInterval, func() { w.tick(host, generation) })
}

// Crash ends a process at once; messages in flight to it are lost.
func (w *Simulation) Crash(host string) {
	w.generation[host]++
	delete(w.running, host)
}

// Freeze suspends or resumes a process; messages to a suspended process wait.
func (w *Simulation) Freeze(host string, frozen bool) {
	w.frozen[host] = frozen
}

// Up reports whether the process is running.
func (w *Simulation) Up(host string) bool {
	return w.running[host] != nil
}

// Hosts returns the hosts with a running process, sorted.
func (w *Simulation) Hosts() []string {
	return slices.Sorted(maps.Keys(w.running))
}

// Cut cuts or repairs the path from one host to another; the other direction is unaffected.
func (w *Simulation) Cut(from, to string, cut bool) {
	w.cut[[2]string{from, to}] = cut
}

// Isolate cuts or repairs the paths between a host and others in both directions.
func (w *Simulation) Isolate(host string, others []string, cut bool) {
	for _, other := range others {
		w.Cut(host, other, cut)
		w.Cut(other, host, cut)
	}
}

// IsCut reports whether the path from one host to another is cut.
func (w *Simulation) IsCut(from, to string) bool {
	return w.cut[[2]string{from, to}]
}

// Heal repairs all paths.
func (w *Simulation) Heal() {
	w.cut = map[[2]string]bool{}
}

// Apply sends the messages of a process's effects and passes the effects to OnEffects.
func (w *Simulation) Apply(host string, e core.Effects) {
	for _, s := range e.Sends {
		w.send(host, s.To, s.Message)
	}
	w.OnEffects(host, e)
}

func (w *Simulation) send(from, to string, message core.Message) {
	w.Sent[message.MessageName()]++
	if w.OnSend != nil {
		w.OnSend(from, to, message)
	}
	if w.Late != nil {
		for _, late := range w.Late(from, to, message) {
			w.At(w.Now+w.Delay(from, to)+late, func() { w.deliver(from, to, message) })
		}
		return
	}
	copies := 1
	if w.Rand.Float64() < w.DuplicateRate {
		copies = 2
	}
	for range copies {
		if w.IsCut(from, to) || w.Rand.Float64() < w.LossRate {
			continue
		}
		w.At(w.Now+w.Delay(from, to), func() { w.deliver(from, to, message) })
	}
}

// RandomlyLate returns a value for Late: a share of the messages arrives late by up to the longest delay, half of them in time too.
func (w *Simulation) RandomlyLate(share float64, longest core.Millis) func(from, to string, message core.Message) []core.Millis {
	return func(string, string, core.Message) []core.Millis {
		if w.Rand.Float64() >= share {
			return []core.Millis{0}
		}
		late := core.Millis(w.Rand.Int64N(int64(longest)))
		if w.Rand.IntN(2) == 0 {
			return []core.Millis{0, late}
		}
		return []core.Millis{late}
	}
}

func (w *Simulation) deliver(from, to string, message core.Message) {
	switch {
	case w.running[to] == nil || w.IsCut(from, to):
	default:
		w.receive(from, to, message, w.generation[to])
	}
}

// receive passes a message to a process once it is not suspended; until then it waits at its host, whatever becomes of the
// path.
func (w *Simulation) receive(from, to string, message core.Message, generation int) {
	switch {
	case w.generation[to] != generation:
	case w.frozen[to]:
		w.At(w.Now+w.TickInterval, func() { w.receive(from, to, message, generation) })
	default:
		w.Apply(to, w.running[to].Receive(w.Now, from, message))
	}
}

// RunUntil runs the simulation until the instant.
func (w *Simulation) RunUntil(until core.Millis) {
	for {
		at, run, ok := w.events.Next(until)
		if !ok {
			break
		}
		w.Now = at
		run()
	}
	w.Now = until
}

// RunFor runs the simulation for a length of time.
func (w *Simulation) RunFor(length core.Millis) {
	w.RunUntil(w.Now + length)
}

// Part adapts a core.Part to a Process.
type Part struct {
	core.Part
}

// Tick calls the part's Tick and returns its effects.
func (p Part) Tick(now core.Millis) core.Effects {
	out := core.Effects{}
	p.Part.Tick(now, &out)
	return out
}

// Receive calls the part's Receive and returns its effects.
func (p Part) Receive(now core.Millis, from string, message core.Message) core.Effects {
	out := core.Effects{}
	p.Part.Receive(now, from, message, &out)
	return out
}
