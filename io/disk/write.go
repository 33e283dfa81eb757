package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"clementinelock/core"
	"clementinelock/core/codec"
)

// Apply applies writes in their order and returns once all are synced. After an error, Sync tries again.
func (f *Folder) Apply(writes ...core.Write) error {
	for _, w := range writes {
		next := frame{Vote: w.Vote, TruncateFrom: w.TruncateFrom, Records: w.Records}
		if w.Snapshot != nil {
			f.installSnapshot(*w.Snapshot)
			f.snapshotDue = true
		}
		if err := f.applyFrame(next); err != nil {
			return fmt.Errorf("write %d: %w", w.Seq, err)
		}
		f.unsynced = appendFrame(f.unsynced, f.size+int64(len(f.unsynced)), next)
	}
	return f.Sync()
}

// Sync writes what is not on disk yet. It may be called again after an error: it then writes all unsynced data again,
// as data may be lost when a sync fails.
func (f *Folder) Sync() error {
	if f.snapshotDue {
		if err := f.writeSnapshot(f.state.Snapshot); err != nil {
			return err
		}
		if err := f.rewriteLog(); err != nil {
			return err
		}
		f.snapshotDue = false
		f.unsynced = nil
		return nil
	}
	if len(f.unsynced) == 0 {
		return nil
	}
	if err := f.appendLog(f.unsynced); err != nil {
		return err
	}
	f.unsynced = nil
	return nil
}

func (f *Folder) appendLog(data []byte) error {
	if _, err := f.log.WriteAt(data, f.size); err != nil {
		return err
	}
	if err := f.log.Sync(); err != nil {
		return err
	}
	if err := f.writeMark(f.size + int64(len(data))); err != nil {
		return err
	}
	f.size += int64(len(data))
	return nil
}

// installSnapshot replaces the snapshot and drops the records that it covers.
func (f *Folder) installSnapshot(snapshot core.Snapshot) {
	covered := int64(snapshot.Index) - int64(f.state.Snapshot.Index)
	if covered >= int64(len(f.state.Records)) {
		f.state.Records = nil
	} else if covered > 0 {
		f.state.Records = append([]core.Record(nil), f.state.Records[covered:]...)
	}
	f.state.Snapshot = core.Snapshot{Index: snapshot.Index, Term: snapshot.Term, Data: snapshot.Data}
}

// rewriteLog replaces the log file by a new one that begins with the current state.
func (f *Folder) rewriteLog() error {
	f.generation++
	vote := f.state.Vote
	h := &logHeader{Generation: f.generation, SnapshotIndex: f.state.Snapshot.Index}
	body := frame{Head: h, Vote: &vote, Records: f.state.Records}
	// The size of the frame depends on the encoded size of InitialBytes, so it is computed until it no longer changes.
	data := appendFrame(nil, 0, body)
	for int64(len(data)) != h.InitialBytes {
		h.InitialBytes = int64(len(data))
		data = appendFrame(nil, 0, body)
	}
	if err := writeFileAtomic(f.Path, logName, data); err != nil {
		return err
	}
	if err := f.reopenLog(int64(len(data))); err != nil {
		return err
	}
	return f.removeOldSnapshots()
}

func (f *Folder) reopenLog(size int64) error {
	log, err := os.OpenFile(filepath.Join(f.Path, logName), os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	old := f.log
	f.log, f.size = log, size
	if err := old.Close(); err != nil {
		return err
	}
	return f.writeMark(size)
}

func (f *Folder) removeOldSnapshots() error {
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		number, found := strings.CutPrefix(entry.Name(), snapshotName)
		if !found || number == strconv.FormatUint(f.state.Snapshot.Index, 10) {
			continue
		}
		if err := os.Remove(filepath.Join(f.Path, entry.Name())); err != nil {
			return err
		}
	}
	return nil
}

