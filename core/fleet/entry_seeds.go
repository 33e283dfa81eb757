package fleet

import (
	"slices"

	"clementinelock/core"
)

// AddSeeds adds control hosts that changed settings name.
func (e *Entry) AddSeeds(_ core.Millis, names []string) core.Effects {
	out := &core.Effects{}
	e.currentSeeds = append(slices.Clone(e.currentSeeds), names...)
	e.restoreSeeds()
	out.Logf("host", "Settings reloaded: added seeds %v.", names)
	return *out
}

// restoreSeeds adds the seeds that the list of control hosts lacks: one that is cut off from the others lists only
// itself.
func (e *Entry) restoreSeeds() {
	for _, name := range e.currentSeeds {
		if !slices.ContainsFunc(e.controls, func(c ControlHost) bool { return c.Name == name }) {
			e.controls = append(slices.Clone(e.controls), ControlHost{Name: name})
		}
	}
}
