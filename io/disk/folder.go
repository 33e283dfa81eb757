package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"clementinelock/core"
	"clementinelock/core/codec"
)

const (
	logName          = "Log"
	markName         = "Mark"
	identityName     = "Identity"
	lockName         = "Lock"
	snapshotName     = "Snapshot-"
	frameHeaderBytes = 8 // a frame's size and checksum
	markSlotBytes    = 24
	maxFrameBytes    = 256 << 20
	folderMode       = 0o700
	fileMode         = 0o600
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is one entry of the log file.
type frame struct {
	// Head is set in a file's first frame only.
	Head         *logHeader
	Vote         *core.Vote
	TruncateFrom uint64
	Records      []core.Record
}

// logHeader describes a log file: its generation, the index of the snapshot before it, and how many bytes were synced
// before the file was renamed into place.
type logHeader struct {
	Generation    uint64
	SnapshotIndex uint64
	InitialBytes  int64
}

// Folder is a replica's data folder; Path must be set before Open is called.
type Folder struct {
	Path string

	lock       *os.File
	log        *os.File
	mark       *os.File
	size       int64
	generation uint64
	markSlot   int64
	state      core.Stored
	// unsynced holds the frames that are not on disk yet; snapshotDue is set while the snapshot is not.
	unsynced    []byte
	snapshotDue bool
}

// Initialise makes the data folder of the first member of a new group; it returns an error if the folder already
// belongs to a replica.
func Initialise(path string) error {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(path, identityName)); err == nil {
		return fmt.Errorf("data folder %q already belongs to a replica", path)
	}
	return writeFileAtomic(path, identityName, []byte("1\n"))
}

// IsInitialised reports whether a data folder already belongs to a replica; it returns an error if the folder can't be
// read.
func IsInitialised(path string) (bool, error) {
	_, err := os.Stat(filepath.Join(path, identityName))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	return err == nil, err
}

// Open locks the folder; it returns an error if another process holds the lock.
func (f *Folder) Open() error {
	if err := os.MkdirAll(f.Path, folderMode); err != nil {
		return err
	}
	lock, err := os.OpenFile(filepath.Join(f.Path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return errors.Join(fmt.Errorf("data folder %q is in use by another process", f.Path), lock.Close())
	}
	f.lock = lock
	return nil
}

// Close closes the folder's files.
func (f *Folder) Close() error {
	var all []error
	for _, file := range []*os.File{f.log, f.mark, f.lock} {
		if file != nil {
			all = append(all, file.Close())
		}
	}
	f.log, f.mark, f.lock = nil, nil, nil
	return errors.Join(all...)
}

// Load returns the state that the folder holds. A tail of the log that was never acknowledged is truncated; any other
// damage is an error that names the file.
func (f *Folder) Load() (core.Stored, error) {
	incarnation, err := f.identity()
	if err != nil {
		return core.Stored{}, err
	}
	f.state = core.Stored{Vote: core.Vote{Incarnation: incarnation}}
	if err := f.openFiles(); err != nil {
		return core.Stored{}, err
	}
	if f.size == 0 {
		return f.state, f.rewriteLog()
	}
	if err := f.scan(); err != nil {
		return core.Stored{}, err
	}
	f.state.Vote.Incarnation = incarnation
	return f.state, nil
}

// identity reads the replica's incarnation; a folder without one gets a new random one, which no group knows as a
// voter.
func (f *Folder) identity() (uint64, error) {
	path := filepath.Join(f.Path, identityName)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		incarnation := rand.Uint64N(1<<62) + 2
		return incarnation, writeFileAtomic(f.Path, identityName, []byte(strconv.FormatUint(incarnation, 10)+"\n"))
	}
	if err != nil {
		return 0, err
	}
	incarnation, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("file %q does not contain an incarnation number", path)
	}
	return incarnation, nil
}

