package cranstate

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// transcript sends events and writes their effects to a text.
type transcript struct {
	*script
	text strings.Builder
}

func (r *transcript) step(title, writer string, e Event) {
	fmt.Fprintf(&r.text, "%s\n  %d %s: %T\n", title, r.state.Next(), writer, e)
	for _, f := range r.send(writer, e) {
		r.writeEffect(f)
	}
}

func (r *transcript) writeEffect(f Effect) {
	switch f := f.(type) {
	case Accepted:
		fmt.Fprintf(&r.text, "    accepted\n")
	case Refused:
		fmt.Fprintf(&r.text, "    refused %v\n", f.Fault)
	case InstanceChanged:
		fmt.Fprintf(&r.text, "    %s in %s: %s -> %s (%s)\n", f.Instance, f.Pool, f.From, f.To, f.Cause)
	default:
		fmt.Fprintf(&r.text, "    %T%+v\n", f, f)
	}
}

// advanceWithHeartbeats advances the time by some seconds, at each of which only
// the given members send a heartbeat.
func (r *transcript) advanceWithHeartbeats(seconds int, members ...string) {
	fmt.Fprintf(&r.text, "%d s pass, heartbeats of %s\n", seconds, strings.Join(members, " "))
	for range seconds {
		r.nowMs += 1000
		for _, m := range members {
			hb := Heartbeat{Revision: r.state.Revision()}
			for _, in := range r.state.InstancesWithStop() {
				st, _ := in.Stop()
				hb.Drained = append(hb.Drained, st.ID())
			}
			for _, f := range r.send(m, hb) {
				if _, ok := f.(Accepted); !ok {
					r.writeEffect(f)
				}
			}
		}
	}
}

func (r *transcript) explain(subject string) {
	for _, b := range r.state.ExplainInstance(subject) {
		fmt.Fprintf(&r.text, "  explain: %s; %s\n", b.Reason, b.Remedy)
	}
}

// TestSession compares the transcript of a session with a golden file: two
// operators who publish at the same time, a reboot with its drain barrier, a
// member that is written off, a move, an exhausted budget and a wave that halts.
func TestSession(t *testing.T) {
	r := &transcript{script: newServingFleet(t)}
	r.mustAccept("e3-a", MemberJoined{Instance: "e3", Address: "127.0.0.1:73", DataCentre: "dc1", LeaseMs: 4000})
	base := r.state.Revision()
	config := testConfig(t)
	r.step("an operator publishes a configuration", "op1", ConfigPublished{Base: base, Config: config})
	r.step("a second operator publishes from the same base revision", "op2", ConfigPublished{Base: base, Config: config})
	r.step("an operator proposes to reboot r1", "op1", StopProposed{Instance: "r1", Kind: StopReboot})
	r.step("a second operator proposes the same reboot", "op2", StopProposed{Instance: "r1", Kind: StopReboot})
	r.advanceWithHeartbeats(1, "e1-a", "e2-a")
	r.explain("r1")
	r.advanceWithHeartbeats(5, "e1-a", "e2-a")
	r.explain("r1")
	r.advanceWithHeartbeats(16, "e1-a", "e2-a")
	r.step("the platform reports the action as completed", "e1-a", ActionsObserved{Done: []string{r.state.PendingActions()[0].ID}})
	r.step("the platform's list shows the new boot count", "e1-a", InstancesObserved{Instances: []Observation{observed("r1", "roster", 2)}})
	r.step("r1 passes a health probe", "e1-a", ProbesObserved{Probes: []Probe{{Instance: "r1", Boots: 2, Healthy: true}}})
	r.step("the member that was written off sends a heartbeat", "e3-a", Heartbeat{})
	r.step("an operator proposes to move o1", "op1", StopProposed{Instance: "o1", Kind: StopMove, Pool: "roster"})
	r.advanceWithHeartbeats(1, "e1-a", "e2-a")
	r.step("the platform reports the action as completed", "e1-a", ActionsObserved{Done: []string{r.state.PendingActions()[0].ID}})
	r.step("the platform's list shows the new pool", "e1-a", InstancesObserved{Instances: []Observation{observed("o1", "roster", 1)}})
	r.step("an operator proposes a wave over pool booking", "op1", WaveProposed{Pools: []string{"booking"}})
	wave := r.state.Waves()[0].ID()
	r.step("the wave stops its first instance", "e1-a", StopProposed{Instance: "b1", Kind: StopReboot, Wave: wave})
	r.step("a second stop would exceed the budget", "e1-a", StopProposed{Instance: "b2", Kind: StopReboot, Wave: wave})
	r.step("b3 fails unplanned", "e1-a", ProbesObserved{Probes: []Probe{{Instance: "b3", Boots: 1}}})
	r.step("a stop in the halted wave still exceeds the budget", "e1-a", StopProposed{Instance: "b2", Kind: StopReboot, Wave: wave})
	r.step("an operator resumes the wave", "op1", WaveResumed{Wave: wave})
	goldie.New(t).Assert(t, "session", []byte(r.text.String()))
}
