package crannode

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// noteEvents maps the scheduler's decisions to events of the log.
var noteEvents = map[cransched.NoteKind]cranevent.Event{
	cransched.NoteStart:           cranevent.RunPlaced,
	cransched.NoteStartUnanswered: cranevent.RunUnanswered,
	cransched.NoteStartRefused:    cranevent.RunRefused,
	cransched.NoteEnd:             cranevent.RunEnded,
	cransched.NoteStop:            cranevent.RunStopped,
	cransched.NoteStray:           cranevent.RunUnknown,
	cransched.NoteNotStarted:      cranevent.RunReleased,
	cransched.NoteWithheld:        cranevent.EndWithheld,
	cransched.NoteLapsed:          cranevent.TargetLapsed,
	cransched.NoteReborn:          cranevent.TargetReborn,
	cransched.NoteTargetGone:      cranevent.TargetGone,
	cransched.NoteTargetLost:      cranevent.TargetLost,
	cransched.NoteTargetBack:      cranevent.TargetBack,
	cransched.NoteTargetFenced:    cranevent.TargetSuperseded,
	cransched.NoteJobEnded:        cranevent.JobEnded,
	cransched.NoteCordoned:        cranevent.TargetCordoned,
	cransched.NoteUpkeep:          cranevent.UpkeepOrdered,
	cransched.NoteWave:            cranevent.WaveChanged,
	cransched.NoteMove:            cranevent.MoveOrdered,
	cransched.NotePace:            cranevent.PaceChanged,
}

// note writes a decision of the scheduler to the log.
func (n *Node) note(e cransched.Note) {
	switch e.Kind {
	case cransched.NoteEnd:
		n.metrics.RunEnded(e.Reason)
	case cransched.NoteJobEnded:
		n.metrics.Ended(e.State.String())
	case cransched.NoteFirstStart:
		n.metrics.FirstStart(time.Duration(e.AgeMs) * time.Millisecond)
		return
	}
	fields := make([]cranevent.Field, 0, 6)
	if e.Job != "" {
		fields = append(fields, cranevent.Job(e.Job))
	}
	if e.Task != "" {
		fields = append(fields, cranevent.Task(e.Task))
	}
	if e.Run != 0 {
		fields = append(fields, cranevent.Number(e.Run))
	}
	if e.Target != "" {
		fields = append(fields, cranevent.Target(e.Target))
	}
	if e.Reason != "" {
		fields = append(fields, cranevent.Cause(e.Reason))
	}
	if e.AgeMs != 0 {
		fields = append(fields, cranevent.Age(time.Duration(e.AgeMs)*time.Millisecond))
	}
	n.log.Emit(noteEvents[e.Kind], fields...)
}
