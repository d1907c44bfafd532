package crancli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranadmin"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// runCommandLine runs one command line and returns its exit code and output.
func runCommandLine(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = Run(context.Background(), args, &out, &errOut)
	return code, out.String(), errOut.String()
}

func writeFile(t *testing.T, name string, data []byte) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

func encodedConfig(t *testing.T) []byte {
	c, err := cranfleet.New("test", cranfleet.WithSpare("office"), cranfleet.WithPool("roster", 2),
		cranfleet.WithService("rosters", "roster"))
	require.NoError(t, err)
	return c.Encode()
}

func TestExitCodes(t *testing.T) {
	bad := writeFile(t, "bad.toml", []byte("dataCenter = \"dc1\"\n"))
	config := writeFile(t, "config.json", encodedConfig(t))
	cases := []struct {
		name     string
		args     []string
		code     int
		contains string
	}{
		{"help", []string{"--help"}, exitSuccess, "Exit codes"},
		{"help of a command", []string{"wave", "--help"}, exitSuccess, "--resume"},
		{"no command", nil, exitUsage, "expected"},
		{"unknown command", []string{"reboot"}, exitUsage, "reboot"},
		{"nothing to check", []string{"check"}, exitUsage, "--settings"},
		{"bad settings", []string{"check", "--settings", bad}, exitUsage, "did you mean dataCentre"},
		{"missing settings", []string{"serve", "--settings", "none.toml"}, exitUsage, "none.toml"},
		{"bad configuration", []string{"check", "--config", bad}, exitUsage, "bad.toml"},
		{"good configuration", []string{"check", "--config", config}, exitSuccess, "no faults"},
		{"entry instance unreachable", []string{"drain", "r1", "--entry", "http://127.0.0.1:1"}, exitOutcomeUnknown, "remedy"},
		{"no pools", []string{"wave", "--entry", "http://127.0.0.1:1"}, exitUsage, "name the pools"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := runCommandLine(c.args...)
			require.Equal(t, c.code, code, stdout+stderr)
			require.Contains(t, stdout+stderr, c.contains)
		})
	}
}

// fakeEntry records proposals and answers each with err.
type fakeEntry struct {
	proposed []cranstate.Event
	err      error
}

func (f *fakeEntry) Ready() error { return nil }

func (f *fakeEntry) Status(context.Context) (cranadmin.Status, error) {
	return cranadmin.Status{Entry: "e1-a", Ready: true, Revision: 7}, nil
}

func (f *fakeEntry) Explain(context.Context, string) ([]cranstate.Blocker, error) {
	return []cranstate.Blocker{{Subject: "r1", Reason: "entry e2 is silent", Remedy: "replace it"}}, nil
}

func (f *fakeEntry) Propose(_ context.Context, e cranstate.Event) (uint64, error) {
	f.proposed = append(f.proposed, e)
	return 41, f.err
}

func TestOperatorCommands(t *testing.T) {
	entry := &fakeEntry{}
	s := httptest.NewServer(cranadmin.Handler(entry, http.NotFoundHandler()))
	defer s.Close()
	config := writeFile(t, "config.json", encodedConfig(t))
	withEntry := func(args ...string) []string { return append(args, "--entry", s.URL) }
	cases := []struct {
		args  []string
		event cranstate.Event
	}{
		{withEntry("publish", config), cranstate.ConfigPublished{Base: 7, Config: encodedConfig(t)}},
		{withEntry("publish", config, "--base", "5"), cranstate.ConfigPublished{Base: 5, Config: encodedConfig(t)}},
		{withEntry("drain", "r1"), cranstate.StopProposed{Instance: "r1", Kind: cranstate.StopReboot}},
		{withEntry("drain", "r1", "--cancel"), cranstate.StopCancelled{Instance: "r1"}},
		{withEntry("move", "o1", "roster"), cranstate.StopProposed{Instance: "o1", Kind: cranstate.StopMove, Pool: "roster"}},
		{withEntry("wave", "roster", "booking"), cranstate.WaveProposed{Pools: []string{"roster", "booking"}, MaxFailures: 1}},
		{withEntry("wave", "--resume", "9"), cranstate.WaveResumed{Wave: 9}},
		{withEntry("wave", "--cancel", "9"), cranstate.WaveCancelled{Wave: 9}},
	}
	for _, c := range cases {
		entry.proposed = nil
		code, stdout, stderr := runCommandLine(c.args...)
		require.Equal(t, exitSuccess, code, stderr)
		require.Equal(t, []cranstate.Event{c.event}, entry.proposed)
		require.Contains(t, stdout, "accepted")
	}
	entry.err = cranfault.New(cranfault.BudgetSpent, "wait", "too few")
	code, _, stderr := runCommandLine(withEntry("drain", "r1")...)
	require.Equal(t, exitFailed, code)
	require.Contains(t, stderr, "budgetSpent: too few; remedy: wait")
	entry.err = cranfault.New(cranfault.Timeout, "look at the status", "no outcome")
	code, _, _ = runCommandLine(withEntry("drain", "r1")...)
	require.Equal(t, exitOutcomeUnknown, code)
	_, stdout, _ := runCommandLine(withEntry("explain")...)
	require.Equal(t, "r1: entry e2 is silent; remedy: replace it\n", stdout)
	_, stdout, _ = runCommandLine(withEntry("status", "--json")...)
	var status cranadmin.Status
	require.NoError(t, json.Unmarshal([]byte(stdout), &status))
	require.EqualValues(t, 7, status.Revision)
}

// TestExplainFromLogs checks that explain merges the logs of two entry
// instances into the history of a job and lists its gaps.
func TestExplainFromLogs(t *testing.T) {
	first := writeFile(t, "a.log", []byte(`{"time":"2026-02-10T10:00:00.000Z","process":"a","event":1001,"name":"jobAccepted","job":"j1"}
{"time":"2026-02-10T10:00:00.100Z","process":"a","event":1201,"name":"runPlaced","job":"j1","task":"j1.0.0.0","number":1,"target":"t1"}
`))
	second := writeFile(t, "b.log", []byte(`{"time":"2026-02-10T10:00:02.000Z","process":"b","event":1103,"name":"schedulerTaken","epoch":2}
{"time":"2026-02-10T10:00:03.000Z","process":"b","event":1204,"name":"runEnded","job":"j1","task":"j1.0.0.0","number":1,"target":"t1","cause":"done"}
`))
	code, stdout, _ := runCommandLine("explain", "--log", first, "--log", second, "j1")
	require.Zero(t, code)
	lines := strings.Split(strings.TrimSpace(stdout), "\n")
	require.Len(t, lines, 5)
	require.Contains(t, lines[1], "0.100")
	require.Contains(t, lines[2], "schedulerTaken")
	require.Equal(t, "gap: no log has the end of j1; it may still be running", lines[4])
	code, _, stderr := runCommandLine("explain", "--log", first, "j9")
	require.NotZero(t, code)
	require.Contains(t, stderr, "add the logs")
	code, _, _ = runCommandLine("explain", "--log", first)
	require.NotZero(t, code)
}
