// Package disk stores a control replica's state in one data folder.
//
// The folder holds Identity, the replica's incarnation; Log, the synced writes
// in order, each in a frame with a checksum; Mark, the length up to which Log
// is known to be synced; Snapshot-N, the state up to index N; and Lock, which the
// process that uses the folder holds locked.
//
// A write is acknowledged once Log and then Mark are synced. A damaged frame
// before the mark is therefore damage to acknowledged state and stops the
// process; one after the mark was never acknowledged and is truncated.
package disk
