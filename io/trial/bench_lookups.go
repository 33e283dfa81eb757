package trial

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"clementinelock/core/block"
	"clementinelock/core/route"
)

const (
	blockCount   = 2_300_000
	siteCount    = 130
	lookupCount  = 2_000_000
	updateCount  = 100_000
	tableTarget  = 128 << 20
	lookupTarget = 1e6
)

// fillBlocks returns a table of random blocks, half of them of 24 bits, and their prefixes.
func fillBlocks(random *rand.Rand, count int) (*block.Table, []netip.Prefix) {
	table := &block.Table{}
	lengths := []int{24, 24, 24, 24, 23, 22, 20, 16}
	var prefixes []netip.Prefix
	for table.Len() < count {
		var address [4]byte
		binary.BigEndian.PutUint32(address[:], random.Uint32())
		prefix := netip.PrefixFrom(netip.AddrFrom4(address), lengths[random.IntN(len(lengths))]).Masked()
		if err := table.Set(prefix, block.Site(1+random.IntN(siteCount))); err != nil {
			panic(err)
		}
		prefixes = append(prefixes, prefix)
	}
	return table, prefixes
}

// benchLookups measures look-ups in memory at the size expected in two years.
func benchLookups(_ context.Context, b *bench) error {
	random := rand.New(rand.NewPCG(b.seed, 5))
	table, prefixes := fillBlocks(random, blockCount)
	b.add(fmt.Sprintf("table of %d blocks and %d sites", table.Len(), siteCount), table.Bytes() <= tableTarget, "≤ 128 MiB", "%.1f MiB", float64(table.Bytes())/(1<<20))
	addresses := make([]netip.Addr, 1<<16)
	for i := range addresses {
		addresses[i] = prefixes[random.IntN(len(prefixes))].Addr()
	}
	found := 0
	began := time.Now()
	for i := range lookupCount {
		if table.Find(addresses[i&(len(addresses)-1)]) != 0 {
			found++
		}
	}
	rate := float64(lookupCount) / time.Since(began).Seconds()
	b.add("blocks found in memory on one core", rate >= lookupTarget && found == lookupCount, "≥ 1e6/s", "%.3g/s", rate)
	began = time.Now()
	for i := range updateCount {
		if err := table.Set(prefixes[i], block.Site(1+i%siteCount)); err != nil {
			return err
		}
	}
	b.add("update of a block, mean of 100,000", true, "", "%s", (time.Since(began) / updateCount).Round(time.Nanosecond))
	return benchDirectory(b)
}

// benchDirectory measures complete look-ups: finding the client's block and the ordered list of entry hosts.
func benchDirectory(b *bench) error {
	s, err := newSite(b, "instituto", nil)
	if err != nil {
		return err
	}
	directory := s.Machines[s.Control[0]].Directory()
	buffer := make([]route.EntryHost, 0, 64)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	for i := range lookupCount {
		client := netip.AddrFrom4([4]byte{10, byte(20 + i%3), byte(i >> 8), byte(i)})
		_, _, ok := directory.Find("estado-guia", client, uint64(i), buffer)
		if !ok {
			return fmt.Errorf("look-up %d found no service", i)
		}
	}
	rate := float64(lookupCount) / time.Since(began).Seconds()
	runtime.ReadMemStats(&after)
	b.add("whole look-ups in memory on one core", rate >= lookupTarget, "≥ 1e6/s", "%.3g/s, %.2f allocations each", rate, float64(after.Mallocs-before.Mallocs)/lookupCount)
	return nil
}
