package cranstate

import (
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// writerRetentionMs is how long the high-water mark of a writer that is not a
// member is kept after its last record. Outages of the log do not count.
const writerRetentionMs = int64(60 * 60 * 1000)

// Input is one record of the log, as the log reader hands it to the reducer.
type Input struct {
	Offset uint64
	// TimeMs is the platform's timestamp of the record.
	TimeMs int64
	// Writer is the incarnation or operator that appended the record.
	Writer string
	// Seq numbers the records of one writer, for dropping repeats.
	Seq  uint64
	Body []byte
	// Unreadable is set if the envelope around the body could not be decoded.
	Unreadable bool
}

// applyContext is the state together with the record being applied and the
// effects collected so far.
type applyContext struct {
	*State
	in      Input
	effects []Effect
}

// Apply applies the record at offset Next and returns its effects. A record
// at any other offset is an error of the caller: Apply returns a fault of kind
// conflict and changes nothing. Malformed and repeated records are skipped in
// the same way at every entry instance.
func (s *State) Apply(in Input) ([]Effect, error) {
	if in.Offset != s.next {
		return nil, cranfault.New(cranfault.Conflict, "read the log again from the expected offset, or load a snapshot",
			"record at offset %d, but offset %d is expected", in.Offset, s.next)
	}
	c := &applyContext{State: s, in: in}
	s.next++
	c.advanceClock(in.TimeMs)
	c.dispatch()
	c.runFollowUps()
	return c.effects, nil
}

// invalidateViews marks the views for routing and slot assignment that were made
// from earlier states as out of date.
func (c *applyContext) invalidateViews() { c.routingVersion = c.in.Offset + 1 }

func (c *applyContext) emit(e Effect) { c.effects = append(c.effects, e) }

// dispatch decodes the record, drops repeats, applies the event, and emits
// whether it was accepted or refused.
func (c *applyContext) dispatch() {
	if c.in.Unreadable || c.in.Writer == "" {
		c.skipMalformed("envelope cannot be decoded")
		return
	}
	if c.highWaterMarks[c.in.Writer].seq >= c.in.Seq {
		return
	}
	c.highWaterMarks[c.in.Writer] = highWaterMark{seq: c.in.Seq, seenMs: c.nowMs}
	e, err := DecodeEvent(c.in.Body)
	if err != nil {
		c.skipMalformed(err.Error())
		return
	}
	if fault := eventHandlers[e.kind()].reduce(c, e); fault != nil {
		c.emit(Refused{Writer: c.in.Writer, Seq: c.in.Seq, Offset: c.in.Offset, Fault: fault})
		return
	}
	c.emit(Accepted{Writer: c.in.Writer, Seq: c.in.Seq, Offset: c.in.Offset})
}

func (c *applyContext) skipMalformed(reason string) {
	c.malformed++
	c.emit(MalformedSkipped{Offset: c.in.Offset, Reason: reason})
}

// runFollowUps applies the transitions that became due through the record or
// the time that passed.
func (c *applyContext) runFollowUps() {
	c.writeOffMembers()
	c.passDrainBarriers()
	c.updateWaves()
	c.pruneHighWaterMarks()
}

// pruneHighWaterMarks drops the high-water marks of writers that are not
// members and have not written for writerRetentionMs. No repeat of theirs can
// be in flight any more: appends time out within seconds. It runs at every
// 64th record only.
func (c *applyContext) pruneHighWaterMarks() {
	if c.in.Offset%64 != 0 {
		return
	}
	for _, writer := range sortedKeys(c.highWaterMarks) {
		_, isMember := c.members[writer]
		if !isMember && c.nowMs-c.highWaterMarks[writer].seenMs > writerRetentionMs {
			delete(c.highWaterMarks, writer)
		}
	}
}
