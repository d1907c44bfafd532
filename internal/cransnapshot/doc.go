// Package cransnapshot keeps states in the platform's log, so that a process
// without a disk can start after the records of the control stream expired.
//
// A snapshot is the encoded state of a reducer that has applied every record
// below an offset of the control stream. It is written to a stream of its own
// as chunks. A chunk names the snapshot that it belongs to by what the
// snapshot is: its offset, its digest and its number of chunks. Two writers
// whose reducers agree therefore write the same chunks, and these complete
// each other. A repeated chunk changes nothing, so a writer repeats an append
// whose answer was lost.
//
// [LoadLatest] passes over whatever is not a whole snapshot with the right
// digest: chunks that are missing, damaged or foreign. [Policy] says when the
// next snapshot is due, early enough that a newcomer never finds a gap
// between the latest snapshot and the oldest record kept. [FindInitial] finds where
// a newcomer starts: at a snapshot in the log, at offset zero, at a peer's
// snapshot, or not yet.
package cransnapshot
