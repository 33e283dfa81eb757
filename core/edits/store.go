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

// Command is one record of the replicated log: an edit, a founding, a published document, an evacuation or a change of a
// quarantine.
type Command struct {
	Edit       *tree.Edit
	Founding   *Founding
	Publish    *routes.Document
	Evacuation *Evacuation
	Quarantine *QuarantineChange
	// Order identifies the operator's order behind the command; nil if it is not told.
	Order *OrderID `cbor:",omitempty"`
}

// OrderID identifies an order that a control host accepted from an operator.
type OrderID struct {
	Host   string
	Ticket uint64
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
	// OnOrder is called with each order that is applied; it may be nil.
	OnOrder func(index uint64, id OrderID)
	// OnAccept is called for each version that comes into force, also by Restore.
	OnAccept func(version Version, next *tree.View)
}

// NewStore returns a store with an empty tree at version 0.
func NewStore() *Store {
	empty := &tree.Tree{Nodes: map[tree.Path]tree.Values{}}
	return &Store{Danger: tree.Danger, tree: empty, view: tree.NewView(empty), outcomes: map[string]Outcome{}, foundings: map[string]Founding{}}
}

// View returns the resolved tree in force.
func (s *Store) View() *tree.View {
	return s.view
}

// History returns the retained versions, oldest first.
func (s *Store) History() []Version {
	return s.history
}

// Outcome returns the stored outcome of an edit id; it returns false if there is none.
func (s *Store) Outcome(id string) (Outcome, bool) {
	o, ok := s.outcomes[id]
	return o, ok
}

// Apply executes one committed command.
func (s *Store) Apply(index uint64, command []byte) {
	c, err := codec.Decode[Command](command)
	core.Assert(err == nil, "a committed command can't be decoded: %v", err)
	if c.Order != nil && s.OnOrder != nil {
		s.OnOrder(index, *c.Order)
	}
	switch {
	case c.Edit != nil:
		s.apply(*c.Edit)
	case c.Founding != nil:
		s.recordFounding(*c.Founding)
	case c.Publish != nil:
		s.published.publish(index, *c.Publish)
	case c.Evacuation != nil:
		s.published.evacuate(index, *c.Evacuation)
	case c.Quarantine != nil:
		s.published.quarantine(index, *c.Quarantine)
	}
}

// recordFounding records the first replicas of a region's ledger; only the first record counts.
func (s *Store) recordFounding(f Founding) {
	if _, done := s.foundings[f.Region]; !done {
		s.foundings[f.Region] = f
	}
}

// Founding returns the first replicas of a region's ledger; it returns false if none are recorded.
func (s *Store) Founding(region string) (Founding, bool) {
	f, ok := s.foundings[region]
	return f, ok
}

func (s *Store) apply(edit tree.Edit) {
	if seen, known := s.outcomes[edit.ID]; known {
		s.notifyOutcome(seen)
		return
	}
	outcome, next := s.decide(edit)
	outcome.ID, outcome.Digest = edit.ID, Digest(edit)
	s.storeOutcome(outcome)
	defer s.notifyOutcome(outcome)
	if next == nil {
		return
	}
	core.Assert(next.Version == s.tree.Version+1, "the version of the tree changes from %d to %d", s.tree.Version, next.Version)
	version := Version{Number: next.Version, Author: edit.Author, ID: edit.ID, Differences: tree.Compare(s.tree, next)}
	s.tree, s.view = next, tree.NewView(next)
	s.history = append(s.history, version)
	if len(s.history) > maxVersions {
		s.history = append([]Version(nil), s.history[len(s.history)-maxVersions:]...)
	}
	if s.OnAccept != nil {
		s.OnAccept(version, s.view)
	}
}

func (s *Store) notifyOutcome(o Outcome) {
	if s.OnOutcome != nil {
		s.OnOutcome(o)
	}
}

// Digest returns the hash of an edit's content without its id.
func Digest(edit tree.Edit) uint64 {
	edit.ID = ""
	return xxhash.Sum64(codec.Encode(edit))
}

