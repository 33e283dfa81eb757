package config

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"clementinelock/core/tree"

	"github.com/pelletier/go-toml/v2"
)

// Names of the tables of a tree file.
const (
	rootTable     = "Root"
	regionsTable  = "Regions"
	zonesTable    = "Zones"
	servicesTable = "Services"
)

// ReadTree reads and checks a tree file.
func ReadTree(file string) (*tree.Tree, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return ParseTree(file, data)
}

// ParseTree parses and checks a tree; file is the name of the text in errors.
func ParseTree(file string, data []byte) (*tree.Tree, error) {
	var document map[string]any
	if err := toml.Unmarshal(data, &document); err != nil {
		return nil, positionError(file, err)
	}
	p := &treeParser{lines: IndexLines(file, data), tree: &tree.Tree{Nodes: map[tree.Path]tree.Values{}}}
	if err := p.parseDocument(document); err != nil {
		return nil, err
	}
	if err := tree.Check(p.tree); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return p.tree, nil
}

type treeParser struct {
	lines *LineIndex
	tree  *tree.Tree
}

func (p *treeParser) parseDocument(document map[string]any) error {
	for _, name := range slices.Sorted(maps.Keys(document)) {
		table, ok := document[name].(map[string]any)
		switch {
		case !ok:
			return p.lines.Errorf(name, "expected the table %s or %s", rootTable, regionsTable)
		case name == rootTable:
			if err := p.parseNode(rootTable, tree.Parts{}, table, ""); err != nil {
				return err
			}
		case name == regionsTable:
			if err := p.eachTable(regionsTable, table, func(key, name string, inner map[string]any) error {
				return p.parseNode(key, tree.Parts{Region: name}, inner, zonesTable)
			}); err != nil {
				return err
			}
		default:
			return p.lines.Errorf(name, "no such key; expected %s or %s", rootTable, regionsTable)
		}
	}
	return nil
}

func (p *treeParser) eachTable(key string, table map[string]any, visit func(key, name string, inner map[string]any) error) error {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		inner, ok := table[name].(map[string]any)
		if !ok {
			return p.lines.Errorf(key+"."+name, "expected a table")
		}
		if err := visit(key+"."+name, name, inner); err != nil {
			return err
		}
	}
	return nil
}

// parseNode parses the settings of one node; childTable is the name of the table that holds its children, or empty.
func (p *treeParser) parseNode(key string, parts tree.Parts, table map[string]any, childTable string) error {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		inner, isTable := table[name].(map[string]any)
		var err error
		switch {
		case isTable && name == servicesTable && parts.Service == "":
			err = p.eachTable(key+"."+name, inner, func(key, service string, inner map[string]any) error {
				next := parts
				next.Service = service
				return p.parseNode(key, next, inner, "")
			})
		case isTable && name == childTable && childTable != "":
			err = p.eachTable(key+"."+name, inner, func(key, zone string, inner map[string]any) error {
				return p.parseNode(key, tree.Parts{Region: parts.Region, Zone: zone}, inner, "")
			})
		case isTable:
			err = p.lines.Errorf(key+"."+name, "no such table")
		default:
			err = p.parseSetting(key+"."+name, tree.PathOf(parts), name, table[name])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *treeParser) parseSetting(key string, path tree.Path, name string, value any) error {
	setting, err := tree.FindSetting(name)
	if err != nil {
		return p.lines.Errorf(key, "%v", err)
	}
	text, err := formatValue(value)
	if err != nil {
		return p.lines.Errorf(key, "%v; expected %s", err, setting.Expects)
	}
	if err := setting.Check(path, text); err != nil {
		return p.lines.Errorf(key, "%v", err)
	}
	if p.tree.Nodes[path] == nil {
		p.tree.Nodes[path] = tree.Values{}
	}
	p.tree.Nodes[path][name] = text
	return nil
}

// formatValue formats a TOML value as the tree stores it.
func formatValue(value any) (string, error) {
	switch v := value.(type) {
	case string:
		return v, nil
	case bool:
		return strconv.FormatBool(v), nil
	case int64:
		return strconv.FormatInt(v, 10), nil
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64), nil
	case []any:
		var items []string
		for _, item := range v {
			text, ok := item.(string)
			if !ok {
				return "", fmt.Errorf("the list contains %v, which is not a string", item)
			}
			items = append(items, text)
		}
		return strings.Join(items, ", "), nil
	}
	return "", fmt.Errorf("a value of type %T is not allowed", value)
}

// WriteTree formats a tree as a file that ReadTree accepts.
func WriteTree(t *tree.Tree) []byte {
	var out bytes.Buffer
	for _, path := range t.Paths() {
		parts, err := tree.ParsePath(path)
		if err != nil {
			continue
		}
		fmt.Fprintf(&out, "[%s]\n", tableName(parts))
		values := t.Nodes[path]
		for _, name := range slices.Sorted(maps.Keys(values)) {
			fmt.Fprintf(&out, "%s = %s\n", name, quoteTOML(values[name]))
		}
		out.WriteString("\n")
	}
	return out.Bytes()
}

func tableName(parts tree.Parts) string {
	table := rootTable
	if parts.Region != "" {
		table = regionsTable + "." + parts.Region
	}
	if parts.Zone != "" {
		table += "." + zonesTable + "." + parts.Zone
	}
	if parts.Service != "" {
		table += "." + servicesTable + "." + parts.Service
	}
	return table
}

// quoteTOML formats text as a TOML string, which every setting accepts.
func quoteTOML(text string) string {
	data, err := toml.Marshal(map[string]string{"V": text})
	if err != nil {
		return strconv.Quote(text)
	}
	return strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(string(data)), "V ="))
}
