package tree

import (
	"fmt"
	"strings"
)

// Path names a node of the tree: "/", "/region" or "/region/zone", followed by ":service" for a service's own
// entry at that node.
type Path string

// Root is the path of the tree's root.
const Root Path = "/"

// Parts holds the parts of a path; a part that the path does not name is empty.
type Parts struct {
	Region, Zone, Service string
}

// ParsePath splits a path into its parts; it returns an error if the path has no valid form.
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

// PathOf returns the path of the parts.
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

// Lineage lists the paths from which a zone's service inherits its settings, nearest first.
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
