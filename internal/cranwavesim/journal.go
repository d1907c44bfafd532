package cranwavesim

import (
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// journal applies events to the real reducer as a log would.
type journal struct {
	state *cranstate.State
	seq   map[string]uint64
	// refused counts proposals that the reducer refused.
	refused int
	// err is the first fault of the journal itself; nothing is applied after.
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
