package block_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"testing"

	"clementinelock/core/block"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func ipv4(value uint32) netip.Addr {
	var data [4]byte
	binary.BigEndian.PutUint32(data[:], value)
	return netip.AddrFrom4(data)
}

// TestFindLongestPrefix compares the table with a linear search through all blocks.
func TestFindLongestPrefix(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("Find returns the site of the longest block", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		table, all := &block.Table{}, map[netip.Prefix]block.Site{}
		for range 400 {
			prefix := netip.PrefixFrom(ipv4(random.Uint32()&0xff00ffff), 8+random.IntN(25)).Masked()
			site := block.Site(1 + random.IntN(130))
			if random.IntN(4) == 0 && len(all) > 0 {
				for present := range all {
					prefix = present
					break
				}
				delete(all, prefix)
				table.Remove(prefix)
				continue
			}
			if table.Set(prefix, site) != nil {
				return false
			}
			all[prefix] = site
		}
		for range 200 {
			client := ipv4(random.Uint32() & 0xff00ffff)
			if table.Find(client) != longest(all, client) {
				return false
			}
		}
		return table.Len() == len(all)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func longest(all map[netip.Prefix]block.Site, client netip.Addr) block.Site {
	site, bits := block.Site(0), -1
	for prefix, each := range all {
		if prefix.Contains(client) && prefix.Bits() > bits {
			site, bits = each, prefix.Bits()
		}
	}
	return site
}

func TestRefusedBlocks(t *testing.T) {
	table := &block.Table{}
	for _, c := range []struct {
		prefix string
		site   block.Site
	}{{"10.0.0.0/8", 0}, {"10.0.0.0/8", 65535}, {"2001:db8::/65", 1}} {
		if table.Set(netip.MustParsePrefix(c.prefix), c.site) == nil {
			t.Errorf("Set(%s, %d) returned no error", c.prefix, c.site)
		}
	}
	if err := table.Set(netip.MustParsePrefix("2001:db8::/32"), 3); err != nil || table.Find(netip.MustParseAddr("2001:db8:1::1")) != 3 {
		t.Errorf("IPv6 block 2001:db8::/32 was not set or not found: %v", err)
	}
}
