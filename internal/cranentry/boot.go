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

// maxState bounds an encoded control state in bytes.
const maxState = 64 << 20

// boot finds a state to start from and follows the log from there, until the
// log no longer keeps the next record or ctx ends.
func (e *Entry) boot(ctx context.Context) {
	streams := cransnapshot.Streams{Control: e.stream, Snapshots: e.snapshots}
	snap, origin, err := cransnapshot.Await(ctx, e.log, streams, (*peerSource)(e))
	if err != nil {
		return
	}
	if origin != cransnapshot.OriginZero {
		if err := e.adopt(ctx, snap); err != nil {
			e.end(err)
			return
		}
		e.report.emit(cranevent.SnapshotLoaded, cranevent.Offset(snap.Offset()), cranevent.Digest(snap.Digest()))
	}
	t := cranlog.NewTailer(e.log, e.stream, snap.Offset(), e.control.post,
		cranlog.WithPoll(pollWait, maxApplyBatch), cranlog.WithReadInterval(readInterval), cranlog.WithCounter(e.report.logReason))
	e.tailer.Store(t)
	select {
	case <-ctx.Done():
	case <-t.Done():
		e.report.emit(cranevent.RecordsExpired, cranevent.Stream(e.stream), cranevent.Offset(t.Next()))
		e.end(t.Err())
	}
}

// adopt makes a snapshot the control state.
func (e *Entry) adopt(ctx context.Context, snap cransnapshot.Snapshot) error {
	data, err := cranpack.Unpack(snap.State(), maxState)
	if err != nil {
		return err
	}
	s, err := cranstate.Decode(data)
	if err != nil {
		return err
	}
	if s.Next() != snap.Offset() {
		return cranfault.New(cranfault.Malformed, "start from another snapshot", "snapshot at %d holds a state at %d", snap.Offset(), s.Next())
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

// peerSource asks the seeds and the known members for a snapshot.
type peerSource Entry

// Snapshot returns the first that a peer hands over whole.
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
		cranfault.New(cranfault.NotReady, "name peers in the settings, or wait for the log", "no peer has a snapshot"))...)
}

// snapshot encodes the state on the control thread. An entry that has not
// started from anything yet has nothing to hand over.
func (e *Entry) snapshot(ctx context.Context) (cransnapshot.Snapshot, error) {
	if e.tailer.Load() == nil {
		return cransnapshot.Snapshot{}, cranfault.New(cranfault.NotReady, "ask another entry", "this entry has no state yet")
	}
	var next uint64
	var data []byte
	var failed error
	err := e.control.do(ctx, func(s *cranstate.State) {
		next = s.Next()
		data, failed = s.Encode()
	})
	if err = errors.Join(err, failed); err != nil {
		return cransnapshot.Snapshot{}, err
	}
	packed, err := cranpack.Pack(data)
	return cransnapshot.New(next, packed), err
}
