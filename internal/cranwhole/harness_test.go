package cranwhole

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranadmin"
	// TestMain builds the programs under test from this package. The import makes
	// it a dependency of the test, so that the test cache notices its changes.
	_ "github.com/cranberrypick/cranberrypick/internal/crancli"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// waitTimeout bounds each wait for an event that must happen eventually. It is long
// because the tests don't check how fast the event happens.
const waitTimeout = 60 * time.Second

// binDir is the directory of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs under test, runs the tests and returns the exit code.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cranwhole")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/cranberrypick", "../../cmd/cranstandin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// process is a running program under test.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
	// firstLine is the first line on standard output, which contains its addresses.
	firstLine string
	stderr    *bytes.Buffer
	// exited is closed once the process has exited.
	exited chan struct{}
}

// startProcess starts a program and waits for its first line on standard output.
func startProcess(t *testing.T, program string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(filepath.Join(binDir, program), args...)
	stdout, err := cmd.StdoutPipe()
	require.NoError(t, err)
	p := &process{t: t, cmd: cmd, stderr: &bytes.Buffer{}, exited: make(chan struct{})}
	cmd.Stderr = p.stderr
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s %v ended: %v; its standard error:\n%s", program, args, cmd.ProcessState, p.stderr)
		}
	})
	r := bufio.NewReader(stdout)
	p.firstLine, err = r.ReadString('\n')
	go func() {
		_, _ = io.Copy(io.Discard, r)
		_ = cmd.Wait()
		close(p.exited)
	}()
	if err != nil {
		<-p.exited
		require.NoError(t, err, "%s %v: %s", program, args, p.stderr)
	}
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop sends SIGTERM, which stops the process gracefully, and waits until it has
// exited.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	<-p.exited
}

// entryProcess is the process of an entry instance.
type entryProcess struct {
	*process
	// callerURL is the base URL for callers.
	callerURL string
	admin     *cranadmin.Client
}

// system is a deployment on the loopback interface: a stand-in for the platform,
// targets and entries. It also records the outcomes of the requests of callers.
type system struct {
	t           *testing.T
	dir         string
	platformURL string
	// targetURLs and entries are indexed by the ID of the instance.
	targetURLs map[string]string
	entries    map[string]*entryProcess

	mu sync.Mutex
	// outcomes holds the outcomes of the requests with each idempotency key.
	outcomes map[string][]string
	// nonIdempotent tells for each idempotency key whether its requests are not
	// idempotent, and so may run at most once.
	nonIdempotent map[string]bool
}

// newSystem starts the stand-in for the platform.
func newSystem(t *testing.T) *system {
	p := startProcess(t, "cranstandin", "platform", "--listen", "127.0.0.1:0")
	return &system{
		t: t, dir: t.TempDir(), platformURL: "http://" + lastField(p.firstLine),
		targetURLs: map[string]string{}, entries: map[string]*entryProcess{}, outcomes: map[string][]string{}, nonIdempotent: map[string]bool{},
	}
}

// lastField returns the last word of the first line of a program, its address.
func lastField(line string) string {
	f := strings.Fields(line)
	return f[len(f)-1]
}

// startTarget starts a target with 8 slots, which registers with the platform.
func (s *system) startTarget(id, pool, domain string) {
	p := startProcess(s.t, "cranstandin", "target", "--listen", "127.0.0.1:0", "--id", id, "--slots", "8",
		"--connections", "64", "--platform", s.platformURL, "--domain", domain, "--data-centre", "dc1", "--pool", pool)
	s.targetURLs[id] = "http://" + lastField(p.firstLine)
}

// startEntry starts an entry and registers it with the platform.
func (s *system) startEntry(id string) {
	file := filepath.Join(s.dir, id+".toml")
	settings := fmt.Sprintf("id = %q\ndataCentre = \"dc1\"\nlisten = \"127.0.0.1:0\"\npeerListen = \"127.0.0.1:0\"\nadminListen = \"127.0.0.1:0\"\nplatform = %q\n", id, s.platformURL)
	require.NoError(s.t, os.WriteFile(file, []byte(settings), 0o600))
	p := startProcess(s.t, "cranberrypick", "serve", "--settings", file)
	f := strings.Fields(p.firstLine)
	s.entries[id] = &entryProcess{process: p, callerURL: "http://" + f[1], admin: cranadmin.NewClient("http://" + f[3])}
	s.sendJSON(http.MethodPost, s.platformURL+"/instances", cranplatform.Instance{ID: id, Address: f[1], Role: "entry"})
}

// loseEntry kills an entry and removes it from the platform as an abrupt loss.
func (s *system) loseEntry(id string) {
	s.entries[id].kill()
	delete(s.entries, id)
	s.sendJSON(http.MethodDelete, s.platformURL+"/instances/"+id+"?abrupt=true", struct{}{})
}

// testConfig returns the configuration of a fleet that has a pool of the given size,
// with one service, and a spare pool.
func testConfig(t *testing.T, instances, maxUnavailable int) *cranfleet.Config {
	c, err := cranfleet.New("test",
		cranfleet.WithPool("roster", instances), cranfleet.WithSpare("office"),
		cranfleet.WithService("rosters", "roster", cranfleet.MaxUnavailable(maxUnavailable), cranfleet.MaxDuration(2*time.Second)))
	require.NoError(t, err)
	return c
}

