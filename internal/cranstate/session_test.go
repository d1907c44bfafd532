package cranstate

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// transcript sends events and writes down what came of them.
type transcript struct {
	*script
	text strings.Builder
}

func (r *transcript) step(title, writer string, e Event) {
	fmt.Fprintf(&r.text, "%s\n  %d %s: %T\n", title, r.state.Next(), writer, e)
	for _, f := range r.send(writer, e) {
		r.effect(f)
	}
}

func (r *transcript) effect(f Effect) {
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

// later lets time pass while only the given members beat.
func (r *transcript) later(seconds int, members ...string) {
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
					r.effect(f)
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

// TestSession keeps a whole session that a person can read: operators who
// race, a reboot through its barrier, a silent entry, a move, a spent budget
// and a wave that halts.
func TestSession(t *testing.T) {
	r := &transcript{script: serving(t)}
	r.must("e3-a", MemberJoined{Instance: "e3", Address: "127.0.0.1:73", DataCentre: "dc1", LeaseMs: 4000})
	base := r.state.Revision()
	config := testConfig(t)
	r.step("an operator publishes", "op1", ConfigPublished{Base: base, Config: config})
	r.step("another raced and is late", "op2", ConfigPublished{Base: base, Config: config})
	r.step("r1 is to reboot", "op1", StopProposed{Instance: "r1", Kind: StopReboot})
	r.step("both operators asked", "op2", StopProposed{Instance: "r1", Kind: StopReboot})
	r.later(1, "e1-a", "e2-a")
	r.explain("r1")
	r.later(5, "e1-a", "e2-a")
	r.explain("r1")
	r.later(16, "e1-a", "e2-a")
	r.step("the platform has acted", "e1-a", ActionsObserved{Done: []string{r.state.PendingActions()[0].ID}})
	r.step("its list shows the boot", "e1-a", InstancesObserved{Instances: []Observation{observed("r1", "roster", 2)}})
	r.step("it passes a probe", "e1-a", ProbesObserved{Probes: []Probe{{Instance: "r1", Boots: 2, Healthy: true}}})
	r.step("the silent entry wakes", "e3-a", Heartbeat{})
	r.step("o1 is to move", "op1", StopProposed{Instance: "o1", Kind: StopMove, Pool: "roster"})
	r.later(1, "e1-a", "e2-a")
	r.step("the platform has acted", "e1-a", ActionsObserved{Done: []string{r.state.PendingActions()[0].ID}})
	r.step("its list shows the pool", "e1-a", InstancesObserved{Instances: []Observation{observed("o1", "roster", 1)}})
	r.step("a wave over booking", "op1", WaveProposed{Pools: []string{"booking"}})
	wave := r.state.Waves()[0].ID()
	r.step("its first stop", "e1-a", StopProposed{Instance: "b1", Kind: StopReboot, Wave: wave})
	r.step("a second would be over the budget", "e1-a", StopProposed{Instance: "b2", Kind: StopReboot, Wave: wave})
	r.step("b3 fails without a plan", "e1-a", ProbesObserved{Probes: []Probe{{Instance: "b3", Boots: 1}}})
	r.step("the halted wave starts nothing", "e1-a", StopProposed{Instance: "b2", Kind: StopReboot, Wave: wave})
	r.step("an operator resumes it", "op1", WaveResumed{Wave: wave})
	goldie.New(t).Assert(t, "session", []byte(r.text.String()))
}
