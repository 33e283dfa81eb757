// Package disk keeps a control replica's state in one data folder.
//
// The folder holds Identity, which names the replica's incarnation; Log, the
// synced writes in their order, each with a checksum; Mark, how far Log is
// known to be synced; and Snapshot-N, the state up to index N. A write is
// acknowledged once Log and then Mark are synced, so that a damaged frame
// before the mark is damage to acknowledged state and stops the process,
// while one behind it was never acknowledged and is cut off.
package disk
