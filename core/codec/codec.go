package codec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits on what is decoded from other processes.
const (
	maxNesting  = 16
	maxElements = 1 << 20
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	options := cbor.DecOptions{
		MaxNestedLevels: maxNesting, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
		DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes a value; it panics if the type has no encoding, which is a fault of this program.
func Encode[T any](value T) []byte {
	data, err := encoder.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("can't encode a value of type %T: %v", value, err))
	}
	return data
}

// Decode decodes a value; it returns an error if the bytes are not exactly one value of the type.
func Decode[T any](data []byte) (T, error) {
	var value T
	err := decoder.Unmarshal(data, &value)
	if err != nil {
		return value, fmt.Errorf("can't decode a %T: %w", value, err)
	}
	return value, nil
}
