package cransched

import (
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// batch is the content of one append: the effects to emit and the ends to acknowledge once
// it is stored.
type batch struct {
	effects      []Effect
	acknowledged map[*target]acknowledgement
}

// acknowledgement is the highest number of an end that a process of a target has reported.
type acknowledgement struct {
	number   int64
	restarts int
}

// markDirty schedules the job's progress for the next batch.
func (s *Scheduler) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// emitOnceStored emits an effect once all decisions so far are stored.
func (s *Scheduler) emitOnceStored(e Effect) { s.awaitingStore = append(s.awaitingStore, e) }

// NextBatch returns the records to store and whether there is a batch at all. The records
// may be empty. It returns no further batch until [Scheduler.ConfirmBatch] is called.
func (s *Scheduler) NextBatch() ([]cranstore.Record, bool) {
	if s.inFlight != nil {
		return nil, false
	}
	acknowledged := map[*target]acknowledgement{}
	for _, t := range s.targets {
		if n := t.endsSeen; n > t.endsStored {
			acknowledged[t] = acknowledgement{n, t.restarts}
		}
	}
	if len(s.dirty) == 0 && len(s.pendingRecords) == 0 && len(s.awaitingStore) == 0 && len(acknowledged) == 0 {
		return nil, false
	}
	records := s.pendingRecords
	for _, j := range s.dirty {
		j.dirty = false
		records = append(records, cranstore.Record{Key: cranjob.ProgressKey(j.ID), Value: cranjob.Encode(j.progress())})
		records = append(records, j.nextCrashesRecord()...)
	}
	s.inFlight = &batch{effects: s.awaitingStore, acknowledged: acknowledged}
	s.dirty, s.pendingRecords, s.awaitingStore = nil, nil, nil
	return records, true
}

// ConfirmBatch records that the batch is stored and emits the effects that waited for it.
func (s *Scheduler) ConfirmBatch() {
	b := s.inFlight
	if b == nil {
		return
	}
	s.inFlight = nil
	s.recountQuota()
	for _, e := range b.effects {
		if start, isStart := e.(StartRun); isStart {
			s.dropStart(start)
		}
	}
	for _, e := range b.effects {
		if start, isStart := e.(StartRun); isStart {
			s.startsPaced.queue = append(s.startsPaced.queue, start)
			continue
		}
		s.emit(e)
	}
	s.sendQueuedStarts()
	for t, a := range b.acknowledged {
		// The numbers of a new process begin anew.
		if t.restarts == a.restarts {
			t.endsStored = a.number
		}
	}
}
