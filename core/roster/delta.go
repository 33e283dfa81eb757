package roster

import (
	"fmt"

	"clementinelock/core"
	"clementinelock/core/codec"

	"github.com/klauspost/compress/zstd"
)

const (
	// minPackedEntries is the number of entries from which a list is compressed, to a quarter of its size.
	minPackedEntries = 100
	// compressionWindowBytes covers a list of 5,000 endpoints; a larger window only takes more memory.
	compressionWindowBytes = 256 << 10
	// maxUnpackedBytes bounds the size of a decompressed list; it fits 1 million endpoints.
	maxUnpackedBytes = 64 << 20
	// entryBytes and removedBytes are the approximate encoded sizes of an endpoint and of the id of a removed one.
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

// Delta holds the changes to a list between two of its numbers, or the whole list.
type Delta struct {
	// Process identifies the process that numbers the changes; From is 0 for the whole list.
	Process uint64 `cbor:"1,keyasint"`
	From    uint64 `cbor:"2,keyasint,omitempty"`
	Number  uint64 `cbor:"3,keyasint"`
	// Age is the time since the list was read from the platform.
	Age     core.Millis `cbor:"4,keyasint"`
	Entries []Entry     `cbor:"5,keyasint,omitempty"`
	Removed []string    `cbor:"6,keyasint,omitempty"`
	// Packed replaces Entries by their compressed encoding when they are many; Count is the number of entries in it.
	Packed []byte `cbor:"7,keyasint,omitempty"`
	Count  int    `cbor:"8,keyasint,omitempty"`
}

// Pack compresses the entries if they are at least minPackedEntries.
func (d *Delta) Pack() {
	if len(d.Entries) < minPackedEntries {
		return
	}
	d.Count = len(d.Entries)
	d.Packed = packer.EncodeAll(codec.Encode(d.Entries), nil)
	d.Entries = nil
}

// Unpack decompresses packed entries into Entries; it returns an error if Packed does not hold a list.
func (d *Delta) Unpack() error {
	if d.Packed == nil {
		return nil
	}
	data, err := unpacker.DecodeAll(d.Packed, nil)
	if err != nil {
		return fmt.Errorf("decompress list of %d endpoints: %w", d.Count, err)
	}
	entries, err := codec.Decode[[]Entry](data)
	if err != nil {
		return fmt.Errorf("decode list of %d endpoints: %w", d.Count, err)
	}
	d.Entries, d.Packed, d.Count = entries, nil, 0
	return nil
}

// Len returns the number of entries, packed or not.
func (d *Delta) Len() int {
	return len(d.Entries) + d.Count
}

// Size returns the approximate encoded size of the delta in bytes.
func (d *Delta) Size() int {
	return len(d.Packed) + entryBytes*len(d.Entries) + removedBytes*len(d.Removed)
}
