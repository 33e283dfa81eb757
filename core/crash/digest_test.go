package crash_test

import (
	"testing"

	"clementinelock/core/crash"
)

// TestDigestsTellRequestsApart guards against two requests that are taken for one since their parts run together.
func TestDigestsTellRequestsApart(t *testing.T) {
	seen := map[crash.Digest][]string{}
	for _, parts := range [][]string{{}, {""}, {"", ""}, {"a"}, {"ab"}, {"a", "b"}, {"", "ab"}, {"ab", ""}, {"b", "a"}} {
		var bytes [][]byte
		for _, part := range parts {
			bytes = append(bytes, []byte(part))
		}
		digest := crash.NewDigest(bytes...)
		if other, known := seen[digest]; known {
			t.Errorf("%q and %q have the same digest", parts, other)
		}
		if crash.NewDigest(bytes...) != digest {
			t.Errorf("%q has two digests", parts)
		}
		seen[digest] = parts
	}
}
