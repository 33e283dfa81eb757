// Package codec turns plain structs into bytes and back, by CBOR, so that
// every message, record and snapshot has one encoding.
package codec
