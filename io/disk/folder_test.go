package disk_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fake"
	"clementinelock/io/disk"
)

func open(t *testing.T, path string) (*disk.Folder, core.Stored, error) {
	t.Helper()
	f := &disk.Folder{Path: path}
	if err := f.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	stored, err := f.Load()
	return f, stored, err
}

func record(index uint64, data string) core.Record {
	return core.Record{Index: index, Term: 1, Data: []byte(data)}
}

// folderWithWrites returns a closed folder with three acknowledged writes.
func folderWithWrites(t *testing.T) string {
	t.Helper()
	path := t.TempDir()
	f, _, err := open(t, path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(3) {
		if err := f.Apply(core.Write{Seq: i + 1, Records: []core.Record{record(i+1, fmt.Sprintf("record %d", i+1))}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestDamage checks that Load truncates a tail of the log that was never acknowledged, and returns an error with the
// file's name on any other damage.
func TestDamage(t *testing.T) {
	cases := []struct {
		name   string
		damage func(log []byte) []byte
		kept   int
		fails  string
	}{
		{"nothing", func(log []byte) []byte { return log }, 3, ""},
		{"half a frame behind the end", func(log []byte) []byte { return append(log, 9, 0, 0, 0, 1, 2) }, 3, ""},
		{"garbage behind the end", func(log []byte) []byte { return append(log, []byte(strings.Repeat("garbage ", 20))...) }, 3, ""},
		{"last acknowledged byte flipped", func(log []byte) []byte { log[len(log)-1] ^= 1; return log }, 0, "Log"},
		{"byte in the middle flipped", func(log []byte) []byte { log[len(log)/2] ^= 1; return log }, 0, "Log"},
		{"head flipped", func(log []byte) []byte { log[10] ^= 1; return log }, 0, "Log"},
		{"acknowledged tail missing", func(log []byte) []byte { return log[:len(log)-4] }, 0, "Log"},
		{"all but the head missing", func(log []byte) []byte { return log[:60] }, 0, "Log"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := folderWithWrites(t)
			file := filepath.Join(path, "Log")
			log, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(file, c.damage(log), 0o600); err != nil {
				t.Fatal(err)
			}
			_, stored, err := open(t, path)
			if c.fails != "" {
				if err == nil || !strings.Contains(err.Error(), c.fails) {
					t.Fatalf("error %v does not name %s", err, c.fails)
				}
				return
			}
			if err != nil || len(stored.Records) != c.kept {
				t.Fatalf("Load returned %d records, error %v", len(stored.Records), err)
			}
		})
	}
}

// TestContract checks that the folder and the fake disk of the simulations hold the same state after the same writes
// and restarts.
func TestContract(t *testing.T) {
	writes := []core.Write{
		{Seq: 1, Vote: &core.Vote{Term: 3, For: "a", Incarnation: 1, Boot: 2, Commit: 1}},
		{Seq: 2, Records: []core.Record{record(1, "one"), record(2, "two"), record(3, "three")}},
		{Seq: 3, TruncateFrom: 2, Records: []core.Record{record(2, "other")}},
		{Seq: 4, Records: []core.Record{record(3, "third"), record(4, "fourth")}},
		{Seq: 5, Snapshot: &core.Snapshot{Index: 3, Term: 1, Data: []byte("state")}},
		{Seq: 6, Records: []core.Record{record(5, "fifth")}},
		{Seq: 7, Snapshot: &core.Snapshot{Index: 9, Term: 2, Data: []byte("newer")}, TruncateFrom: 10},
		{Seq: 8, Records: []core.Record{record(10, "tenth")}},
	}
	path := t.TempDir()
	if err := disk.Initialise(path); err != nil {
		t.Fatal(err)
	}
	model := fake.NewDisk(1)
	for _, w := range writes {
		f, _, err := open(t, path)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.Apply(w); err != nil {
			t.Fatal(err)
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
		model.Queue(w)
		model.Sync(w.Seq)
		again, stored, err := open(t, path)
		if err != nil {
			t.Fatal(err)
		}
		if err := again.Close(); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(stored.Records) != fmt.Sprint(model.Stored.Records) || !reflect.DeepEqual(stored.Snapshot, model.Stored.Snapshot) || stored.Vote != model.Stored.Vote {
			t.Fatalf("after write %d the folder holds %+v, the fake %+v", w.Seq, stored, model.Stored)
		}
	}
}

func TestIdentity(t *testing.T) {
	path := t.TempDir()
	if err := disk.Initialise(path); err != nil {
		t.Fatal(err)
	}
	if err := disk.Initialise(path); err == nil {
		t.Fatal("Initialise accepted a folder that belongs to a replica")
	}
	f, stored, err := open(t, path)
	if err != nil || stored.Vote.Incarnation != 1 {
		t.Fatalf("incarnation %d, error %v", stored.Vote.Incarnation, err)
	}
	second := &disk.Folder{Path: path}
	if err := second.Open(); err == nil {
		t.Fatal("Open accepted a folder that is locked")
	}
	if err := f.Reset("test"); err != nil {
		t.Fatal(err)
	}
	_, stored, err = open(t, path)
	if err != nil || stored.Vote.Incarnation <= 1 {
		t.Fatalf("a reset folder has incarnation %d, error %v", stored.Vote.Incarnation, err)
	}
}

// TestSyncAfterFailedWrite checks that Sync completes a write that failed, and that no record is lost or duplicated.
func TestSyncAfterFailedWrite(t *testing.T) {
	path := folderWithWrites(t)
	f, stored, err := open(t, path)
	if err != nil {
		t.Fatal(err)
	}
	// A folder with the name of the temporary file makes the rewrite of the log fail.
	blocker := filepath.Join(path, "Log.new")
	if err := os.MkdirAll(filepath.Join(blocker, "full"), 0o700); err != nil {
		t.Fatal(err)
	}
	snapshot := core.Snapshot{Index: 2, Term: 1, Data: []byte("state")}
	writes := []core.Write{{Seq: 1, Snapshot: &snapshot}, {Seq: 2, Records: []core.Record{record(4, "record 4")}}}
	if err := f.Apply(writes...); err == nil {
		t.Fatal("Apply returned no error for a write that could not be synced")
	}
	if err := f.Sync(); err == nil {
		t.Fatal("Sync returned no error for a write that could not be synced")
	}
	if err := os.RemoveAll(blocker); err != nil {
		t.Fatal(err)
	}
	if err := f.Sync(); err != nil {
		t.Fatal(err)
	}
	if err := f.Apply(core.Write{Seq: 3, Records: []core.Record{record(5, "record 5")}}); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	_, again, err := open(t, path)
	if err != nil {
		t.Fatal(err)
	}
	want := append(stored.Records[2:], record(4, "record 4"), record(5, "record 5"))
	if again.Snapshot.Index != 2 || !reflect.DeepEqual(again.Records, want) {
		t.Fatalf("the folder holds snapshot %d and %v, expected %v", again.Snapshot.Index, again.Records, want)
	}
}

// TestMarkAfterFailedWrites guards against a mark that overwrites its one valid slot after the write of the other one has
// failed: a loss of power in that write leaves no mark, and damage before the acknowledged end goes unnoticed.
func TestMarkAfterFailedWrites(t *testing.T) {
	path := t.TempDir()
	f, _, err := open(t, path)
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(1); i <= 4; i++ {
		if err := f.Apply(core.Write{Seq: i, Records: []core.Record{record(i, strings.Repeat("x", 64))}}); err != nil {
			t.Fatal(err)
		}
	}
	acknowledged := f.Marked(t)
	f.FailMark(t, true)
	if err := f.Apply(core.Write{Seq: 5, Records: []core.Record{record(5, "y")}}); err == nil {
		t.Fatal("a write whose mark can't be written was acknowledged")
	}
	f.FailMark(t, false)
	// The loss of power leaves a part of the next slot.
	f.TearNextMark(t)
	if got := f.Marked(t); got < acknowledged {
		t.Errorf("%d bytes are marked as synced after two failed writes, %d were before", got, acknowledged)
	}
}

// TestInterruptedReset guards against a fenced host that can't start any more: the power was lost while its files were moved to a
// subfolder, and those that were left did not fit each other.
func TestInterruptedReset(t *testing.T) {
	for _, obstacle := range []string{"Identity", "Log", "Mark", "Snapshot-2"} {
		t.Run(obstacle, func(t *testing.T) {
			path := t.TempDir()
			f, _, err := open(t, path)
			if err != nil {
				t.Fatal(err)
			}
			apply(t, f, core.Write{Seq: 1, Records: []core.Record{record(1, "one"), record(2, "two"), record(3, strings.Repeat("three", 100))}})
			if obstacle == "Snapshot-2" {
				apply(t, f, core.Write{Seq: 2, Snapshot: &core.Snapshot{Index: 2, Term: 1, Data: []byte("state")}})
			}
			// A folder in the place of a file ends the moves there.
			if err := os.MkdirAll(filepath.Join(path, "Fenced-x", obstacle, "full"), 0o700); err != nil {
				t.Fatal(err)
			}
			if err := f.Reset("x"); err == nil {
				t.Fatal("the files were moved in spite of the obstacle")
			}
			for start := range 3 {
				f, _, err := open(t, path)
				if err != nil {
					t.Fatalf("start %d: %v", start+1, err)
				}
				// The first start ends before it has written anything.
				if start > 0 {
					apply(t, f, core.Write{Seq: 1, Vote: &core.Vote{Term: 2, Boot: uint64(start)}})
				}
				if err := f.Close(); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

func apply(t *testing.T, f *disk.Folder, w core.Write) {
	t.Helper()
	if err := f.Apply(w); err != nil {
		t.Fatal(err)
	}
}
