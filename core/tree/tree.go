package tree

import (
	"maps"
	"slices"
	"time"

	"clementinelock/core"
)

// Values maps a setting's name to its text.
type Values map[string]string

// Tree is one version of the settings; it is not modified once it is shared.
type Tree struct {
	Version uint64
	Nodes   map[Path]Values
}

// Clone returns a copy that may be modified.
func (t *Tree) Clone() *Tree {
	nodes := make(map[Path]Values, len(t.Nodes))
	for path, values := range t.Nodes {
		nodes[path] = maps.Clone(values)
	}
	return &Tree{Version: t.Version, Nodes: nodes}
}

// Paths returns the tree's paths in sorted order.
func (t *Tree) Paths() []Path {
	return slices.Sorted(maps.Keys(t.Nodes))
}

// Origin is a value in force and the node that it comes from; Path is empty for the default.
type Origin struct {
	Setting string
	Value   string
	Path    Path
}

// Explain returns a setting's value for a zone's service and the node that it comes from; it returns an error
// if the setting does not exist.
func (t *Tree) Explain(region, zone, service, setting string) (Origin, error) {
	row, err := FindSetting(setting)
	if err != nil {
		return Origin{}, err
	}
	for _, path := range Lineage(region, zone, service) {
		if value, ok := t.Nodes[path][setting]; ok {
			return Origin{setting, value, path}, nil
		}
	}
	return Origin{setting, row.Default, ""}, nil
}

// Resolve returns all settings in force for a zone's service; the tree must have passed Check.
func (t *Tree) Resolve(region, zone, service string) *Service {
	resolved := &Service{}
	lineage := Lineage(region, zone, service)
	for i := range Settings {
		row := &Settings[i]
		text := row.Default
		for _, path := range lineage {
			value, ok := t.Nodes[path][row.Name]
			if ok {
				text = value
				break
			}
		}
		err := row.set(resolved, text)
		core.Assert(err == nil, "checked tree holds %s = %q: %v", row.Name, text, err)
	}
	return resolved
}

func parseInstant(text string) (core.Millis, error) {
	instant, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, err
	}
	return core.Millis(instant.UnixMilli()), nil
}
