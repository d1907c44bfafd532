// Package cranlog is the client side of the platform's append-only log.
//
// Every record carries an envelope: the writer (the incarnation of a
// process), a sequence number that counts from one without gaps for that
// writer, and a body. The pair of writer and sequence number identifies the
// record, so that a record appended twice is applied once.
//
// A [Writer] gathers bodies into batches (group commit) and keeps one batch
// in flight. When the answer to an append is lost, it repeats the batch until
// the records were read back. The next batch leaves only after that, so the
// first occurrences of a writer's records stand in the log in the order of
// their sequence numbers, and any record at or below a writer's highest
// number seen is a repeat. [HighWater] is that rule as a value that a reducer
// can hold.
//
// A [Tailer] delivers every record of a stream in offset order without gaps,
// from the log or relayed by peers, and feeds the writer through
// [Writer.Observe]. A record that can't be decoded is delivered too, flagged
// as malformed, since every reader has to agree on every offset. When the log
// no longer keeps the next record, the tailer ends with a fault and never
// skips: its owner has to start again from a snapshot.
package cranlog
