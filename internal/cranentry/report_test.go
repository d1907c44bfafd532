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

// testReporter is a reporter that has started reporting and whose log lines can be
// read.
type testReporter struct {
	*reporter
	t     *testing.T
	lines bytes.Buffer
}

func newTestReporter(t *testing.T) *testReporter {
	g := &testReporter{t: t}
	logger := cranevent.New(&g.lines, cranevent.WithStrict(), cranevent.WithLevel(cranevent.LevelDebug))
	g.reporter = newReporter(logger, cranmetric.New(), "e1-1")
	g.onCaughtUp(cranstate.New())
	return g
}

// eventNames returns the names of the events logged since the last call.
func (g *testReporter) eventNames() []string {
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

// report reports the effects of one record of the writer and returns the names of
// the events logged.
func (g *testReporter) report(writer string, effects ...cranstate.Effect) []string {
	g.onEffects(cranstate.New(), cranlog.NewEntry(7, 0, cranlog.NewEnvelope(writer, 1, nil)), effects)
	return g.eventNames()
}

// reportChange reports a phase change of instance a.
func (g *testReporter) reportChange(from, to cranstate.Phase, pool, cause string) []string {
	return g.report("e2-1", cranstate.InstanceChanged{Instance: "a", From: from, To: to, Pool: pool, Cause: cause})
}

// metricsPage returns the metrics in text form.
func (g *testReporter) metricsPage() string {
	w := httptest.NewRecorder()
	g.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

// TestInstanceEvents follows one instance through an arrival, a reboot, a move, a
// cancelled move, a loss during a reboot and a second arrival.
func TestInstanceEvents(t *testing.T) {
	g := newTestReporter(t)
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
		require.Equal(t, []string{step.want}, g.reportChange(step.from, step.to, step.pool, step.cause))
	}
}

func TestWaveEvents(t *testing.T) {
	g := newTestReporter(t)
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
		require.Equal(t, []string{step.want}, g.report("e2-1", cranstate.WaveChanged{Wave: 3, Phase: step.phase}))
	}
	require.Empty(t, g.transitions.haltedWaves)
}

// TestConfigurationAccepted checks that only the entry that proposed a
// configuration logs its acceptance.
func TestConfigurationAccepted(t *testing.T) {
	g := newTestReporter(t)
	config := cranstate.ConfigInForce{Revision: 8}
	require.Equal(t, []string{"configurationAccepted", "configurationInForce"}, g.report("e1-1", config))
	require.Equal(t, []string{"configurationInForce"}, g.report("e2-1", config))
}

// TestReadinessEvents checks that only changes of readiness are logged, and that
// the gauge follows them.
func TestReadinessEvents(t *testing.T) {
	g := newTestReporter(t)
	isolated := cranfault.New(cranfault.Isolated, "wait", "isolated")
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
		g.onReadiness(step.refusal, 7)
		require.Equal(t, step.want, g.eventNames())
		require.Contains(t, g.metricsPage(), "cranberrypick_ready "+step.gauge+"\n")
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
		g.onClaimReadiness(step.refusal)
		require.Equal(t, step.want, g.eventNames())
	}
}

// TestPeerRefusals checks that every refusal is counted, and which kinds are logged.
func TestPeerRefusals(t *testing.T) {
	g := newTestReporter(t)
	for kind, want := range map[cranfault.Kind][]string{
		cranfault.UnknownPeer:    {"peerRefused"},
		cranfault.Malformed:      {"peerMalformed"},
		cranfault.TooLarge:       {"peerMalformed"},
		cranfault.NotReady:       nil,
		cranfault.LogUnavailable: nil,
	} {
		g.onPeerRefused(kind)
		require.Equal(t, want, g.eventNames(), kind)
		require.Contains(t, g.metricsPage(), `cranberrypick_refusals_total{reason="`+string(kind)+"\"} 1\n")
	}
}

// TestPhaseGauges checks that the gauge of a phase without instances is reset to 0.
func TestPhaseGauges(t *testing.T) {
	g := newTestReporter(t)
	for _, phase := range []string{"returning", "serving", "cordoned", "stopping", "leaving"} {
		g.metrics.SetInstances(phase, 5)
	}
	g.setGauges(cranstate.New())
	require.NotRegexp(t, `cranberrypick_instances\{phase="\w+"\} 5`, g.metricsPage())
}
