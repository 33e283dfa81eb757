package tree

import (
	"fmt"
	"maps"
	"slices"
)

// Change sets one setting at one node, or removes it if Unset is true.
type Change struct {
	Path    Path
	Setting string
	Value   string
	Unset   bool
}

// Edit is an operator's set of changes, made against the version Base.
type Edit struct {
	ID       string
	Author   string
	Base     uint64
	Changes  []Change
	Override bool
	// RollbackTo asks for the settings of an older version as a new one; Changes is then empty.
	RollbackTo uint64
}

// Difference is one setting that differs between two trees; a Present flag is false for the tree that does not
// have it.
type Difference struct {
	Path       Path
	Setting    string
	Old, New   string
	OldPresent bool
	NewPresent bool
}

// String returns the difference as one line.
func (d Difference) String() string {
	switch {
	case !d.OldPresent:
		return fmt.Sprintf("+ %s %s = %q", d.Path, d.Setting, d.New)
	case !d.NewPresent:
		return fmt.Sprintf("- %s %s = %q", d.Path, d.Setting, d.Old)
	default:
		return fmt.Sprintf("~ %s %s = %q (was %q)", d.Path, d.Setting, d.New, d.Old)
	}
}

// With returns the tree with the changes and the next version; it returns an error if a change is not valid.
func (t *Tree) With(changes []Change) (*Tree, error) {
	next := t.Clone()
	next.Version = t.Version + 1
	for _, change := range changes {
		if err := next.apply(change); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func (t *Tree) apply(change Change) error {
	row, err := FindSetting(change.Setting)
	if err != nil {
		return err
	}
	if change.Unset {
		delete(t.Nodes[change.Path], change.Setting)
		if len(t.Nodes[change.Path]) == 0 {
			delete(t.Nodes, change.Path)
		}
		return nil
	}
	if err := row.Check(change.Path, change.Value); err != nil {
		return err
	}
	if t.Nodes[change.Path] == nil {
		t.Nodes[change.Path] = Values{}
	}
	t.Nodes[change.Path][change.Setting] = change.Value
	return nil
}

// Compare returns the differences from old to next, ordered by path and setting.
func Compare(old, next *Tree) []Difference {
	var out []Difference
	paths := map[Path]Values{}
	maps.Copy(paths, old.Nodes)
	maps.Copy(paths, next.Nodes)
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		out = append(out, compareNode(path, old.Nodes[path], next.Nodes[path])...)
	}
	return out
}

func compareNode(path Path, old, next Values) []Difference {
	var out []Difference
	names := Values{}
	maps.Copy(names, old)
	maps.Copy(names, next)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, hadBefore := old[name]
		after, hasAfter := next[name]
		if before == after && hadBefore == hasAfter {
			continue
		}
		out = append(out, Difference{path, name, before, after, hadBefore, hasAfter})
	}
	return out
}

// Changes returns the changes that turn the old tree of the differences into the new one.
func Changes(differences []Difference) []Change {
	changes := make([]Change, len(differences))
	for i, d := range differences {
		changes[i] = Change{Path: d.Path, Setting: d.Setting, Value: d.New, Unset: !d.NewPresent}
	}
	return changes
}
