package pick_test

import (
	"math/rand/v2"
	"strings"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/roster"
)

// TestDrainingEndpointIsLogged checks that the log reports once, with the age of the list, when an endpoint
// starts draining.
func TestDrainingEndpointIsLogged(t *testing.T) {
	var lines []string
	table := &pick.Table{
		Region: "r", Zone: "z", RegionByZone: map[string]string{"z": "r"}, Rand: rand.New(rand.NewPCG(1, 1)), OnRemove: func(string) {},
		Log: func(_, text string) { lines = append(lines, text) },
	}
	entry := roster.Entry{ID: "i-1", Service: "s", Zone: "z", Address: "a", Slots: 3}
	view := fleet.View{ListKnown: true, Entries: fleet.EntryCounts{Zone: 1, Region: 1, All: 1}, Endpoints: []roster.Entry{entry}}
	table.Update(core.Hour, view, nil)
	entry.Draining = true
	view.Endpoints, view.ListAge = []roster.Entry{entry}, 250
	table.Update(core.Hour, view, nil)
	table.Update(core.Hour+1, view, nil)
	if len(lines) != 1 || !strings.Contains(lines[0], "i-1 of s in z is draining by a list read 250ms ago") {
		t.Fatalf("got log lines %q, want one about the draining endpoint with the age of the list", lines)
	}
}
