// Package cranlog is the client side of the platform's append-only log.
//
// Every record carries an envelope: the writer (the incarnation of a
// process), a sequence number that counts from one without gaps for that
// writer, and a body. The pair of writer and sequence number identifies the
// record, so that a record appended twice is applied once.
//
// A [Writer] collects bodies into batches (group commit) and keeps at most one
// batch in flight. If the response to an append is lost, it repeats the append
// until the batch's records are read back. It sends the next batch only after
// that. The first occurrences of a writer's records are therefore in the order
// of their sequence numbers, and a record at or below the highest number seen of
// its writer is a duplicate. [HighWater] implements this rule as a value that a
// reducer can hold.
//
// A [Tailer] delivers every record of a stream in offset order without gaps,
// read from the log or relayed by peers. Its owner passes each record to
// [Writer.Observe]. A record that can't be decoded is delivered too, marked as
// malformed, since all readers have to agree on every offset. When the log no
// longer keeps the next record, the tailer ends with a fault rather than skip
// records: its owner has to start again from a snapshot.
package cranlog
