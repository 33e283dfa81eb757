package block

import (
	"fmt"
	"math/bits"
	"net/netip"
	"slices"
)

// Site is the number of a site that clients are sent to; 0 is no site.
type Site uint16

const (
	maxBitsV6          = 64
	initialSlots       = 16
	maxLoadNumerator   = 3
	maxLoadDenominator = 4
	// hashFactor is 2^64 divided by the golden ratio, the usual factor of multiplicative hashing.
	hashFactor = 0x9E3779B97F4A7C15
)

// lengthTable is the open-addressing hash table of one prefix length of one address family.
type lengthTable struct {
	bits    int
	v4      bool
	keys    []uint64
	sites   []Site
	count   int
	removed int
}

// Table maps address blocks to sites; a change is not safe concurrently with a look-up.
type Table struct {
	v4, v6 []*lengthTable
	count  int
}

// Len returns the number of blocks.
func (t *Table) Len() int {
	return t.count
}

// Bytes returns the memory that the slots take, in bytes.
func (t *Table) Bytes() int {
	total := 0
	for _, l := range slices.Concat(t.v4, t.v6) {
		total += len(l.keys)*8 + len(l.sites)*2
	}
	return total
}

// high64 returns the high 64 bits of an address; an IPv4 address is in the upper 32 of them.
func high64(a netip.Addr) (value uint64, v4 bool) {
	if a.Is4() || a.Is4In6() {
		b := a.As4()
		return uint64(b[0])<<56 | uint64(b[1])<<48 | uint64(b[2])<<40 | uint64(b[3])<<32, true
	}
	b := a.As16()
	for i := range 8 {
		value = value<<8 | uint64(b[i])
	}
	return value, false
}

func mask(value uint64, bits int) uint64 {
	if bits == 0 {
		return 0
	}
	return value >> (64 - bits) << (64 - bits)
}

// Set maps a block to a site; it returns an error for an invalid block, an IPv6 block longer than 64 bits, and the sites
// 0 and 65535.
func (t *Table) Set(prefix netip.Prefix, site Site) error {
	if site == 0 || site == tombstone {
		return fmt.Errorf("block %s: site %d is reserved", prefix, site)
	}
	value, v4 := high64(prefix.Addr())
	if !prefix.IsValid() || !v4 && prefix.Bits() > maxBitsV6 {
		return fmt.Errorf("block %q is invalid or an IPv6 prefix longer than %d bits", prefix, maxBitsV6)
	}
	if t.tableFor(v4, prefix.Bits()).set(mask(value, prefix.Bits()), site) {
		t.count++
	}
	return nil
}

// Remove removes a block; it returns false when the block is not in the table.
func (t *Table) Remove(prefix netip.Prefix) bool {
	value, v4 := high64(prefix.Addr())
	for _, l := range t.family(v4) {
		if l.bits == prefix.Bits() && l.remove(mask(value, prefix.Bits())) {
			t.count--
			return true
		}
	}
	return false
}

// Find returns the site of the longest block that contains the address, or 0.
func (t *Table) Find(a netip.Addr) Site {
	value, v4 := high64(a)
	for _, l := range t.family(v4) {
		if site := l.get(mask(value, l.bits)); site != 0 {
			return site
		}
	}
	return 0
}

func (t *Table) family(v4 bool) []*lengthTable {
	if v4 {
		return t.v4
	}
	return t.v6
}

func (t *Table) tableFor(v4 bool, bits int) *lengthTable {
	family := &t.v6
	if v4 {
		family = &t.v4
	}
	for _, l := range *family {
		if l.bits == bits {
			return l
		}
	}
	l := &lengthTable{bits: bits, v4: v4, keys: make([]uint64, initialSlots), sites: make([]Site, initialSlots)}
	*family = append(*family, l)
	slices.SortFunc(*family, func(a, b *lengthTable) int { return b.bits - a.bits })
	return l
}

// tombstone marks a slot whose block was removed, so that probing goes on past it.
const tombstone Site = 1<<16 - 1

// slot returns the slot where probing for the key begins.
func (l *lengthTable) slot(key uint64) int {
	return int((key * hashFactor) >> (64 - bits.TrailingZeros(uint(len(l.keys)))))
}

func (l *lengthTable) get(key uint64) Site {
	for i := l.slot(key); l.sites[i] != 0; i = (i + 1) & (len(l.keys) - 1) {
		if l.keys[i] == key && l.sites[i] != tombstone {
			return l.sites[i]
		}
	}
	return 0
}

func (l *lengthTable) set(key uint64, site Site) (added bool) {
	if (l.count+l.removed+1)*maxLoadDenominator > len(l.keys)*maxLoadNumerator {
		l.rehash()
	}
	i := l.slot(key)
	for ; l.sites[i] != 0; i = (i + 1) & (len(l.keys) - 1) {
		if l.keys[i] == key && l.sites[i] != tombstone {
			l.sites[i] = site
			return false
		}
	}
	l.keys[i], l.sites[i] = key, site
	l.count++
	return true
}

func (l *lengthTable) remove(key uint64) bool {
	for i := l.slot(key); l.sites[i] != 0; i = (i + 1) & (len(l.keys) - 1) {
		if l.keys[i] == key && l.sites[i] != tombstone {
			l.sites[i] = tombstone
			l.count--
			l.removed++
			return true
		}
	}
	return false
}

// rehash moves the blocks to new slots without tombstones, doubling their number if more than half would be in use.
func (l *lengthTable) rehash() {
	size := len(l.keys)
	if (l.count+1)*2 > size {
		size *= 2
	}
	old := *l
	l.keys, l.sites, l.count, l.removed = make([]uint64, size), make([]Site, size), 0, 0
	for i, site := range old.sites {
		if site != 0 && site != tombstone {
			l.set(old.keys[i], site)
		}
	}
}
