package cranentry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranmetric"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// reportRig is a live reporter whose lines can be read.
type reportRig struct {
	*reporter
	t     *testing.T
	lines bytes.Buffer
}

func newReportRig(t *testing.T) *reportRig {
	g := &reportRig{t: t}
	logger := cranevent.New(&g.lines, cranevent.WithStrict(), cranevent.WithLevel(cranevent.LevelDebug))
	g.reporter = newReporter(logger, cranmetric.New(), "e1-1")
	g.caughtUp(cranstate.New())
	return g
}

// names returns the names of the events since the last call.
func (g *reportRig) names() []string {
	var list []string
	d := json.NewDecoder(&g.lines)
	for d.More() {
		var line struct {
			Name string `json:"name"`
		}
		require.NoError(g.t, d.Decode(&line))
		list = append(list, line.Name)
	}
	return list
}

// apply reports the effects of one record by the writer.
func (g *reportRig) apply(writer string, effects ...cranstate.Effect) []string {
	g.effects(cranstate.New(), cranlog.NewEntry(7, 0, cranlog.NewEnvelope(writer, 1, nil)), effects)
	return g.names()
}

// change reports a change of the phase of instance a.
func (g *reportRig) change(from, to cranstate.Phase, pool, cause string) []string {
	return g.apply("e2-1", cranstate.InstanceChanged{Instance: "a", From: from, To: to, Pool: pool, Cause: cause})
}

func (g *reportRig) page() string {
	w := httptest.NewRecorder()
	g.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

// TestInstanceEvents follows one instance through an arrival, a reboot, a
// move and a move that is taken back.
func TestInstanceEvents(t *testing.T) {
	g := newReportRig(t)
	const (
		returning, serving = cranstate.PhaseReturning, cranstate.PhaseServing
		cordoned, stopping = cranstate.PhaseCordoned, cranstate.PhaseStopping
	)
	reboot, move := string(cranstate.StopReboot), string(cranstate.StopMove)
	for _, step := range []struct {
		from, to    cranstate.Phase
		pool, cause string
		want        string
	}{
		{"", returning, "blue", "arrived", "instanceChanged"},
		{returning, serving, "blue", "probed", "instanceReady"},
		{serving, cordoned, "blue", reboot, "stopCordoned"},
		{cordoned, stopping, "blue", reboot, "instanceChanged"},
		{stopping, returning, "blue", "stopped", "stopRebooted"},
		{returning, serving, "blue", "probed", "stopBack"},
		{serving, cordoned, "blue", move, "stopCordoned"},
		{cordoned, stopping, "blue", move, "instanceChanged"},
		{stopping, returning, "red", "stopped", "moveDone"},
		{returning, serving, "red", "probed", "stopBack"},
		{serving, cordoned, "red", move, "stopCordoned"},
		{cordoned, serving, "red", "cancelled", "stopCancelled"},
		{serving, cordoned, "red", reboot, "stopCordoned"},
		{cordoned, stopping, "red", reboot, "instanceChanged"},
		{stopping, returning, "red", "stopped", "stopRebooted"},
		{returning, cranstate.PhaseGone, "red", "gone", "instanceLost"},
		{"", returning, "red", "arrived", "instanceChanged"},
		{returning, serving, "red", "probed", "instanceReady"},
	} {
		require.Equal(t, []string{step.want}, g.change(step.from, step.to, step.pool, step.cause))
	}
}

func TestWaveEvents(t *testing.T) {
	g := newReportRig(t)
	for _, step := range []struct {
		phase cranstate.WavePhase
		want  string
	}{
		{cranstate.WavePhaseActive, "waveStarted"},
		{cranstate.WavePhaseHalted, "waveHalted"},
		{cranstate.WavePhaseActive, "waveResumed"},
		{cranstate.WavePhaseHalted, "waveHalted"},
		{cranstate.WavePhaseCancelled, "waveCancelled"},
	} {
		require.Equal(t, []string{step.want}, g.apply("e2-1", cranstate.WaveChanged{Wave: 3, Phase: step.phase}))
	}
	require.Empty(t, g.passages.halted)
}

// TestConfigurationAccepted checks that only the proposer logs the acceptance.
func TestConfigurationAccepted(t *testing.T) {
	g := newReportRig(t)
	config := cranstate.ConfigInForce{Revision: 8}
	require.Equal(t, []string{"configurationAccepted", "configurationInForce"}, g.apply("e1-1", config))
	require.Equal(t, []string{"configurationInForce"}, g.apply("e2-1", config))
}

// TestReadinessEvents checks that only changes are logged, and the gauge.
func TestReadinessEvents(t *testing.T) {
	g := newReportRig(t)
	isolated := cranfault.New(cranfault.Isolated, "wait", "alone")
	stopping := cranfault.New(cranfault.NotReady, "wait", "stopping")
	for _, step := range []struct {
		refusal error
		want    []string
		gauge   string
	}{
		{nil, []string{"entryReady"}, "1"},
		{nil, nil, "1"},
		{isolated, []string{"isolated", "entryNotReady"}, "0"},
		{isolated, nil, "0"},
		{nil, []string{"reconnected", "entryReady"}, "1"},
		{isolated, []string{"isolated", "entryNotReady"}, "0"},
		{stopping, nil, "0"},
	} {
		g.serving(step.refusal, 7)
		require.Equal(t, step.want, g.names())
		require.Contains(t, g.page(), "cranberrypick_ready "+step.gauge+"\n")
	}
	down := cranfault.New(cranfault.LogUnavailable, "wait", "down")
	for _, step := range []struct {
		refusal error
		want    []string
	}{
		{nil, nil},
		{down, []string{"claimsNotReady"}},
		{down, nil},
		{nil, []string{"claimsReady"}},
		{nil, nil},
	} {
		g.claiming(step.refusal)
		require.Equal(t, step.want, g.names())
	}
}

// TestPeerRefusals checks that every refusal counts, and which are logged.
func TestPeerRefusals(t *testing.T) {
	g := newReportRig(t)
	for kind, want := range map[cranfault.Kind][]string{
		cranfault.UnknownPeer:    {"peerRefused"},
		cranfault.Malformed:      {"peerMalformed"},
		cranfault.TooLarge:       {"peerMalformed"},
		cranfault.NotReady:       nil,
		cranfault.LogUnavailable: nil,
	} {
		g.peerRefused(kind)
		require.Equal(t, want, g.names(), kind)
		require.Contains(t, g.page(), `cranberrypick_refusals_total{reason="`+string(kind)+"\"} 1\n")
	}
}

// TestPhaseGauges checks that a phase that nobody is in any more shows 0.
func TestPhaseGauges(t *testing.T) {
	g := newReportRig(t)
	for _, phase := range []string{"returning", "serving", "cordoned", "stopping", "leaving"} {
		g.metrics.SetInstances(phase, 5)
	}
	g.state(cranstate.New())
	require.NotRegexp(t, `cranberrypick_instances\{phase="\w+"\} 5`, g.page())
}
