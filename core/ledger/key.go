package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"clementinelock/core"

	"github.com/cespare/xxhash/v2"
)

// Key is a parsed idempotency key.
type Key struct {
	Text string
	// Home is the region that issued the key, or the region that its hash selects.
	Home string
	// Issued is the time in the key; 0 when it has none.
	Issued core.Millis
}

const (
	issuedPrefix     = "cl1"
	maxKeyLength     = 255
	uuidLength       = 36
	uuidVersionIndex = 14
)

// Issue returns a new key that contains its home region and time; the nonce makes it unique.
func Issue(region string, now core.Millis, nonce uint64) string {
	return fmt.Sprintf("%s.%s.%x.%016x", issuedPrefix, region, int64(now), nonce)
}

// ParseKey parses a key; regions lists the tree's regions in their order.
// It returns an error if there are no regions, or if the key is empty, too long, malformed or names an unknown home
// region.
func ParseKey(text string, regions []string) (Key, error) {
	if text == "" || len(text) > maxKeyLength {
		return Key{}, fmt.Errorf("idempotency key has %d bytes; expected 1 to %d", len(text), maxKeyLength)
	}
	if len(regions) == 0 {
		return Key{}, fmt.Errorf("the tree has no region")
	}
	if strings.HasPrefix(text, issuedPrefix+".") {
		return parseIssued(text, regions)
	}
	home := regions[xxhash.Sum64String(text)%uint64(len(regions))]
	return Key{Text: text, Home: home, Issued: uuidTime(text)}, nil
}

func parseIssued(text string, regions []string) (Key, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return Key{}, fmt.Errorf("idempotency key %q starts like an issued one but has %d parts", text, len(parts))
	}
	issued, err := strconv.ParseInt(parts[2], 16, 64)
	if err != nil || issued <= 0 {
		return Key{}, fmt.Errorf("idempotency key %q carries no time", text)
	}
	for _, region := range regions {
		if region == parts[1] {
			return Key{Text: text, Home: region, Issued: core.Millis(issued)}, nil
		}
	}
	return Key{}, fmt.Errorf("idempotency key %q names the unknown region %q", text, parts[1])
}

// uuidTime returns the time of a UUID of version 7, or 0 for any other text.
func uuidTime(text string) core.Millis {
	if len(text) != uuidLength || text[uuidVersionIndex] != '7' || text[8] != '-' || text[13] != '-' {
		return 0
	}
	ms, err := strconv.ParseInt(text[:8]+text[9:13], 16, 64)
	if err != nil {
		return 0
	}
	return core.Millis(ms)
}
