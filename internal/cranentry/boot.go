package cranentry

import (
	"context"
	"errors"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranpack"
	"github.com/cranberrypick/cranberrypick/internal/cranpeer"
	"github.com/cranberrypick/cranberrypick/internal/cransnapshot"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// maxStateBytes is the maximum size of an unpacked control state.
const maxStateBytes = 64 << 20

// bootstrap restores the control state from a snapshot, if there is one, and
// then follows the log from the offset of that state. It returns when ctx ends
// or when the log no longer keeps the next record.
func (e *Entry) bootstrap(ctx context.Context) {
	streams := cransnapshot.Streams{Control: e.controlStream, Snapshots: e.snapshotStream}
	snap, origin, err := cransnapshot.AwaitInitial(ctx, e.log, streams, (*peerSource)(e))
	if err != nil {
		return
	}
	if origin != cransnapshot.OriginZero {
		if err := e.restore(ctx, snap); err != nil {
			e.fail(err)
			return
		}
		e.reporter.emit(cranevent.SnapshotLoaded, cranevent.Offset(snap.Offset()), cranevent.Digest(snap.Digest()))
	}
	t := cranlog.NewTailer(e.log, e.controlStream, snap.Offset(), e.control.post,
		cranlog.WithPoll(pollWait, maxApplyBatch), cranlog.WithReadInterval(readInterval), cranlog.WithCounter(e.reporter.onLogReason))
	e.tailer.Store(t)
	select {
	case <-ctx.Done():
	case <-t.Done():
		e.reporter.emit(cranevent.RecordsExpired, cranevent.Stream(e.controlStream), cranevent.Offset(t.Next()))
		e.fail(t.Err())
	}
}

// restore replaces the control state with that of a snapshot.
func (e *Entry) restore(ctx context.Context, snap cransnapshot.Snapshot) error {
	data, err := cranpack.Unpack(snap.State(), maxStateBytes)
	if err != nil {
		return err
	}
	s, err := cranstate.Decode(data)
	if err != nil {
		return err
	}
	if s.Next() != snap.Offset() {
		return cranfault.New(cranfault.Malformed, "start from another snapshot", "the snapshot at offset %d contains a state at offset %d", snap.Offset(), s.Next())
	}
	return e.control.do(ctx, func(*cranstate.State) {
		e.control.state = s
		e.publish(s)
	})
}

func (e *Entry) closeTailer() error {
	t := e.tailer.Load()
	if t == nil {
		return nil
	}
	return t.Close()
}

// peerSource fetches a snapshot from the seed peers or the known members.
type peerSource Entry

// Snapshot returns the first snapshot from a peer that passes verification.
func (p *peerSource) Snapshot(ctx context.Context) (cransnapshot.Snapshot, error) {
	e := (*Entry)(p)
	var errs []error
	for _, peer := range append(append([]cranpeer.Peer(nil), e.seeds...), e.Peers()...) {
		if peer.Address == e.advertise {
			continue
		}
		s, err := e.client.Snapshot(ctx, peer)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		snap, err := cransnapshot.Verify(s.Next, s.State, s.Digest)
		if err == nil {
			return snap, nil
		}
		errs = append(errs, err)
	}
	return cransnapshot.Snapshot{}, errors.Join(append(errs,
		cranfault.New(cranfault.NotReady, "list peers in the settings, or wait for the log", "no peer has a usable snapshot"))...)
}

// snapshot encodes the control state on the control thread. It fails with
// NotReady before bootstrap has established the initial state.
func (e *Entry) snapshot(ctx context.Context) (cransnapshot.Snapshot, error) {
	if e.tailer.Load() == nil {
		return cransnapshot.Snapshot{}, cranfault.New(cranfault.NotReady, "ask another entry", "this entry has not loaded a control state yet")
	}
	var next uint64
	var data []byte
	var encodeErr error
	err := e.control.do(ctx, func(s *cranstate.State) {
		next = s.Next()
		data, encodeErr = s.Encode()
	})
	if err = errors.Join(err, encodeErr); err != nil {
		return cransnapshot.Snapshot{}, err
	}
	packed, err := cranpack.Pack(data)
	return cransnapshot.New(next, packed), err
}
