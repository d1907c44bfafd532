package cranstate

import (
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// writerRetentionMs is how long a writer that is not a member is remembered, outages
// of the log not counted.
const writerRetentionMs = int64(60 * 60 * 1000)

// Input is one record of the log as the reducer sees it.
type Input struct {
	Offset uint64
	TimeMs int64
	Writer string
	Seq    uint64
	Body   []byte
	// Unreadable is set when not even the envelope could be read.
	Unreadable bool
}

// applyContext is the context of one record while it is applied.
type applyContext struct {
	*State
	in      Input
	effects []Effect
}

// Apply applies the record at offset Next and returns its effects. A record
// at any other offset is a fault of the caller: Apply returns a fault of kind
// conflict and changes nothing. Malformed and repeated records are passed
// over, alike at every entry.
func (s *State) Apply(in Input) ([]Effect, error) {
	if in.Offset != s.next {
		return nil, cranfault.New(cranfault.Conflict, "read the log again from that offset, or load a snapshot",
			"record at offset %d where %d is next", in.Offset, s.next)
	}
	c := &applyContext{State: s, in: in}
	s.next++
	c.advanceClock(in.TimeMs)
	c.dispatch()
	c.runFollowUps()
	return c.effects, nil
}

// invalidateViews notes that views of the state are out of date.
func (c *applyContext) invalidateViews() { c.routingVersion = c.in.Offset + 1 }

func (c *applyContext) emit(e Effect) { c.effects = append(c.effects, e) }

// dispatch decodes the record, drops repeats, and tells the writer the
// outcome.
func (c *applyContext) dispatch() {
	if c.in.Unreadable || c.in.Writer == "" {
		c.skipMalformed("envelope cannot be read")
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

// runFollowUps does what follows from the record and from the time that passed.
func (c *applyContext) runFollowUps() {
	c.writeOffMembers()
	c.passDrainBarriers()
	c.updateWaves()
	c.pruneHighWaterMarks()
}

// pruneHighWaterMarks drops the marks of writers long gone. A record of theirs
// cannot be in flight any more: appends time out within seconds.
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
