// Package link carries messages between hosts over QUIC with mutual TLS.
//
// A host opens one connection to each host that it sends to and writes its
// messages on one stream. Keep-alives detect a silent connection, which is
// replaced by a new one from a new port. Messages are delivered at most once;
// their senders repeat those that matter.
package link
