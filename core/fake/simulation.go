package fake

import (
	"maps"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
)

// Process is what the world steps.
type Process interface {
	// Tick carries out what is due.
	Tick(now core.Millis) core.Effects
	// Receive takes a message.
	Receive(now core.Millis, from string, message core.Message) core.Effects
}

// Simulation runs processes on virtual time. Set the exported fields before the first step.
type Simulation struct {
	Now  core.Millis
	Rand *rand.Rand
	// Delay returns how long a message takes.
	Delay func(from, to string) core.Millis
	// LossRate and DuplicateRate are the parts of messages that are lost and sent twice.
	LossRate, DuplicateRate float64
	TickInterval            core.Millis
	// OnSend is told of each message that is sent.
	OnSend func(from, to string, message core.Message)
	// OnEffects takes the effects that are not messages.
	OnEffects func(host string, e core.Effects)

	running    map[string]Process
	generation map[string]int
	frozen     map[string]bool
	cut        map[[2]string]bool
	agenda     EventQueue
	// Sent counts the messages by name.
	Sent map[string]int
}

// NewSimulation returns a world with a seed.
func NewSimulation(seed uint64) *Simulation {
	return &Simulation{
		Now: core.Hour, Rand: rand.New(rand.NewPCG(seed, seed)), TickInterval: 10,
		Delay:     func(string, string) core.Millis { return 1 },
		OnEffects: func(string, core.Effects) {},
		running:   map[string]Process{}, generation: map[string]int{}, frozen: map[string]bool{}, cut: map[[2]string]bool{},
		Sent: map[string]int{},
	}
}

// At runs a function at a time.
func (w *Simulation) At(at core.Millis, run func()) {
	w.agenda.Add(max(at, w.Now), run)
}

// Start brings a process up and ticks it from then on.
func (w *Simulation) Start(host string, p Process) {
	w.generation[host]++
	w.running[host] = p
	delete(w.frozen, host)
	w.tick(host, w.generation[host])
}

func (w *Simulation) tick(host string, life int) {
	if w.generation[host] != life || w.running[host] == nil {
		return
	}
	if !w.frozen[host] {
		w.Apply(host, w.running[host].Tick(w.Now))
	}
	w.At(w.Now+w.TickInterval, func() { w.tick(host, life) })
}

// Crash ends a process at once; messages on their way to it are lost.
func (w *Simulation) Crash(host string) {
	w.generation[host]++
	delete(w.running, host)
}

// Freeze stops a process's steps until it is thawed; its messages wait.
func (w *Simulation) Freeze(host string, frozen bool) {
	w.frozen[host] = frozen
}

// Up tells whether a process runs.
func (w *Simulation) Up(host string) bool {
	return w.running[host] != nil
}

// Hosts lists the running processes.
func (w *Simulation) Hosts() []string {
	return slices.Sorted(maps.Keys(w.running))
}

// Cut cuts or mends the way from one host to another.
func (w *Simulation) Cut(from, to string, cut bool) {
	w.cut[[2]string{from, to}] = cut
}

// Isolate cuts or mends all ways between a host and others.
func (w *Simulation) Isolate(host string, others []string, cut bool) {
	for _, other := range others {
		w.Cut(host, other, cut)
		w.Cut(other, host, cut)
	}
}

// IsCut tells whether the way is cut.
func (w *Simulation) IsCut(from, to string) bool {
	return w.cut[[2]string{from, to}]
}

// Heal mends all ways.
func (w *Simulation) Heal() {
	w.cut = map[[2]string]bool{}
}

// Apply carries out a process's effects.
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

func (w *Simulation) deliver(from, to string, message core.Message) {
	switch {
	case w.running[to] == nil || w.IsCut(from, to):
	case w.frozen[to]:
		life := w.generation[to]
		w.At(w.Now+w.TickInterval, func() {
			if w.generation[to] == life {
				w.deliver(from, to, message)
			}
		})
	default:
		w.Apply(to, w.running[to].Receive(w.Now, from, message))
	}
}

// RunUntil steps the world until the time.
func (w *Simulation) RunUntil(until core.Millis) {
	for {
		at, run, ok := w.agenda.Next(until)
		if !ok {
			break
		}
		w.Now = at
		run()
	}
	w.Now = until
}

// RunFor steps the world for a length of time.
func (w *Simulation) RunFor(length core.Millis) {
	w.RunUntil(w.Now + length)
}

// Part makes one part a process of the world.
type Part struct {
	core.Part
}

// Tick steps the part's time.
func (p Part) Tick(now core.Millis) core.Effects {
	out := core.Effects{}
	p.Part.Tick(now, &out)
	return out
}

// Receive hands the part a message.
func (p Part) Receive(now core.Millis, from string, message core.Message) core.Effects {
	out := core.Effects{}
	p.Part.Receive(now, from, message, &out)
	return out
}
