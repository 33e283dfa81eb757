package creds

import (
	"errors"
	"fmt"
	"strings"
)

// maxKeyBytes bounds the keys that are looked up.
const maxKeyBytes = 1024

// bearerScheme is the authentication scheme of keys; its case does not matter.
const bearerScheme = "Bearer"

// ErrNoKey means that a request has no credentials.
var ErrNoKey = errors.New("the request has no key")

// ParseBearer returns the digest of the key in the values of a request's Authorization header. It returns ErrNoKey if there
// is no such header, and another error, which does not contain the key, if there are several or if it can't be read.
func ParseBearer(values []string) (Digest, error) {
	switch len(values) {
	case 0:
		return Digest{}, ErrNoKey
	case 1:
	default:
		return Digest{}, fmt.Errorf("the request has %d Authorization headers, expected one", len(values))
	}
	scheme, key, found := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimLeft(key, " ")
	switch {
	case !found || !strings.EqualFold(scheme, bearerScheme):
		return Digest{}, fmt.Errorf("the Authorization header is not %q and a key", bearerScheme)
	case key == "" || len(key) > maxKeyBytes:
		return Digest{}, fmt.Errorf("the key has %d bytes, expected 1 to %d", len(key), maxKeyBytes)
	case strings.ContainsAny(key, " \t,"):
		return Digest{}, errors.New("the Authorization header holds more than one key")
	}
	return DigestOf(key), nil
}
