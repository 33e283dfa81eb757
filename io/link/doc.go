// Package link carries messages between hosts over QUIC with mutual TLS.
//
// A host opens one connection to each host that it sends to and writes its
// messages on one stream. A connection that goes silent is noticed by its
// keep-alives and replaced by a new one from a new port. Messages are sent
// at most once; the parts that send them repeat what matters.
package link
