// Package cransnapshot stores snapshots of states in the platform's log, so that a
// process without a disk can start after records of the control stream have expired.
//
// A snapshot is the encoded state of a reducer that has applied every record
// below an offset of the control stream. It is written to a stream of its own
// as chunks. A chunk identifies its snapshot by the snapshot's content: its offset,
// its digest and its number of chunks. Two writers whose reducers agree therefore
// write the same chunks, and a snapshot can be completed by chunks of both. A
// duplicate chunk changes nothing, so a writer repeats an append whose response was
// lost.
//
// [LoadLatest] ignores damaged chunks, records that aren't chunks, and snapshots
// with missing chunks or a wrong digest. [Policy] says when the next snapshot is due,
// early enough that a starting process never finds a gap between the latest
// snapshot and the oldest record kept. [FindInitial] finds the state that a process
// starts from: a snapshot in the log, the empty state at offset zero, or a peer's
// snapshot.
package cransnapshot