func (f *Folder) openFiles() error {
	var err error
	f.log, err = os.OpenFile(filepath.Join(f.Path, logName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	f.mark, err = os.OpenFile(filepath.Join(f.Path, markName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	info, err := f.log.Stat()
	if err != nil {
		return err
	}
	f.size = info.Size()
	return syncFolder(f.Path)
}

// scan reads the log file frame by frame into the state, and truncates a tail that was never acknowledged.
func (f *Folder) scan() error {
	data, err := os.ReadFile(f.log.Name())
	if err != nil {
		return err
	}
	acknowledged := int64(0)
	offset := int64(0)
	for offset < int64(len(data)) {
		next, size, err := readFrame(data, offset)
		if err != nil && offset < max(acknowledged, 1) {
			return fmt.Errorf("file %q is damaged at byte %d, before its acknowledged end at byte %d: %w", f.log.Name(), offset, acknowledged, err)
		}
		if err != nil {
			break
		}
		if offset == 0 {
			if acknowledged, err = f.readLogHeader(next); err != nil {
				return err
			}
		}
		if err := f.applyFrame(next); err != nil {
			return fmt.Errorf("file %q at byte %d: %w", f.log.Name(), offset, err)
		}
		offset += size
	}
	if offset < acknowledged {
		return fmt.Errorf("file %q ends at byte %d, before its acknowledged end at byte %d", f.log.Name(), offset, acknowledged)
	}
	return f.truncateLog(offset)
}

// readLogHeader loads the snapshot that a log file's first frame names, and returns the acknowledged length of the file
// in bytes.
func (f *Folder) readLogHeader(first frame) (int64, error) {
	if first.Head == nil {
		return 0, fmt.Errorf("file %q does not begin with a log header", f.log.Name())
	}
	f.generation = first.Head.Generation
	acknowledged := first.Head.InitialBytes
	marked, err := f.readMark()
	if err != nil {
		return 0, err
	}
	acknowledged = max(acknowledged, marked)
	if first.Head.SnapshotIndex == 0 {
		return acknowledged, nil
	}
	snapshot, err := f.readSnapshot(first.Head.SnapshotIndex)
	f.state.Snapshot = snapshot
	return acknowledged, err
}

// applyFrame applies a frame to the state.
func (f *Folder) applyFrame(next frame) error {
	if next.Vote != nil {
		f.state.Vote = *next.Vote
	}
	if next.TruncateFrom != 0 {
		f.truncateRecords(next.TruncateFrom)
	}
	for _, record := range next.Records {
		expected := f.state.Snapshot.Index + uint64(len(f.state.Records)) + 1
		if record.Index != expected {
			return fmt.Errorf("record has index %d, expected %d", record.Index, expected)
		}
		f.state.Records = append(f.state.Records, record)
	}
	return nil
}

func (f *Folder) truncateRecords(from uint64) {
	keep := int64(from) - int64(f.state.Snapshot.Index) - 1
	keep = max(0, min(keep, int64(len(f.state.Records))))
	f.state.Records = f.state.Records[:keep:keep]
}

func (f *Folder) truncateLog(size int64) error {
	f.size = size
	if err := f.log.Truncate(size); err != nil {
		return err
	}
	return f.log.Sync()
}

func readFrame(data []byte, offset int64) (frame, int64, error) {
	rest := data[offset:]
	if len(rest) < frameHeaderBytes {
		return frame{}, 0, fmt.Errorf("frame header is truncated")
	}
	size := int64(binary.LittleEndian.Uint32(rest))
	if size > maxFrameBytes || size > int64(len(rest)-frameHeaderBytes) {
		return frame{}, 0, fmt.Errorf("frame of %d bytes is truncated or too large", size)
	}
	body := rest[frameHeaderBytes : frameHeaderBytes+size]
	if checksum(offset, body) != binary.LittleEndian.Uint32(rest[4:]) {
		return frame{}, 0, fmt.Errorf("checksum does not match")
	}
	next, err := codec.Decode[frame](body)
	return next, frameHeaderBytes + size, err
}

// checksum covers the frame's position too, so that an old frame at another position is not accepted.
func checksum(offset int64, body []byte) uint32 {
	var position [8]byte
	binary.LittleEndian.PutUint64(position[:], uint64(offset))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, body)
}

func appendFrame(data []byte, offset int64, next frame) []byte {
	body := codec.Encode(next)
	data = binary.LittleEndian.AppendUint32(data, uint32(len(body)))
	data = binary.LittleEndian.AppendUint32(data, checksum(offset, body))
	return append(data, body...)
}
