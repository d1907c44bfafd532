package cranstandin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// targetHarness is a target behind an in-process network, with an HTTP client.
type targetHarness struct {
	target *Target
	server *http.Server
	caller *http.Client
	served sync.WaitGroup
}

func newTargetHarness(tb require.TestingT, slots, connections int) *targetHarness {
	network := NewNetwork()
	listener, err := network.Listen("target:1")
	require.NoError(tb, err)
	h := &targetHarness{target: NewTarget("t1", slots, connections)}
	h.server = &http.Server{Handler: h.target}
	h.target.ConfigureServer(h.server)
	h.served.Go(func() { _ = h.server.Serve(listener) })
	h.caller = &http.Client{Transport: &http.Transport{DialContext: network.DialContext}}
	return h
}

func (h *targetHarness) close() {
	_ = h.target.Close()
	_ = h.server.Close()
	h.caller.CloseIdleConnections()
	h.served.Wait()
}

// send sends one run and returns the status and the decoded response.
func (h *targetHarness) send(ctx context.Context, id string, service time.Duration) (int, runResponse, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://target:1/run/book", bytes.NewReader([]byte("body "+id)))
	if err != nil {
		return 0, runResponse{}, err
	}
	request.GetBody = nil
	request.Header.Set(headerRequestID, id)
	request.Header.Set(headerServiceMs, strconv.FormatInt(service.Milliseconds(), 10))
	response, err := h.caller.Do(request)
	if err != nil {
		return 0, runResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, runResponse{}, err
	}
	var answer runResponse
	err = json.Unmarshal(content, &answer)
	if err == nil && response.StatusCode == http.StatusOK && response.Header.Get(headerRequestID) != answer.RequestID {
		err = errors.New("the header and the body have different request ids")
	}
	return response.StatusCode, answer, err
}

// echoOf returns the hash that the response to send contains.
func echoOf(id string) string {
	sum := sha256.Sum256([]byte("body " + id))
	return hex.EncodeToString(sum[:])
}

func TestRebootAbortsRunsAndRecordsThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTargetHarness(t, 8, 64)
		defer h.close()
		p := NewPlatform(WithFleetOptions(WithRebootTime(2*time.Second), WithNoticeTime(time.Second)))
		defer func() { require.NoError(t, p.Close()) }()
		require.NoError(t, p.Fleet().Add(cranplatform.Instance{ID: "t1", Role: RoleTarget}, h.target))
		ctx := context.Background()
		var calls sync.WaitGroup
		for _, service := range []time.Duration{500, 5000, 9000} {
			calls.Go(func() {
				_, answer, err := h.send(ctx, strconv.Itoa(int(service)), service*time.Millisecond)
				if service == 500 {
					require.NoError(t, err)
					require.Equal(t, echoOf("500"), answer.Echo)
					return
				}
				require.Error(t, err)
			})
		}
		synctest.Wait()
		action := cranplatform.Action{ID: "a1", Kind: cranplatform.ActionReboot, Instance: "t1"}
		require.NoError(t, p.Fleet().Act(ctx, action))
		require.NoError(t, p.Fleet().Act(ctx, action))
		require.Equal(t, cranplatform.PhaseLeaving, p.Fleet().ActualInstances()[0].Phase)
		calls.Wait()
		synctest.Wait()
		require.Empty(t, h.target.conns.open, "a stop closes every connection")
		_, _, err := h.send(ctx, "down", 0)
		require.Error(t, err)
		time.Sleep(2500 * time.Millisecond)
		require.Equal(t, cranplatform.PhaseLive, p.Fleet().ActualInstances()[0].Phase)
		require.Equal(t, 1, p.Fleet().ActualInstances()[0].Boots)
		status, _, err := h.send(ctx, "back", 0)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		entries := p.Fleet().Ledger()
		require.Len(t, entries, 1)
		require.Equal(t, 2, entries[0].InProgressAtStop)
		require.EqualValues(t, 3000, entries[0].DoneMs-entries[0].AtMs)
		ledger := h.target.Ledger()
		require.Equal(t, 1, ledger.Boots)
		require.Equal(t, 3, ledger.MaxInProgress)
		aborted := map[string]bool{}
		for _, r := range ledger.Runs {
			aborted[r.RequestID] = r.Aborted
		}
		require.Equal(t, map[string]bool{"500": false, "5000": true, "9000": true, "back": false}, aborted)
	})
}

func TestTargetFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults TargetFaults
		check  func(*testing.T, int, runResponse, error, Run)
	}{
		{"none", TargetFaults{}, func(t *testing.T, status int, a runResponse, err error, _ Run) {
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, runResponse{Target: "t1", Echo: echoOf("r"), RequestID: "r"}, a)
		}},
		{"failFast", TargetFaults{FailFast: true}, func(t *testing.T, status int, _ runResponse, err error, r Run) {
			require.NoError(t, err)
			require.Equal(t, http.StatusInternalServerError, status)
			require.True(t, r.Failed)
			require.Equal(t, r.Start, r.End)
		}},
		{"late", TargetFaults{LateMs: 4000}, func(t *testing.T, _ int, _ runResponse, err error, r Run) {
			require.NoError(t, err)
			require.Equal(t, 5*time.Second, r.End.Sub(r.Start))
		}},
		{"truncate", TargetFaults{Truncate: true}, func(t *testing.T, status int, _ runResponse, err error, _ Run) {
			require.Equal(t, http.StatusOK, status)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}},
		{"wrongAnswer", TargetFaults{WrongAnswer: true}, func(t *testing.T, status int, a runResponse, err error, _ Run) {
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, otherRequest, a.RequestID)
			require.NotEqual(t, echoOf("r"), a.Echo)
		}},
		{"silentAll", TargetFaults{SilentAll: true}, func(t *testing.T, _ int, _ runResponse, err error, r Run) {
			require.ErrorIs(t, err, context.DeadlineExceeded)
			require.Empty(t, r, "a request over a silent connection isn't run")
		}},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newTargetHarness(t, 1, 64)
				defer h.close()
				require.NoError(t, h.target.SetFaults(k.faults))
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				status, answer, err := h.send(ctx, "r", time.Second)
				runs := append(h.target.Ledger().Runs, Run{})
				k.check(t, status, answer, err, runs[0])
			})
		})
	}
}

func TestSilentOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTargetHarness(t, 8, 64)
		defer h.close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var calls sync.WaitGroup
		calls.Go(func() {
			_, _, err := h.send(ctx, "inProgress", 2*time.Second)
			require.ErrorIs(t, err, context.DeadlineExceeded, "the run's response is never sent")
		})
		synctest.Wait()
		_, _, err := h.send(ctx, "kept", 0)
		require.NoError(t, err)
		require.NoError(t, h.target.SetFaults(TargetFaults{SilentOpen: true}))
		_, _, err = h.send(ctx, "hanging", 0)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		calls.Wait()
		_, _, err = h.send(context.Background(), "new", 0)
		require.NoError(t, err)
		ids := []string{}
		for _, r := range h.target.Ledger().Runs {
			ids = append(ids, r.RequestID)
		}
		require.ElementsMatch(t, []string{"inProgress", "kept", "new"}, ids)
	})
}

func TestCallerCancelsRun(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newTargetHarness(t, 1, 64)
			defer h.close()
			require.NoError(t, h.target.SetFaults(TargetFaults{IgnoreCancel: ignores}))
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _, err := h.send(ctx, "cancelled", 3*time.Second)
			require.Error(t, err)
			time.Sleep(5 * time.Second)
			r := h.target.Ledger().Runs[0]
			require.Equal(t, !ignores, r.Cancelled)
			require.False(t, r.Aborted)
			require.Equal(t, time.Duration(1+2*oneIf(ignores))*time.Second, r.End.Sub(r.Start))
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTargetHarness(t, 8, 2)
		defer h.close()
		var calls sync.WaitGroup
		refused := make(chan int, 3)
		for n := range 3 {
			calls.Go(func() {
				status, _, err := h.send(context.Background(), strconv.Itoa(n), time.Second)
				require.NoError(t, err)
				refused <- oneIf(status == http.StatusServiceUnavailable)
			})
		}
		calls.Wait()
		require.Equal(t, 1, <-refused+<-refused+<-refused)
		require.Equal(t, 1, h.target.Ledger().ConnectionRefusals)
		require.Len(t, h.target.Ledger().Runs, 2)
	})
}

// TestSlotsAgainstOracle starts runs, waits and reboots at random, and compares the
// target's ledger with a list of the expected runs.
func TestSlotsAgainstOracle(t *testing.T) {
	type want struct {
		id       string
		end      time.Time
		finished bool
		aborted  bool
	}
	checkInBubble(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		h := newTargetHarness(t, slots, 64)
		defer h.close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var calls sync.WaitGroup
		defer calls.Wait()
		var wants []*want
		over, maxInProgress, down := 0, 0, time.Time{}
		running := func() (open []*want) {
			for _, w := range wants {
				w.finished = w.finished || !time.Now().Before(w.end)
				if !w.finished {
					open = append(open, w)
				}
			}
			return open
		}
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				service := time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds")) * time.Second
				id := strconv.Itoa(len(wants))
				switch {
				case time.Now().Before(down):
				case len(running()) >= slots:
					over++
				default:
					wants = append(wants, &want{id: id, end: time.Now().Add(service)})
					maxInProgress = max(maxInProgress, len(running()))
				}
				calls.Go(func() { _, _, _ = h.send(ctx, id, service) })
				synctest.Wait()
			},
			"wait": func(t *rapid.T) {
				time.Sleep(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
				synctest.Wait()
			},
			"reboot": func(t *rapid.T) {
				open := running()
				aborted, err := h.target.Reboot(ctx, 2*time.Second)
				require.NoError(t, err)
				require.Equal(t, len(open), aborted)
				for _, w := range open {
					w.finished, w.aborted = true, true
				}
				down = time.Now().Add(2 * time.Second)
				synctest.Wait()
			},
			"": func(t *rapid.T) {
				ledger := h.target.Ledger()
				require.Equal(t, len(running()), h.target.InProgress())
				require.Equal(t, over, ledger.SlotRefusals)
				require.Equal(t, maxInProgress, ledger.MaxInProgress)
				require.Len(t, ledger.Runs, len(wants))
				for n, w := range wants {
					require.Equal(t, w.id, ledger.Runs[n].RequestID)
					require.Equal(t, w.aborted, ledger.Runs[n].Aborted)
					require.Equal(t, w.finished, !ledger.Runs[n].End.IsZero())
				}
			},
		})
	})
}
