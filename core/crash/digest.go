package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies a request by its content and its caller's credentials; repetitions of a request have the same digest on every host.
type Digest [16]byte

// String returns the digest in hexadecimal digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText returns the digest in hexadecimal digits, for dumps.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// NewDigest returns the digest of a request that consists of these parts, such as credentials, path and body.
func NewDigest(parts ...[]byte) Digest {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		// The length of each part separates it from the next one.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return Digest(hash.Sum(nil)[:len(Digest{})])
}
