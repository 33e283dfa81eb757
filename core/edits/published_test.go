package edits_test

import (
	"reflect"
	"testing"

	"clementinelock/core/codec"
	"clementinelock/core/edits"
	"clementinelock/core/routes"
)

func publish(version uint64, text string) edits.Command {
	return edits.Command{Publish: &routes.Document{Version: version, Text: []byte(text)}}
}

func evacuation(zone string, active bool) edits.Command {
	return edits.Command{Evacuation: &edits.Evacuation{Zone: zone, Active: active}}
}

// TestPublished checks that the highest version is in force, that other content under a stored version is ignored,
// and that a snapshot keeps the state.
func TestPublished(t *testing.T) {
	steps := []struct {
		command   edits.Command
		version   uint64
		text      string
		index     uint64
		evacuated []string
	}{
		{publish(3, "three"), 3, "three", 1, nil},
		{publish(2, "two"), 3, "three", 1, nil},
		{publish(3, "other"), 3, "three", 1, nil},
		{evacuation("b", true), 3, "three", 4, []string{"b"}},
		{evacuation("a", true), 3, "three", 5, []string{"a", "b"}},
		{evacuation("a", true), 3, "three", 5, []string{"a", "b"}},
		{publish(9, "nine"), 9, "nine", 7, []string{"a", "b"}},
		{evacuation("b", false), 9, "nine", 8, []string{"a"}},
		{evacuation("c", false), 9, "nine", 8, []string{"a"}},
	}
	store := edits.NewStore()
	for i, step := range steps {
		store.Apply(uint64(i+1), codec.Encode(step.command))
		restored := edits.NewStore()
		if err := restored.Restore(store.Snapshot()); err != nil {
			t.Fatal(err)
		}
		for _, b := range []*edits.Store{store, restored} {
			p := b.Published()
			if p.Document.Version != step.version || string(p.Document.Text) != step.text || p.Index != step.index || !reflect.DeepEqual(p.Evacuated, step.evacuated) {
				t.Fatalf("step %d: published is %+v, expected %+v", i+1, p, step)
			}
		}
	}
}
