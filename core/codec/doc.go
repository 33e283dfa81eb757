// Package codec encodes plain structs as deterministic CBOR and decodes them,
// so that every message, record and snapshot has one encoding.
package codec
