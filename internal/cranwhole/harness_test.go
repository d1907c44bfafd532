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
	// The programs under test are built from this package; the import lets
	// the test cache see its changes.
	_ "github.com/cranberrypick/cranberrypick/internal/crancli"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// patience bounds every wait for something that must happen in the end. It
// is no bound on how fast that is.
const patience = 60 * time.Second

// binDir holds the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

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

// process is one program under test.
type process struct {
	t     *testing.T
	cmd   *exec.Cmd
	first string
	out   *bytes.Buffer
	done  chan struct{}
}

// start runs a program and waits for its first line.
func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(filepath.Join(binDir, program), args...)
	stdout, err := cmd.StdoutPipe()
	require.NoError(t, err)
	p := &process{t: t, cmd: cmd, out: &bytes.Buffer{}, done: make(chan struct{})}
	cmd.Stderr = p.out
	require.NoError(t, cmd.Start())
	t.Cleanup(p.kill)
	r := bufio.NewReader(stdout)
	p.first, err = r.ReadString('\n')
	go func() {
		_, _ = io.Copy(io.Discard, r)
		_ = cmd.Wait()
		close(p.done)
	}()
	if err != nil {
		<-p.done
		require.NoError(t, err, "%s %v: %s", program, args, p.out)
	}
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks the process to stop gracefully and waits for it.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	<-p.done
}

// entryProcess is an entry instance and its addresses.
type entryProcess struct {
	*process
	callers string
	admin   *cranadmin.Client
}

// system is the whole path on the loopback interface.
type system struct {
	t        *testing.T
	dir      string
	platform string
	targets  map[string]string
	entries  map[string]*entryProcess

	mu sync.Mutex
	// told holds what each caller was told, by key.
	told map[string][]string
	// once holds the keys of non-idempotent requests.
	once map[string]bool
}

func newSystem(t *testing.T) *system {
	p := start(t, "cranstandin", "platform", "--listen", "127.0.0.1:0")
	return &system{
		t: t, dir: t.TempDir(), platform: "http://" + lastField(p.first),
		targets: map[string]string{}, entries: map[string]*entryProcess{}, told: map[string][]string{}, once: map[string]bool{},
	}
}

func lastField(line string) string {
	f := strings.Fields(line)
	return f[len(f)-1]
}

func (s *system) startTarget(id, pool, domain string) {
	p := start(s.t, "cranstandin", "target", "--listen", "127.0.0.1:0", "--id", id, "--slots", "8",
		"--connections", "64", "--platform", s.platform, "--domain", domain, "--data-centre", "dc1", "--pool", pool)
	s.targets[id] = "http://" + lastField(p.first)
}

func (s *system) startEntry(id string) {
	file := filepath.Join(s.dir, id+".toml")
	settings := fmt.Sprintf("id = %q\ndataCentre = \"dc1\"\nlisten = \"127.0.0.1:0\"\npeerListen = \"127.0.0.1:0\"\nadminListen = \"127.0.0.1:0\"\nplatform = %q\n", id, s.platform)
	require.NoError(s.t, os.WriteFile(file, []byte(settings), 0o600))
	p := start(s.t, "cranberrypick", "serve", "--settings", file)
	f := strings.Fields(p.first)
	s.entries[id] = &entryProcess{process: p, callers: "http://" + f[1], admin: cranadmin.NewClient("http://" + f[3])}
	s.send(http.MethodPost, s.platform+"/instances", cranplatform.Instance{ID: id, Address: f[1], Role: "entry"})
}

// lose kills an entry, and the platform notices.
func (s *system) lose(id string) {
	s.entries[id].kill()
	delete(s.entries, id)
	s.send(http.MethodDelete, s.platform+"/instances/"+id+"?abrupt=true", struct{}{})
}

// testConfig is a fleet with one pool of the given size and a spare.
func testConfig(t *testing.T, instances, maxUnavailable int) *cranfleet.Config {
	c, err := cranfleet.New("test",
		cranfleet.WithPool("roster", instances), cranfleet.WithSpare("office"),
		cranfleet.WithService("rosters", "roster", cranfleet.MaxUnavailable(maxUnavailable), cranfleet.MaxDuration(2*time.Second)))
	require.NoError(t, err)
	return c
}