// writeMark records how far the log is synced, in two slots in turn, so that one of them is always valid: after a
// failure the same slot is written again.
func (f *Folder) writeMark(size int64) error {
	var slot [markSlotBytes]byte
	binary.LittleEndian.PutUint64(slot[0:], f.generation)
	binary.LittleEndian.PutUint64(slot[8:], uint64(size))
	binary.LittleEndian.PutUint32(slot[16:], crc32.Checksum(slot[:16], castagnoli))
	next := 1 - f.markSlot
	if _, err := f.mark.WriteAt(slot[:], next*markSlotBytes); err != nil {
		return err
	}
	if err := f.mark.Sync(); err != nil {
		return err
	}
	f.markSlot = next
	return nil
}

// readMark returns the synced length of this log file in bytes, by the valid slots of its generation.
func (f *Folder) readMark() (int64, error) {
	data, err := os.ReadFile(f.mark.Name())
	if err != nil {
		return 0, err
	}
	marked := int64(0)
	for len(data) >= markSlotBytes {
		slot := data[:markSlotBytes]
		data = data[markSlotBytes:]
		valid := crc32.Checksum(slot[:16], castagnoli) == binary.LittleEndian.Uint32(slot[16:])
		if valid && binary.LittleEndian.Uint64(slot) == f.generation {
			marked = max(marked, int64(binary.LittleEndian.Uint64(slot[8:])))
		}
	}
	return marked, nil
}

func (f *Folder) writeSnapshot(snapshot core.Snapshot) error {
	data := appendFrame(nil, int64(snapshot.Index), frame{Records: []core.Record{{Index: snapshot.Index, Term: snapshot.Term, Data: snapshot.Data}}})
	return writeFileAtomic(f.Path, snapshotName+strconv.FormatUint(snapshot.Index, 10), data)
}

func (f *Folder) readSnapshot(index uint64) (core.Snapshot, error) {
	path := filepath.Join(f.Path, snapshotName+strconv.FormatUint(index, 10))
	data, err := os.ReadFile(path)
	if err != nil {
		return core.Snapshot{}, err
	}
	if len(data) < frameHeaderBytes || checksum(int64(index), data[frameHeaderBytes:]) != binary.LittleEndian.Uint32(data[4:]) {
		return core.Snapshot{}, fmt.Errorf("file %q is damaged: checksum does not match", path)
	}
	decoded, err := codec.Decode[frame](data[frameHeaderBytes:])
	if err != nil || len(decoded.Records) != 1 {
		return core.Snapshot{}, fmt.Errorf("file %q does not contain a snapshot", path)
	}
	record := decoded.Records[0]
	return core.Snapshot{Index: record.Index, Term: record.Term, Data: record.Data}, nil
}

// writeFileAtomic writes a complete file or none, by renaming a temporary file, and syncs the file and its folder.
func writeFileAtomic(folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	file, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	return syncFolder(folder)
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	err = folder.Sync()
	if closeErr := folder.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Reset moves a fenced replica's files to a subfolder, so that the host restarts as a new incarnation. After each move the files that
// are left can be loaded: a mark that outlasts its log would tell that the next one has lost its end, and a log would lack its snapshot.
func (f *Folder) Reset(suffix string) error {
	if err := f.Close(); err != nil {
		return err
	}
	fencedFolder := filepath.Join(f.Path, "Fenced-"+suffix)
	if err := os.MkdirAll(fencedFolder, folderMode); err != nil {
		return err
	}
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return err
	}
	names := []string{identityName, markName}
	for _, entry := range entries {
		if name := entry.Name(); !entry.IsDir() && name != lockName && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, name := range names {
		if err := os.Rename(filepath.Join(f.Path, name), filepath.Join(fencedFolder, name)); err != nil {
			return err
		}
		// After a loss of power a move that was not synced may be undone while a later one is kept.
		if err := syncFolder(f.Path); err != nil {
			return err
		}
	}
	return nil
}
