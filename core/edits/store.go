package edits

import (
	"fmt"

	"clementinelock/core"
	"clementinelock/core/codec"
	"clementinelock/core/routes"
	"clementinelock/core/tree"

	"github.com/cespare/xxhash/v2"
)

// Sizes of what is kept.
const (
	maxVersions = 2048
	maxOutcomes = 8192
)

// Outcome is the lasting answer to an edit.
type Outcome struct {
	ID       string
	Accepted bool
	// Version is the version that the edit made, or the one in force when it was refused.
	Version     uint64
	Kind        core.Kind
	Detail      string
	Differences []tree.Difference
	// Digest is the hash of the edit's content, by which a reused id is told from a resent edit.
	Digest uint64
}

// Refusal returns the outcome's refusal, or nil when the edit was accepted.
func (o Outcome) Refusal() *core.Refusal {
	if o.Accepted {
		return nil
	}
	return core.Refuse(o.Kind, core.RanNo, "%s", o.Detail)
}

// Version is one accepted edit with what it changed.
type Version struct {
	Number      uint64
	Author      string
	ID          string
	Differences []tree.Difference
}

// Founding names the replicas that began a region's ledger; only they may count on having forgotten nothing.
type Founding struct {
	Region   string
	Replicas map[string]uint64
}

// Command is one record of the replicated log: an edit, a founding, a published document or an evacuation.
type Command struct {
	Edit       *tree.Edit
	Founding   *Founding
	Publish    *routes.Document
	Evacuation *Evacuation
}

// Checker decides whether a next tree is dangerous without an override; it returns the empty string when it is not.
type Checker func(old, next *tree.View) string

// Store is the operators' history and the tree in force.
type Store struct {
	// Danger is asked of each edit without an override; all replicas must have the same.
	Danger       Checker
	tree         *tree.Tree
	view         *tree.View
	history      []Version
	outcomes     map[string]Outcome
	outcomeOrder []string
	foundings    map[string]Founding
	published    Published
	// OnOutcome is called with each edit's outcome as it is decided.
	OnOutcome func(outcome Outcome)
	// OnAccept is called after each version that comes into force.
	OnAccept func(version Version, next *tree.View)
}

// NewStore returns a book with an empty tree at version 0.
func NewStore() *Store {
	empty := &tree.Tree{Nodes: map[tree.Path]tree.Values{}}
	return &Store{Danger: tree.Danger, tree: empty, view: tree.NewView(empty), outcomes: map[string]Outcome{}, foundings: map[string]Founding{}}
}

// View returns the tree in force, resolved.
func (b *Store) View() *tree.View {
	return b.view
}

// History lists the versions that are kept, oldest first.
func (b *Store) History() []Version {
	return b.history
}

// Outcome returns what became of an edit id.
func (b *Store) Outcome(id string) (Outcome, bool) {
	o, ok := b.outcomes[id]
	return o, ok
}

// Apply carries out one committed command.
func (b *Store) Apply(index uint64, command []byte) {
	c, err := codec.Decode[Command](command)
	core.Assert(err == nil, "a committed command can't be decoded: %v", err)
	switch {
	case c.Edit != nil:
		b.apply(*c.Edit)
	case c.Founding != nil:
		b.recordFounding(*c.Founding)
	case c.Publish != nil:
		b.published.publish(index, *c.Publish)
	case c.Evacuation != nil:
		b.published.evacuate(index, *c.Evacuation)
	}
}

// recordFounding notes who began a region's ledger; the first founding counts for ever.
func (b *Store) recordFounding(f Founding) {
	if _, done := b.foundings[f.Region]; !done {
		b.foundings[f.Region] = f
	}
}

// Founding returns who began a region's ledger.
func (b *Store) Founding(region string) (Founding, bool) {
	f, ok := b.foundings[region]
	return f, ok
}

func (b *Store) apply(edit tree.Edit) {
	if seen, known := b.outcomes[edit.ID]; known {
		b.notifyOutcome(seen)
		return
	}
	outcome, next := b.decide(edit)
	outcome.ID, outcome.Digest = edit.ID, Digest(edit)
	b.storeOutcome(outcome)
	defer b.notifyOutcome(outcome)
	if next == nil {
		return
	}
	core.Assert(next.Version == b.tree.Version+1, "version goes from %d to %d", b.tree.Version, next.Version)
	version := Version{Number: next.Version, Author: edit.Author, ID: edit.ID, Differences: tree.Compare(b.tree, next)}
	b.tree, b.view = next, tree.NewView(next)
	b.history = append(b.history, version)
	if len(b.history) > maxVersions {
		b.history = append([]Version(nil), b.history[len(b.history)-maxVersions:]...)
	}
	if b.OnAccept != nil {
		b.OnAccept(version, b.view)
	}
}

func (b *Store) notifyOutcome(o Outcome) {
	if b.OnOutcome != nil {
		b.OnOutcome(o)
	}
}

// Digest hashes what an edit says, without its id.
func Digest(edit tree.Edit) uint64 {
	edit.ID = ""
	return xxhash.Sum64(codec.Encode(edit))
}