// publish waits until an entry is ready and publishes a configuration through it.
func (s *system) publish(entry string, c *cranfleet.Config) {
	e := s.entries[entry]
	s.eventually("the entry is not ready", func() bool {
		st, err := e.admin.Status(context.Background())
		return err == nil && st.Ready
	})
	_, err := e.admin.Publish(context.Background(), s.status(entry).Revision, c.Encode())
	require.NoError(s.t, err)
}

func (s *system) status(entry string) cranadmin.Status {
	st, err := s.entries[entry].admin.Status(context.Background())
	require.NoError(s.t, err)
	return st
}

// waitAvailable waits until every entry reports n available instances in the pool
// roster.
func (s *system) waitAvailable(n int) {
	for id := range s.entries {
		s.eventually("the number of available instances is wrong", func() bool {
			for _, p := range s.status(id).Pools {
				if p.Name == "roster" {
					return p.Available == n
				}
			}
			return false
		})
	}
}

// eventually waits until a condition holds and fails the test with the message if it
// does not hold in time.
func (s *system) eventually(message string, ok func() bool) {
	s.t.Helper()
	require.Eventually(s.t, ok, waitTimeout, 20*time.Millisecond, message)
}

// call sends a request through an entry, and records and returns its outcome.
func (s *system) call(entry, method, key string) string {
	return s.callWithDuration(entry, method, key, 0)
}

// callWithDuration is call for a request that runs for the given time on the target.
func (s *system) callWithDuration(entry, method, key string, serviceTime time.Duration) string {
	outcome, _ := s.request(entry, method, key, serviceTime)
	return outcome
}

// request is callWithDuration and also returns the body of the response. The outcome
// is "none" if there was no response.
func (s *system) request(entry, method, key string, serviceTime time.Duration) (outcome, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, s.entries[entry].callerURL+"/s/rosters/"+key, strings.NewReader("body"))
	require.NoError(s.t, err)
	r.Header.Set("Idempotency-Key", key)
	if serviceTime > 0 {
		r.Header.Set("X-Service-Ms", fmt.Sprint(serviceTime.Milliseconds()))
	}
	outcome = "none"
	if resp, err := http.DefaultClient.Do(r); err == nil {
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		outcome, body = resp.Header.Get("X-Outcome"), string(text)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[key] = append(s.outcomes[key], outcome)
	s.nonIdempotent[key] = method == http.MethodPost
	return outcome, body
}

// getJSON requests a URL and decodes the JSON body of the response.
func (s *system) getJSON(url string, v any) {
	resp, err := http.Get(url) //nolint:noctx // The request is short and to a local server.
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(v))
}

func (s *system) targetLedger(id string) cranstandin.TargetLedger {
	var l cranstandin.TargetLedger
	s.getJSON(s.targetURLs[id]+"/ledger", &l)
	return l
}

// platformActions returns the actions in the ledger of the platform.
func (s *system) platformActions() []cranstandin.LedgerEntry {
	var l struct {
		Entries []cranstandin.LedgerEntry `json:"entries"`
	}
	s.getJSON(s.platformURL+"/ledger", &l)
	return l.Entries
}

// sendJSON sends a JSON body to the stand-in for the platform.
func (s *system) sendJSON(method, url string, v any) {
	data, err := json.Marshal(v)
	require.NoError(s.t, err)
	r, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(data))
	require.NoError(s.t, err)
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	require.NoError(s.t, err)
	require.NoError(s.t, resp.Body.Close())
	require.Less(s.t, resp.StatusCode, 300)
}

// checkLedgers checks the invariants of every test: outcomes agree with what ran, no
// non-idempotent request ran twice, no planned stop aborted a run and no target
// received more runs than it has slots.
func (s *system) checkLedgers() {
	runs := map[string]int{}
	for id := range s.targetURLs {
		l := s.targetLedger(id)
		require.Zero(s.t, l.SlotRefusals, "target %s refused runs because no slot was free", id)
		require.LessOrEqual(s.t, l.MaxInProgress, 8)
		for _, r := range l.Runs {
			require.False(s.t, r.Aborted, "a stop aborted run %s on %s", r.Path, id)
			runs[path.Base(r.Path)]++
		}
	}
	for _, a := range s.platformActions() {
		if a.ID == "" {
			// Entries without an ID are losses that the test caused, not planned stops.
			continue
		}
		require.LessOrEqual(s.t, a.InProgressAtStop, 0, "action %s aborted requests", a.ID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, outcomes := range s.outcomes {
		s.checkOutcomes(key, outcomes, runs[key])
	}
}

// checkOutcomes checks the outcomes of all requests with a key against the number of
// runs that targets recorded for it.
func (s *system) checkOutcomes(key string, outcomes []string, runs int) {
	if s.nonIdempotent[key] {
		require.LessOrEqual(s.t, runs, 1, "%s ran twice", key)
	}
	answered := false
	onlyNotRun := true
	for _, v := range outcomes {
		answered = answered || v == "answered"
		onlyNotRun = onlyNotRun && v == "notRun"
	}
	if answered {
		require.Positive(s.t, runs, "%s was answered but never ran", key)
	}
	if onlyNotRun {
		require.Zero(s.t, runs, "%s ran although the outcome of every request was notRun", key)
	}
}
