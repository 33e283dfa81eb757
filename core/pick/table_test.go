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

// TestShedRequestsLeaveNoTrace lets an endpoint turn requests away that were chosen just before the limit on shifts
// begins to count in its next bin and sent just after that: the shares of the regions must not count them.
func TestShedRequestsLeaveNoTrace(t *testing.T) {
	table := &pick.Table{Region: "r", Zone: "z", RegionByZone: map[string]string{"z": "r", "y": "q"}, Rand: rand.New(rand.NewPCG(1, 1)), OnRemove: func(string) {}}
	view := fleet.View{ListKnown: true, Entries: fleet.EntryCounts{Zone: 1, Region: 1, All: 2}, Endpoints: []roster.Entry{
		{ID: "i-1", Service: "s", Zone: "z", Address: "a", Slots: 300}, {ID: "i-2", Service: "s", Zone: "y", Address: "b", Slots: 300},
	}}
	now := core.Hour
	table.Update(now, view, nil)
	choose := func(region string) pick.Choice {
		choice, refusal := table.Choose(now, pick.Request{Service: "s", Remaining: core.Minute, Regions: []string{region}})
		if refusal != nil {
			t.Fatal(refusal)
		}
		return choice
	}
	for i := range 40 {
		now = core.Hour + core.Millis(i)*100 + 99
		kept, shed := choose("r"), choose("q")
		table.Done(now+3, shed, pick.Shed, 1, nil)
		table.Done(now+3, kept, pick.Good, 1, nil)
	}
	if share := table.Dump(now).Share["q"]; share != 0 {
		t.Fatalf("the share of a region that turned all requests away is %g, expected 0", share)
	}
}