func (b *Store) decide(edit tree.Edit) (Outcome, *tree.Tree) {
	if edit.Base != b.tree.Version {
		return b.conflict(edit), nil
	}
	next, refusal := b.Preview(edit)
	if refusal != nil {
		return Outcome{Version: b.tree.Version, Kind: refusal.Kind, Detail: refusal.Detail}, nil
	}
	return Outcome{Accepted: true, Version: next.Version, Differences: tree.Compare(b.tree, next)}, next
}

func (b *Store) conflict(edit tree.Edit) Outcome {
	o := Outcome{Version: b.tree.Version, Kind: core.VersionConflict}
	o.Detail = fmt.Sprintf("the edit was made against version %d; version %d is in force", edit.Base, b.tree.Version)
	base, err := b.At(edit.Base)
	if err == nil {
		o.Differences = tree.Compare(base, b.tree)
	}
	return o
}

// Preview returns the tree that an edit against the version in force would give, or why it is refused.
func (b *Store) Preview(edit tree.Edit) (*tree.Tree, *core.Refusal) {
	changes := edit.Changes
	if edit.RollbackTo != 0 {
		old, err := b.At(edit.RollbackTo)
		if err != nil {
			return nil, core.Refuse(core.NotFound, core.RanNo, "%v", err)
		}
		changes = tree.Changes(tree.Compare(b.tree, old))
	}
	if len(changes) == 0 {
		return nil, core.Refuse(core.Invalid, core.RanNo, "the edit changes nothing")
	}
	next, err := b.tree.With(changes)
	if err != nil {
		return nil, core.Refuse(core.Invalid, core.RanNo, "%v", err)
	}
	if err := tree.Check(next); err != nil {
		return nil, core.Refuse(core.Invalid, core.RanNo, "%v", err)
	}
	danger := b.Danger(b.view, tree.NewView(next))
	if danger != "" && !edit.Override {
		return nil, core.Refuse(core.Invalid, core.RanNo, "%s; this needs an explicit override", danger)
	}
	return next, nil
}

// At returns the tree of an older version, as far as the history goes back.
func (b *Store) At(version uint64) (*tree.Tree, error) {
	if version > b.tree.Version {
		return nil, fmt.Errorf("version %d does not exist; version %d is in force", version, b.tree.Version)
	}
	oldest := b.tree.Version - uint64(len(b.history))
	if version < oldest {
		return nil, fmt.Errorf("version %d is no longer kept; the oldest is %d", version, oldest)
	}
	back := b.tree.Clone()
	for i := len(b.history) - 1; i >= 0 && b.history[i].Number > version; i-- {
		revert(back, b.history[i].Differences)
	}
	back.Version = version
	return back, nil
}

func revert(t *tree.Tree, differences []tree.Difference) {
	for _, d := range differences {
		if d.OldPresent {
			if t.Nodes[d.Path] == nil {
				t.Nodes[d.Path] = tree.Values{}
			}
			t.Nodes[d.Path][d.Setting] = d.Old
			continue
		}
		delete(t.Nodes[d.Path], d.Setting)
		if len(t.Nodes[d.Path]) == 0 {
			delete(t.Nodes, d.Path)
		}
	}
}

func (b *Store) storeOutcome(o Outcome) {
	b.outcomes[o.ID] = o
	b.outcomeOrder = append(b.outcomeOrder, o.ID)
	if len(b.outcomeOrder) > maxOutcomes {
		delete(b.outcomes, b.outcomeOrder[0])
		b.outcomeOrder = append([]string(nil), b.outcomeOrder[1:]...)
	}
}

type bookState struct {
	Tree      *tree.Tree
	History   []Version
	Outcomes  []Outcome
	Foundings map[string]Founding
	Published Published
}

// Snapshot encodes the whole book.
func (b *Store) Snapshot() []byte {
	state := bookState{Tree: b.tree, History: b.history, Foundings: b.foundings, Published: b.published}
	for _, id := range b.outcomeOrder {
		state.Outcomes = append(state.Outcomes, b.outcomes[id])
	}
	return codec.Encode(state)
}

// Restore replaces the book by a snapshot's.
func (b *Store) Restore(data []byte) error {
	state, err := codec.Decode[bookState](data)
	if err != nil {
		return err
	}
	if state.Tree.Nodes == nil {
		state.Tree.Nodes = map[tree.Path]tree.Values{}
	}
	core.Assert(state.Tree.Version >= b.tree.Version, "snapshot of version %d would replace version %d", state.Tree.Version, b.tree.Version)
	b.tree, b.view, b.history = state.Tree, tree.NewView(state.Tree), state.History
	b.outcomes, b.outcomeOrder = map[string]Outcome{}, nil
	b.foundings, b.published = state.Foundings, state.Published
	if b.foundings == nil {
		b.foundings = map[string]Founding{}
	}
	for _, o := range state.Outcomes {
		b.storeOutcome(o)
	}
	if b.OnAccept != nil {
		b.OnAccept(Version{Number: state.Tree.Version}, b.view)
	}
	return nil
}