// publish publishes a configuration through an entry once the entry is ready.
func (s *system) publish(entry string, c *cranfleet.Config) {
	e := s.entries[entry]
	s.eventually("ready", func() bool {
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

// available waits until every entry sees that many available instances in the
// pool that serves.
func (s *system) available(n int) {
	for id := range s.entries {
		s.eventually("available", func() bool {
			for _, p := range s.status(id).Pools {
				if p.Name == "roster" {
					return p.Available == n
				}
			}
			return false
		})
	}
}

func (s *system) eventually(what string, ok func() bool) {
	s.t.Helper()
	require.Eventually(s.t, ok, patience, 20*time.Millisecond, what)
}

// call sends one request and notes what the caller was told.
func (s *system) call(entry, method, key string) string {
	return s.callFor(entry, method, key, 0)
}

// callFor asks for a run of the given length.
func (s *system) callFor(entry, method, key string, service time.Duration) string {
	told, _ := s.ask(entry, method, key, service)
	return told
}

// ask is callFor, and returns the body of the answer as well.
func (s *system) ask(entry, method, key string, service time.Duration) (told, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, s.entries[entry].callers+"/s/rosters/"+key, strings.NewReader("body"))
	require.NoError(s.t, err)
	r.Header.Set("Idempotency-Key", key)
	if service > 0 {
		r.Header.Set("X-Service-Ms", fmt.Sprint(service.Milliseconds()))
	}
	told = "none"
	if resp, err := http.DefaultClient.Do(r); err == nil {
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		told, body = resp.Header.Get("X-Outcome"), string(text)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[key] = append(s.told[key], told)
	s.once[key] = method == http.MethodPost
	return told, body
}

func (s *system) get(url string, v any) {
	resp, err := http.Get(url) //nolint:noctx // A test's own short request.
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(v))
}

func (s *system) targetLedger(id string) cranstandin.TargetLedger {
	var l cranstandin.TargetLedger
	s.get(s.targets[id]+"/ledger", &l)
	return l
}

// actions returns the platform's ledger.
func (s *system) actions() []cranstandin.LedgerEntry {
	var l struct {
		Entries []cranstandin.LedgerEntry `json:"entries"`
	}
	s.get(s.platform+"/ledger", &l)
	return l.Entries
}

// send sends a JSON body to the stand-in.
func (s *system) send(method, url string, v any) {
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

// checkLedgers asserts what must hold of every session: nobody was told a
// falsehood, nothing non-idempotent ran twice, no stop cut a request off and
// no target was ever over its slots.
func (s *system) checkLedgers() {
	runs := map[string]int{}
	for id := range s.targets {
		l := s.targetLedger(id)
		require.Zero(s.t, l.SlotRefusals, "target %s was over its slots", id)
		require.LessOrEqual(s.t, l.MaxInProgress, 8)
		for _, r := range l.Runs {
			require.False(s.t, r.Aborted, "a stop cut off run %s on %s", r.Path, id)
			runs[path.Base(r.Path)]++
		}
	}
	for _, a := range s.actions() {
		if a.ID == "" {
			// A loss that the test caused, not a stop that was planned.
			continue
		}
		require.LessOrEqual(s.t, a.InProgressAtStop, 0, "action %s cut off requests", a.ID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, told := range s.told {
		s.checkCaller(key, told, runs[key])
	}
}

func (s *system) checkCaller(key string, told []string, runs int) {
	if s.once[key] {
		require.LessOrEqual(s.t, runs, 1, "%s ran twice", key)
	}
	answered := false
	onlyNotRun := true
	for _, v := range told {
		answered = answered || v == "answered"
		onlyNotRun = onlyNotRun && v == "notRun"
	}
	if answered {
		require.Positive(s.t, runs, "%s was answered and never ran", key)
	}
	if onlyNotRun {
		require.Zero(s.t, runs, "%s ran although every caller was told notRun", key)
	}
}
