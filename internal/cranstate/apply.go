package cranstate

import (
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// markKeptMs is how long a writer that is not a member is remembered, outages
// of the log not counted.
const markKeptMs = int64(60 * 60 * 1000)

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

// change is the context of one record while it is applied.
type change struct {
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
	c := &change{State: s, in: in}
	s.next++
	c.advance(in.TimeMs)
	c.dispatch()
	c.settle()
	return c.effects, nil
}

// reroute notes that views of the state are out of date.
func (c *change) reroute() { c.routed = c.in.Offset + 1 }

func (c *change) emit(e Effect) { c.effects = append(c.effects, e) }

// dispatch decodes the record, drops repeats, and tells the writer the
// outcome.
func (c *change) dispatch() {
	if c.in.Unreadable || c.in.Writer == "" {
		c.skip("envelope cannot be read")
		return
	}
	if c.marks[c.in.Writer].seq >= c.in.Seq {
		return
	}
	c.marks[c.in.Writer] = mark{seq: c.in.Seq, seenMs: c.nowMs}
	e, err := DecodeEvent(c.in.Body)
	if err != nil {
		c.skip(err.Error())
		return
	}
	if fault := rules[e.kind()].reduce(c, e); fault != nil {
		c.emit(Refused{Writer: c.in.Writer, Seq: c.in.Seq, Offset: c.in.Offset, Fault: fault})
		return
	}
	c.emit(Accepted{Writer: c.in.Writer, Seq: c.in.Seq, Offset: c.in.Offset})
}

func (c *change) skip(reason string) {
	c.malformed++
	c.emit(MalformedSkipped{Offset: c.in.Offset, Reason: reason})
}

// settle does what follows from the record and from the time that passed.
func (c *change) settle() {
	c.writeOffMembers()
	c.passBarriers()
	c.settleWaves()
	c.forgetWriters()
}

// forgetWriters drops the marks of writers long gone. A record of theirs
// cannot be in flight any more: appends time out within seconds.
func (c *change) forgetWriters() {
	if c.in.Offset%64 != 0 {
		return
	}
	for _, writer := range sortedKeys(c.marks) {
		_, isMember := c.members[writer]
		if !isMember && c.nowMs-c.marks[writer].seenMs > markKeptMs {
			delete(c.marks, writer)
		}
	}
}
