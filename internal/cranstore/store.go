// Package cranstore defines the interface to a store of keyed records: a log that
// keeps the newest record of each key for ever and other records for a limited
// time. It also has a batching writer and a reader that follows a topic.
//
// A topic is read in offset order. A reader that falls behind the oldest
// retained record gets [ErrExpired] and loads the newest record of each key
// instead. Appends may be fenced: those of a named producer carry an epoch, and
// an append with a lower epoch than one seen before is refused with
// [FencedError].
package cranstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is a key with a value. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
	// Offset is the offset of the record in its topic. It is set by reads only.
	Offset uint64
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// End is the offset of the next append.
	End uint64
	// Next is the offset to read from next.
	Next uint64
}

// Page is one page of the newest record of each key. The pages form no consistent
// snapshot, but reads from the End of the first page on miss no record.
type Page struct {
	Records []Record
	// More is true if another page follows.
	More bool
	// End is the offset of the next append.
	End uint64
}

// ReadOptions bound one read of a topic.
type ReadOptions struct {
	// Wait is how long the read waits for a record if there is none yet.
	Wait time.Duration
	// MaxBytes bounds the total size of the records; 0 means the default of the
	// store. The first record is returned whatever its size.
	MaxBytes int
	// Received, if set, is called with the size of each part of the response as it
	// arrives. It may run in another goroutine.
	Received func(bytes int)
}

// AppendOptions hold the fencing data of an append.
type AppendOptions struct {
	// Producer names the producer. If it is set, Epoch fences the append, and
	// Sequence numbers the appends of the epoch so that repeats are dropped.
	Producer        string
	Epoch, Sequence uint64
}

// Topic is one log of records in the store: a topic, or one partition of a topic
// that has several. The appends to one partition are processed one after the
// other.
type Topic interface {
	// Append adds all of the records or none and returns the offset of the first.
	// The records may have been added or may still be added later after any error
	// but a SequenceError and one for which IsRefused is true.
	Append(ctx context.Context, records []Record, o AppendOptions) (uint64, error)
	// Read returns the records from an offset on.
	Read(ctx context.Context, from uint64, o ReadOptions) (Batch, error)
	// End returns the offset of the next append. The caller passes the offset up
	// to which it has read, since a store may return the end only with a read. An
	// implementation then reads as few records as possible from that offset on.
	End(ctx context.Context, from uint64) (uint64, error)
	// Newest returns a page of the newest record of each key, in order of key. It
	// starts after the key that the caller passes; the first page has none. The
	// function received may be nil; see ReadOptions.
	Newest(ctx context.Context, after string, received func(bytes int)) (Page, error)
}

// ErrExpired is returned for a read below the oldest retained offset.
var ErrExpired = errors.New("the records have expired; load the newest record of each key")

// FencedError is the refusal of an append whose epoch is lower than Epoch, the
// highest one seen of its producer.
type FencedError struct{ Epoch uint64 }

// Error returns a message with the epoch.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fenced: epoch %d was seen; stop writing", e.Epoch)
}

// SequenceError is the refusal of an append whose sequence number is not the
// expected one.
type SequenceError struct{ Expected uint64 }

// Error returns a message with the expected sequence number.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("out of sequence: %d is expected; take a new epoch", e.Expected)
}

// refusedError is the error of a call that had no effect and will have none.
type refusedError struct{ cause error }

func (e *refusedError) Error() string { return e.cause.Error() }

func (e *refusedError) Unwrap() error { return e.cause }

// Refused wraps the error of a call that had no effect and will have none, so that
// IsRefused recognises it.
func Refused(cause error) error { return &refusedError{cause} }

// IsRefused reports whether the error is a FencedError or one that Refused made:
// the call that returned it had no effect and will have none. It reports false
// for a SequenceError.
func IsRefused(err error) bool {
	var refused *refusedError
	var fenced *FencedError
	return errors.As(err, &refused) || errors.As(err, &fenced)
}
