package cranwavesim

import (
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// journal applies events to the real reducer, in the way the replicated log does.
type journal struct {
	state *cranstate.State
	seq   map[string]uint64
	// refused counts the events that the reducer refused.
	refused int
	// err is the first error of encoding or applying an event. Later events are ignored.
	err error
}

func newJournal() *journal {
	return &journal{state: cranstate.New(), seq: map[string]uint64{}}
}

// apply appends one event and returns its effects.
func (j *journal) apply(nowMs int64, writer string, e cranstate.Event) []cranstate.Effect {
	if j.err != nil {
		return nil
	}
	body, err := cranstate.EncodeEvent(e)
	if err != nil {
		j.err = err
		return nil
	}
	j.seq[writer]++
	effects, err := j.state.Apply(cranstate.Input{
		Offset: j.state.Next(), TimeMs: nowMs, Writer: writer, Seq: j.seq[writer], Body: body,
	})
	j.err = err
	for _, effect := range effects {
		if _, ok := effect.(cranstate.Refused); ok {
			j.refused++
		}
	}
	return effects
}
