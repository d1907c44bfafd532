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

// runLine runs one command line.
func runLine(args ...string) (code int, out, failures string) {
	var o, f bytes.Buffer
	code = Run(context.Background(), args, &o, &f)
	return code, o.String(), f.String()
}

func file(t *testing.T, name string, data []byte) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

func printed(t *testing.T) []byte {
	c, err := cranfleet.New("test", cranfleet.WithSpare("office"), cranfleet.WithPool("roster", 2),
		cranfleet.WithService("rosters", "roster"))
	require.NoError(t, err)
	return c.Encode()
}

func TestExitCodes(t *testing.T) {
	bad := file(t, "bad.toml", []byte("dataCenter = \"dc1\"\n"))
	config := file(t, "config.json", printed(t))
	cases := []struct {
		name string
		args []string
		code int
		says string
	}{
		{"help", []string{"--help"}, exitDone, "Exit codes"},
		{"help of a command", []string{"wave", "--help"}, exitDone, "--resume"},
		{"no command", nil, exitUsage, "expected"},
		{"unknown command", []string{"reboot"}, exitUsage, "reboot"},
		{"nothing to check", []string{"check"}, exitUsage, "--settings"},
		{"bad settings", []string{"check", "--settings", bad}, exitUsage, "did you mean dataCentre"},
		{"missing settings", []string{"serve", "--settings", "none.toml"}, exitUsage, "none.toml"},
		{"bad configuration", []string{"check", "--config", bad}, exitUsage, "bad.toml"},
		{"good configuration", []string{"check", "--config", config}, exitDone, "no faults"},
		{"nobody there", []string{"drain", "r1", "--entry", "http://127.0.0.1:1"}, exitUnknown, "remedy"},
		{"no pools", []string{"wave", "--entry", "http://127.0.0.1:1"}, exitUsage, "name the pools"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, out, failures := runLine(c.args...)
			require.Equal(t, c.code, code, out+failures)
			require.Contains(t, out+failures, c.says)
		})
	}
}

// fakeEntry decides on proposals as it is told.
type fakeEntry struct {
	proposed []cranstate.Event
	refusal  error
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
	return 41, f.refusal
}

func TestOperatorCommands(t *testing.T) {
	entry := &fakeEntry{}
	s := httptest.NewServer(cranadmin.Handler(entry, http.NotFoundHandler()))
	defer s.Close()
	config := file(t, "config.json", printed(t))
	at := func(args ...string) []string { return append(args, "--entry", s.URL) }
	cases := []struct {
		args  []string
		event cranstate.Event
	}{
		{at("publish", config), cranstate.ConfigPublished{Base: 7, Config: printed(t)}},
		{at("publish", config, "--base", "5"), cranstate.ConfigPublished{Base: 5, Config: printed(t)}},
		{at("drain", "r1"), cranstate.StopProposed{Instance: "r1", Kind: cranstate.StopReboot}},
		{at("drain", "r1", "--cancel"), cranstate.StopCancelled{Instance: "r1"}},
		{at("move", "o1", "roster"), cranstate.StopProposed{Instance: "o1", Kind: cranstate.StopMove, Pool: "roster"}},
		{at("wave", "roster", "booking"), cranstate.WaveProposed{Pools: []string{"roster", "booking"}, MaxFailures: 1}},
		{at("wave", "--resume", "9"), cranstate.WaveResumed{Wave: 9}},
		{at("wave", "--cancel", "9"), cranstate.WaveCancelled{Wave: 9}},
	}
	for _, c := range cases {
		entry.proposed = nil
		code, out, failures := runLine(c.args...)
		require.Equal(t, exitDone, code, failures)
		require.Equal(t, []cranstate.Event{c.event}, entry.proposed)
		require.Contains(t, out, "accepted")
	}
	entry.refusal = cranfault.New(cranfault.BudgetSpent, "wait", "too few")
	code, _, failures := runLine(at("drain", "r1")...)
	require.Equal(t, exitRefused, code)
	require.Contains(t, failures, "budgetSpent: too few; remedy: wait")
	entry.refusal = cranfault.New(cranfault.Timeout, "look at the status", "no outcome")
	code, _, _ = runLine(at("drain", "r1")...)
	require.Equal(t, exitUnknown, code)
	_, out, _ := runLine(at("explain")...)
	require.Equal(t, "r1: entry e2 is silent; remedy: replace it\n", out)
	_, out, _ = runLine(at("status", "--json")...)
	var status cranadmin.Status
	require.NoError(t, json.Unmarshal([]byte(out), &status))
	require.EqualValues(t, 7, status.Revision)
}

// TestExplainFromLogs prints the life of a job from the logs of two entry
// instances, and what they leave open.
func TestExplainFromLogs(t *testing.T) {
	first := file(t, "a.log", []byte(`{"time":"2026-02-10T10:00:00.000Z","process":"a","event":1001,"name":"jobAccepted","job":"j1"}
{"time":"2026-02-10T10:00:00.100Z","process":"a","event":1201,"name":"runPlaced","job":"j1","task":"j1.0.0.0","number":1,"target":"t1"}
`))
	second := file(t, "b.log", []byte(`{"time":"2026-02-10T10:00:02.000Z","process":"b","event":1103,"name":"schedulerTaken","epoch":2}
{"time":"2026-02-10T10:00:03.000Z","process":"b","event":1204,"name":"runEnded","job":"j1","task":"j1.0.0.0","number":1,"target":"t1","cause":"done"}
`))
	code, out, _ := runLine("explain", "--log", first, "--log", second, "j1")
	require.Zero(t, code)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 5)
	require.Contains(t, lines[1], "0.100")
	require.Contains(t, lines[2], "schedulerTaken")
	require.Equal(t, "gap: no log has the end of j1; it may still be running", lines[4])
	code, _, failures := runLine("explain", "--log", first, "j9")
	require.NotZero(t, code)
	require.Contains(t, failures, "add the logs")
	code, _, _ = runLine("explain", "--log", first)
	require.NotZero(t, code)
}
