package cransnapshot

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Defaults of the options.
const (
	defaultChunkBytes     = 64 << 10
	defaultWindowRecords  = 16
	defaultBackoffBase    = 50 * time.Millisecond
	defaultBackoffCap     = 5 * time.Second
	defaultAttemptTimeout = 2 * time.Second
)

// settings holds the values that the options set.
type settings struct {
	chunkBytes     int
	windowRecords  uint64
	attemptTimeout time.Duration
	backoff        cranlog.Backoff
	count          func(cranlog.Reason)
}

// Option configures how snapshots are written and loaded.
type Option func(*settings)

// WithChunkBytes limits the bytes of state in one chunk.
func WithChunkBytes(n int) Option {
	return func(s *settings) { s.chunkBytes = n }
}

// WithWindow sets the number of records in a window of LoadLatest, which reads the
// snapshot stream window by window, backwards from its end.
func WithWindow(records int) Option {
	return func(s *settings) { s.windowRecords = uint64(records) }
}

// WithAttemptTimeout limits the duration of each append, each read and each request
// to peers.
func WithAttemptTimeout(d time.Duration) Option {
	return func(s *settings) { s.attemptTimeout = d }
}

// WithBackoff sets the delays between attempts.
func WithBackoff(b cranlog.Backoff) Option {
	return func(s *settings) { s.backoff = b }
}

// WithCounter sets a function that is called once for each failed attempt. It must
// return quickly.
func WithCounter(count func(cranlog.Reason)) Option {
	return func(s *settings) { s.count = count }
}

func newSettings(options []Option) settings {
	s := settings{
		chunkBytes:     defaultChunkBytes,
		windowRecords:  defaultWindowRecords,
		attemptTimeout: defaultAttemptTimeout,
		backoff:        cranlog.NewBackoff(defaultBackoffBase, defaultBackoffCap, nil),
		count:          func(cranlog.Reason) {},
	}
	for _, option := range options {
		option(&s)
	}
	return s
}

// Write appends a snapshot to its stream, chunk by chunk, and repeats each append
// until the log has confirmed it. When ctx ends first it fails with
// cranfault.Timeout, and the stream may hold a part of the snapshot. A state that
// needs too many chunks is refused with cranfault.TooLarge.
func Write(ctx context.Context, log cranplatform.Log, stream string, s Snapshot, options ...Option) error {
	set := newSettings(options)
	chunks, err := split(s, set.chunkBytes)
	if err != nil {
		return err
	}
	for _, c := range chunks {
		payload, err := cranlog.EncodeBody(c)
		if err != nil {
			return err
		}
		err = set.append(ctx, log, stream, payload)
		if err != nil {
			return err
		}
	}
	return nil
}

func (s settings) append(ctx context.Context, log cranplatform.Log, stream string, payload []byte) error {
	for failures := 1; ; failures++ {
		err := s.appendOnce(ctx, log, stream, payload)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			s.count(cranlog.ReasonAppendFailed)
			err = s.backoff.Wait(ctx, failures)
		}
		if ctx.Err() != nil {
			return cranfault.New(cranfault.Timeout, "write a new snapshot when the log is reachable",
				"a snapshot to %s was not completed: %v", stream, err)
		}
	}
}

func (s settings) appendOnce(ctx context.Context, log cranplatform.Log, stream string, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.attemptTimeout)
	defer cancel()
	_, err := log.Append(ctx, stream, [][]byte{payload})
	return err
}
