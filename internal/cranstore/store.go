// Package cranstore is the boundary to a store of records under keys: a log
// whose newest record of each key is retained for good.
//
// A topic is read in offset order. A reader that falls behind what is
// retained gets [ErrExpired] and loads the newest record of each key instead.
// Appends may be fenced: those of a named producer carry an epoch, and an
// epoch lower than one seen before is refused with [FencedError].
package cranstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is a value under a key. An empty value drops the key.
type Record struct {
	Key   string
	Value []byte
	// Offset is where the record lies in its topic; set by reads only.
	Offset uint64
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record
	// End is the offset of the next append.
	End uint64
	// Next is the offset to read from next.
	Next uint64
}

// Page is a part of the newest record of each key. Pages are no snapshot: reads
// from the end that the first page tells miss nothing.
type Page struct {
	Records []Record
	// More is true if other pages follow.
	More bool
	// End is the offset of the next append.
	End uint64
}

// AppendOptions fence an append.
type AppendOptions struct {
	// Producer, if set, fences by Epoch and drops repeats by Sequence.
	Producer        string
	Epoch, Sequence uint64
}

// Topic is one topic of the store.
type Topic interface {
	// Append adds records, all or none, and returns the offset of the first. An
	// error that isn't one of this package's says nothing about whether they were
	// added, now or later.
	Append(ctx context.Context, records []Record, o AppendOptions) (uint64, error)
	// Read returns records from an offset on; it waits for the first.
	Read(ctx context.Context, from uint64, wait time.Duration) (Batch, error)
	// End returns the offset of the next append. The reader names the offset up
	// to which it has read; it gets next to nothing of what lies behind.
	End(ctx context.Context, from uint64) (uint64, error)
	// Newest returns a page of the newest record of each key, in order of key,
	// behind a key; the first page is behind none.
	Newest(ctx context.Context, after string) (Page, error)
}

// ErrExpired is returned for a read below the oldest retained offset.
var ErrExpired = errors.New("the records have expired; load the newest record of each key")

// FencedError refuses an append with an epoch lower than Epoch.
type FencedError struct{ Epoch uint64 }

// Error names the epoch.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fenced: epoch %d was seen; stop writing", e.Epoch)
}

// SequenceError refuses an append out of sequence.
type SequenceError struct{ Expected uint64 }

// Error names the expected number.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("out of sequence: %d is expected; take a new epoch", e.Expected)
}

// refusedError marks a call that had no effect and will have none.
type refusedError struct{ cause error }

func (e *refusedError) Error() string { return e.cause.Error() }

func (e *refusedError) Unwrap() error { return e.cause }

// Refused marks an error as that of a call without any effect.
func Refused(cause error) error { return &refusedError{cause} }

// IsRefused reports whether the call had no effect and will have none.
func IsRefused(err error) bool {
	var refused *refusedError
	var fenced *FencedError
	return errors.As(err, &refused) || errors.As(err, &fenced)
}
