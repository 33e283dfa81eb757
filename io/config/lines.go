package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// LineIndex maps the dotted keys of a document to their line numbers.
type LineIndex struct {
	File  string
	byKey map[string]int
}

// IndexLines indexes a document's keys; it stops at the first syntax error.
func IndexLines(file string, data []byte) *LineIndex {
	l := &LineIndex{File: file, byKey: map[string]int{}}
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	counts := map[string]int{}
	for parser.NextExpression() {
		node := parser.Expression()
		name, line := dottedKey(&parser, node)
		switch node.Kind {
		case unstable.Table:
			table = name
			l.add(table, line)
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			l.add(table, line)
		case unstable.KeyValue:
			l.add(joinKey(table, name), line)
		}
	}
	return l
}

func dottedKey(parser *unstable.Parser, node *unstable.Node) (name string, line int) {
	var parts []string
	keys := node.Key()
	for keys.Next() {
		part := keys.Node()
		parts = append(parts, string(part.Data))
		if line == 0 {
			line = parser.Shape(part.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}

func joinKey(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}

func (l *LineIndex) add(key string, line int) {
	if _, known := l.byKey[key]; !known {
		l.byKey[key] = line
	}
}

// Errorf returns an error that names the file, the line of the key or of the nearest table above it, and the key.
func (l *LineIndex) Errorf(key, format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	for prefix := key; prefix != ""; prefix = parentKey(prefix) {
		if line, ok := l.byKey[prefix]; ok {
			return fmt.Errorf("%s:%d: key %q: %s", l.File, line, key, text)
		}
	}
	return fmt.Errorf("%s: key %q: %s", l.File, key, text)
}

func parentKey(key string) string {
	dot := strings.LastIndexByte(key, '.')
	if dot < 0 {
		return ""
	}
	return key[:dot]
}

// positionError adds the file, line and key to an error of the TOML library.
func positionError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := &strict.Errors[0]
		row, _ := first.Position()
		return fmt.Errorf("%s:%d: key %q: no such key", file, row, strings.Join(first.Key(), "."))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return fmt.Errorf("%s:%d:%d: key %q: %s", file, row, column, strings.Join(decode.Key(), "."), decode.Error())
	}
	return fmt.Errorf("%s: %w", file, err)
}
