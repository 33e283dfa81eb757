package tree

import (
	"fmt"
	"strings"
)

// Path names a node of the tree: "/", "/region" or "/region/zone", with ":service" behind it for a service's own entry at that node.
type Path string

// Root is the path of the tree's root.
const Root Path = "/"

// Parts is a path taken apart; empty fields stand for levels that the path does not name.
type Parts struct {
	Region, Zone, Service string
}

// ParsePath takes a path apart; it errs on a form that names no node.
func ParsePath(p Path) (Parts, error) {
	text := string(p)
	node, service, scoped := strings.Cut(text, ":")
	if !strings.HasPrefix(node, "/") || (scoped && service == "") {
		return Parts{}, fmt.Errorf("path %q does not have the form /region/zone:service", p)
	}
	parts := Parts{Service: service}
	if node == "/" {
		return parts, nil
	}
	levels := strings.Split(node[1:], "/")
	if len(levels) > 2 {
		return Parts{}, fmt.Errorf("path %q has more levels than region and zone", p)
	}
	for _, level := range levels {
		if !validName(level) {
			return Parts{}, fmt.Errorf("path %q holds the name %q, which is not lower-case letters, digits and hyphens", p, level)
		}
	}
	if scoped && !validName(service) {
		return Parts{}, fmt.Errorf("path %q holds the service %q, which is not lower-case letters, digits and hyphens", p, service)
	}
	parts.Region = levels[0]
	if len(levels) == 2 {
		parts.Zone = levels[1]
	}
	return parts, nil
}

// PathOf writes the path of the parts.
func PathOf(parts Parts) Path {
	text := "/" + parts.Region
	if parts.Zone != "" {
		text += "/" + parts.Zone
	}
	if parts.Service != "" {
		text += ":" + parts.Service
	}
	return Path(text)
}

// Lineage lists the paths that a zone's service takes its settings from, nearest first.
func Lineage(region, zone, service string) []Path {
	return []Path{
		PathOf(Parts{region, zone, service}), PathOf(Parts{region, zone, ""}),
		PathOf(Parts{region, "", service}), PathOf(Parts{region, "", ""}),
		PathOf(Parts{"", "", service}), Root,
	}
}

const maxNameLength = 63

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}
