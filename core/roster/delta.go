package roster

import (
	"fmt"

	"clementinelock/core"
	"clementinelock/core/codec"

	"github.com/klauspost/compress/zstd"
)

const (
	// minPackedEntries is from how many entries on a list travels compressed; it then takes a quarter of the bytes.
	minPackedEntries = 100
	// compressionWindowBytes covers a list of 5,000 endpoints; a larger one only takes more memory.
	compressionWindowBytes = 256 << 10
	// maxUnpackedBytes bounds what a list takes once it is unpacked, in bytes: 1 million endpoints.
	maxUnpackedBytes = 64 << 20
	// entryBytes and removedBytes are about what one endpoint, and the id of a removed one, take on the way.
	entryBytes   = 60
	removedBytes = 16
)

var (
	packer   = mustPacker()
	unpacker = mustUnpacker()
)

func mustPacker() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(compressionWindowBytes))
	if err != nil {
		panic(err)
	}
	return encoder
}

func mustUnpacker() *zstd.Decoder {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		panic(err)
	}
	return decoder
}

// Delta is what changed in a list between two of its numbers.
type Delta struct {
	// Process tells apart the processes that number the list; From is 0 for the whole list.
	Process uint64 `cbor:"1,keyasint"`
	From    uint64 `cbor:"2,keyasint,omitempty"`
	Number  uint64 `cbor:"3,keyasint"`
	// Age is how long ago the list was read from the platform.
	Age     core.Millis `cbor:"4,keyasint"`
	Entries []Entry     `cbor:"5,keyasint,omitempty"`
	Removed []string    `cbor:"6,keyasint,omitempty"`
	// Packed holds many entries in place of Entries, compressed; Count is how many they are.
	Packed []byte `cbor:"7,keyasint,omitempty"`
	Count  int    `cbor:"8,keyasint,omitempty"`
}

// Pack compresses the entries when they are many.
func (d *Delta) Pack() {
	if len(d.Entries) < minPackedEntries {
		return
	}
	d.Count = len(d.Entries)
	d.Packed = packer.EncodeAll(codec.Encode(d.Entries), nil)
	d.Entries = nil
}

// Unpack puts packed entries back in place; it errs on bytes that are no list.
func (d *Delta) Unpack() error {
	if d.Packed == nil {
		return nil
	}
	data, err := unpacker.DecodeAll(d.Packed, nil)
	if err != nil {
		return fmt.Errorf("packed list of %d endpoints: %w", d.Count, err)
	}
	entries, err := codec.Decode[[]Entry](data)
	if err != nil {
		return fmt.Errorf("packed list of %d endpoints: %w", d.Count, err)
	}
	d.Entries, d.Packed, d.Count = entries, nil, 0
	return nil
}

// Len returns how many entries the delta has.
func (d *Delta) Len() int {
	return len(d.Entries) + d.Count
}

// Size returns about how many bytes the delta takes on the way.
func (d *Delta) Size() int {
	return len(d.Packed) + entryBytes*len(d.Entries) + removedBytes*len(d.Removed)
}
