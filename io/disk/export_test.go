package disk

import (
	"os"
	"testing"
)

// Marked returns how many bytes of the log are marked as synced.
func (f *Folder) Marked(t *testing.T) int64 {
	t.Helper()
	marked, err := f.readMark()
	if err != nil {
		t.Fatal(err)
	}
	return marked
}

// FailMark lets writes of the mark fail, or succeed again.
func (f *Folder) FailMark(t *testing.T, fail bool) {
	t.Helper()
	flag := os.O_RDWR
	if fail {
		flag = os.O_RDONLY
	}
	mark, err := os.OpenFile(f.mark.Name(), flag, fileMode)
	if err != nil {
		t.Fatal(err)
	}
	_ = f.mark.Close()
	f.mark = mark
}

// TearNextMark writes the mark and spoils the slot that was written, as a loss of power during the write does.
func (f *Folder) TearNextMark(t *testing.T) {
	t.Helper()
	before, err := os.ReadFile(f.mark.Name())
	if err != nil {
		t.Fatal(err)
	}
	if err := f.writeMark(f.size + 1); err != nil {
		t.Fatal(err)
	}
	after, err := os.ReadFile(f.mark.Name())
	if err != nil {
		t.Fatal(err)
	}
	for i := range after {
		if i >= len(before) || before[i] != after[i] {
			after[i] ^= 0xff
		}
	}
	if err := os.WriteFile(f.mark.Name(), after, fileMode); err != nil {
		t.Fatal(err)
	}
}
