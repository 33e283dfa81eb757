package edits

import (
	"fmt"

	"clementinelock/core"
	"clementinelock/core/codec"
	"clementinelock/core/routes"
	"clementinelock/core/tree"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the retained history.
const (
	maxVersions = 2048
	maxOutcomes = 8192
)

// Outcome is the stored result of an edit.
type Outcome struct {
	ID       string
	Accepted bool
	// Version is the version that the edit made, or the version in force when the edit was refused.
	Version     uint64
	Kind        core.Kind
	Detail      string
	Differences []tree.Difference
	// Digest is the hash of the edit's content; it distinguishes a resent edit from another edit under the same id.
	Digest uint64
}

// Refusal returns the outcome's refusal, or nil when the edit was accepted.
func (o Outcome) Refusal() *core.Refusal {
	if o.Accepted {
		return nil
	}
	return core.Refuse(o.Kind, core.RanNo, "%s", o.Detail)
}

// Version is one accepted edit with its differences.
type Version struct {
	Number      uint64
	Author      string
	ID          string
	Differences []tree.Difference
}

// Founding names the first replicas of a region's ledger and their incarnations; only they may assume that no
// earlier entries are lost.
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

// Checker returns why a change of the tree needs an override, or the empty string if it needs none.
type Checker func(old, next *tree.View) string

// Store holds the tree in force and the history of operators' edits.
type Store struct {
	// Danger checks each edit that has no override; all replicas must use the same function.
	Danger       Checker
	tree         *tree.Tree
	view         *tree.View
	history      []Version
	outcomes     map[string]Outcome
	outcomeOrder []string
	foundings    map[string]Founding
	published    Published
	// OnOutcome is called with each edit's outcome, and again when the edit is resent.
	OnOutcome func(outcome Outcome)
	// OnAccept is called for each version that comes into force, also by Restore.
	OnAccept func(version Version, next *tree.View)
}

// NewStore returns a store with an empty tree at version 0.
func NewStore() *Store {
	empty := &tree.Tree{Nodes: map[tree.Path]tree.Values{}}
	return &Store{Danger: tree.Danger, tree: empty, view: tree.NewView(empty), outcomes: map[string]Outcome{}, foundings: map[string]Founding{}}
}

// View returns the resolved tree in force.
func (b *Store) View() *tree.View {
	return b.view
}

// History returns the retained versions, oldest first.
func (b *Store) History() []Version {
	return b.history
}

// Outcome returns the stored outcome of an edit id; it returns false if there is none.
func (b *Store) Outcome(id string) (Outcome, bool) {
	o, ok := b.outcomes[id]
	return o, ok
}

// Apply executes one committed command.
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

// recordFounding records the first replicas of a region's ledger; only the first record counts.
func (b *Store) recordFounding(f Founding) {
	if _, done := b.foundings[f.Region]; !done {
		b.foundings[f.Region] = f
	}
}

// Founding returns the first replicas of a region's ledger; it returns false if none are recorded.
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
	core.Assert(next.Version == b.tree.Version+1, "the version of the tree changes from %d to %d", b.tree.Version, next.Version)
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

// Digest returns the hash of an edit's content without its id.
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

// Preview returns the tree that an edit against the version in force would make, or why it is refused.
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

// At returns the tree of an older version; it returns an error if that version does not exist or is not retained.
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

type storeState struct {
	Tree      *tree.Tree
	History   []Version
	Outcomes  []Outcome
	Foundings map[string]Founding
	Published Published
}

// Snapshot encodes the whole store.
func (b *Store) Snapshot() []byte {
	state := storeState{Tree: b.tree, History: b.history, Foundings: b.foundings, Published: b.published}
	for _, id := range b.outcomeOrder {
		state.Outcomes = append(state.Outcomes, b.outcomes[id])
	}
	return codec.Encode(state)
}

// Restore replaces the content of the store by a snapshot; it returns an error if the bytes can't be decoded.
func (b *Store) Restore(data []byte) error {
	state, err := codec.Decode[storeState](data)
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