func (s *Store) decide(edit tree.Edit) (Outcome, *tree.Tree) {
	if edit.Base != s.tree.Version {
		return s.conflict(edit), nil
	}
	next, refusal := s.Preview(edit)
	if refusal != nil {
		return Outcome{Version: s.tree.Version, Kind: refusal.Kind, Detail: refusal.Detail}, nil
	}
	return Outcome{Accepted: true, Version: next.Version, Differences: tree.Compare(s.tree, next)}, next
}

func (s *Store) conflict(edit tree.Edit) Outcome {
	o := Outcome{Version: s.tree.Version, Kind: core.VersionConflict}
	o.Detail = fmt.Sprintf("the edit was made against version %d; version %d is in force", edit.Base, s.tree.Version)
	base, err := s.At(edit.Base)
	if err == nil {
		o.Differences = tree.Compare(base, s.tree)
	}
	return o
}

// Preview returns the tree that an edit against the version in force would make, or why it is refused.
func (s *Store) Preview(edit tree.Edit) (*tree.Tree, *core.Refusal) {
	changes := edit.Changes
	if edit.RollbackTo != 0 {
		old, err := s.At(edit.RollbackTo)
		if err != nil {
			return nil, core.Refuse(core.NotFound, core.RanNo, "%v", err)
		}
		changes = tree.Changes(tree.Compare(s.tree, old))
	}
	if len(changes) == 0 {
		return nil, core.Refuse(core.Invalid, core.RanNo, "the edit changes nothing")
	}
	next, err := s.tree.With(changes)
	if err != nil {
		return nil, core.Refuse(core.Invalid, core.RanNo, "%v", err)
	}
	if err := tree.Check(next); err != nil {
		return nil, core.Refuse(core.Invalid, core.RanNo, "%v", err)
	}
	danger := s.Danger(s.view, tree.NewView(next))
	if danger != "" && !edit.Override {
		return nil, core.Refuse(core.Invalid, core.RanNo, "%s; this needs an explicit override", danger)
	}
	return next, nil
}

// At returns the tree of an older version; it returns an error if that version does not exist or is not retained.
func (s *Store) At(version uint64) (*tree.Tree, error) {
	if version > s.tree.Version {
		return nil, fmt.Errorf("version %d does not exist; version %d is in force", version, s.tree.Version)
	}
	oldest := s.tree.Version - uint64(len(s.history))
	if version < oldest {
		return nil, fmt.Errorf("version %d is no longer kept; the oldest is %d", version, oldest)
	}
	older := s.tree.Clone()
	for i := len(s.history) - 1; i >= 0 && s.history[i].Number > version; i-- {
		revert(older, s.history[i].Differences)
	}
	older.Version = version
	return older, nil
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

func (s *Store) storeOutcome(o Outcome) {
	s.outcomes[o.ID] = o
	s.outcomeOrder = append(s.outcomeOrder, o.ID)
	if len(s.outcomeOrder) > maxOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = append([]string(nil), s.outcomeOrder[1:]...)
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
func (s *Store) Snapshot() []byte {
	state := storeState{Tree: s.tree, History: s.history, Foundings: s.foundings, Published: s.published}
	for _, id := range s.outcomeOrder {
		state.Outcomes = append(state.Outcomes, s.outcomes[id])
	}
	return codec.Encode(state)
}

// Restore replaces the content of the store by a snapshot; it returns an error if the bytes can't be decoded.
func (s *Store) Restore(data []byte) error {
	state, err := codec.Decode[storeState](data)
	if err != nil {
		return err
	}
	if state.Tree.Nodes == nil {
		state.Tree.Nodes = map[tree.Path]tree.Values{}
	}
	core.Assert(state.Tree.Version >= s.tree.Version, "snapshot of version %d would replace version %d", state.Tree.Version, s.tree.Version)
	s.tree, s.view, s.history = state.Tree, tree.NewView(state.Tree), state.History
	s.outcomes, s.outcomeOrder = map[string]Outcome{}, nil
	s.foundings, s.published = state.Foundings, state.Published
	if s.foundings == nil {
		s.foundings = map[string]Founding{}
	}
	for _, o := range state.Outcomes {
		s.storeOutcome(o)
	}
	if s.OnAccept != nil {
		s.OnAccept(Version{Number: state.Tree.Version}, s.view)
	}
	return nil
}
