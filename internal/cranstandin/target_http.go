package cranstandin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Headers of a run.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerServiceMs      = "X-Service-Ms"
)

// maxRunBody bounds a run's body, in bytes.
const maxRunBody = 64 << 20

// otherRequest is the request that WrongAnswer answers.
const otherRequest = "other"

// errDown marks a request that met a process that is down.
var errDown = errors.New("the target is down")

// runAnswer is the answer to a run.
type runAnswer struct {
	Target    string `json:"target"`
	Key       string `json:"key"`
	Echo      string `json:"echo"`
	RequestID string `json:"requestId"`
}

// healthAnswer is the answer to a probe.
type healthAnswer struct {
	Target string `json:"target"`
}

// inProgressAnswer is the answer to a control call.
type inProgressAnswer struct {
	InProgress int `json:"inProgress"`
}

// rebootRequest is the body of a reboot; it may be missing.
type rebootRequest struct {
	DownMs *int64 `json:"downMs"`
}

// newTargetHandler routes requests to a target.
func newTargetHandler(t *Target) http.Handler {
	e := newEcho()
	e.Any("/run/*", t.serveRun)
	e.GET("/health", t.serveHealth)
	e.GET("/ledger", handle(func(echo.Context) (TargetLedger, error) { return t.Ledger(), nil }))
	e.GET("/faults", handle(func(echo.Context) (TargetFaults, error) { return t.Faults(), nil }))
	e.PUT("/faults", handle(t.serveSetFaults))
	e.GET("/control/inProgress", handle(t.serveInProgress))
	e.POST("/control/reboot", handle(t.serveReboot))
	e.POST("/control/stop", handle(t.serveStop))
	return e
}

func (t *Target) serveSetFaults(c echo.Context) (TargetFaults, error) {
	faults, err := decodeBody[TargetFaults](c, maxSmallBody)
	if err != nil {
		return TargetFaults{}, err
	}
	return faults, t.SetFaults(faults)
}

func (t *Target) serveInProgress(echo.Context) (inProgressAnswer, error) {
	return inProgressAnswer{InProgress: t.InProgress()}, nil
}

func (t *Target) serveReboot(c echo.Context) (inProgressAnswer, error) {
	down := t.downTime
	if c.Request().ContentLength != 0 {
		body, err := decodeBody[rebootRequest](c, maxSmallBody)
		if err == nil && body.DownMs != nil {
			down = milliseconds(*body.DownMs)
			err = checkMilliseconds("downMs", *body.DownMs)
		}
		if err != nil {
			return inProgressAnswer{}, err
		}
	}
	cut, err := t.Reboot(c.Request().Context(), down)
	return inProgressAnswer{InProgress: cut}, err
}

func (t *Target) serveStop(c echo.Context) (inProgressAnswer, error) {
	cut, err := t.Stop(c.Request().Context())
	return inProgressAnswer{InProgress: cut}, err
}

func (t *Target) serveHealth(c echo.Context) error {
	if err := t.arrive(c); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, healthAnswer{Target: t.id})
}

// serveRun runs one request.
func (t *Target) serveRun(c echo.Context) error {
	if err := t.arrive(c); err != nil {
		return err
	}
	request := c.Request()
	r := &Run{
		RequestID:      request.Header.Get(headerRequestID),
		IdempotencyKey: request.Header.Get(headerIdempotencyKey),
		Path:           request.URL.Path,
	}
	duration, err := t.serviceTimeOf(request)
	if err != nil {
		return err
	}
	life, err := t.begin(r)
	if errors.Is(err, errDown) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		return err
	}
	return t.perform(life, c, r, duration)
}

// perform serves a run that holds a slot.
func (t *Target) perform(life context.Context, c echo.Context, r *Run, duration time.Duration) error {
	faults := t.Faults()
	if faults.FailFast {
		t.end(r, func(r *Run) { r.Failed = true })
		return c.JSON(http.StatusInternalServerError, refusal{
			Kind: cranfault.NotReady, Message: "the target fails everything", Remedy: "use another target",
		})
	}
	hash := sha256.New()
	_, err := io.Copy(hash, http.MaxBytesReader(c.Response(), c.Request().Body, maxRunBody))
	if err != nil {
		t.end(r, func(r *Run) { r.Cancelled = true })
		return cranfault.New(cranfault.Malformed, "send the whole body, of at most 64 MiB", "read the body: %v", err)
	}
	caller := c.Request().Context()
	if faults.IgnoreCancel {
		caller = context.WithoutCancel(caller)
	}
	if !t.serve(caller, life, r, duration+milliseconds(int64(faults.LateMs))) {
		panic(http.ErrAbortHandler)
	}
	if t.silent(c.Request().Context()) {
		t.hang(c)
	}
	return t.answer(c, r, hex.EncodeToString(hash.Sum(nil)))
}

// serve holds the slot for a time and reports whether the run came to its
// end.
func (t *Target) serve(caller, life context.Context, r *Run, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return t.end(r, func(*Run) {})
	case <-caller.Done():
		t.end(r, func(r *Run) { r.Cancelled = true })
	case <-life.Done():
	}
	return false
}

// answer writes the run's answer, as the faults have it.
func (t *Target) answer(c echo.Context, r *Run, echoed string) error {
	faults := t.Faults()
	body := runAnswer{Target: t.id, Key: r.IdempotencyKey, Echo: echoed, RequestID: r.RequestID}
	if faults.WrongAnswer {
		other := sha256.Sum256([]byte(otherRequest))
		body = runAnswer{Target: t.id, Key: otherRequest, Echo: hex.EncodeToString(other[:]), RequestID: otherRequest}
	}
	c.Response().Header().Set(headerRequestID, body.RequestID)
	content, err := json.Marshal(body)
	if err != nil {
		return cranfault.New(cranfault.Invalid, "send headers of UTF-8", "encode the answer: %v", err)
	}
	if !faults.Truncate {
		return c.JSONBlob(http.StatusOK, content)
	}
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(content)))
	_ = c.JSONBlob(http.StatusOK, content[:len(content)/2])
	c.Response().Flush()
	panic(http.ErrAbortHandler)
}

// arrive lets a request in, unless its connection is silent or one too many,
// or the process is down.
func (t *Target) arrive(c echo.Context) error {
	ctx := c.Request().Context()
	if t.silent(ctx) {
		t.hang(c)
	}
	if t.isDown() {
		panic(http.ErrAbortHandler)
	}
	if !t.admit(ctx) {
		c.Response().Header().Set(echo.HeaderConnection, "close")
		return cranfault.New(cranfault.NoTarget, "use the connections that are open",
			"target %s takes %d connections", t.id, t.connections)
	}
	return nil
}

func (t *Target) isDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

// hang never answers: it ends with the connection or the process.
func (t *Target) hang(c echo.Context) {
	t.mu.Lock()
	life := t.life
	t.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.Request().Body)
	select {
	case <-c.Request().Context().Done():
	case <-life.Done():
	}
	panic(http.ErrAbortHandler)
}

// serviceTimeOf returns how long a run holds its slot.
func (t *Target) serviceTimeOf(r *http.Request) (time.Duration, error) {
	value := r.Header.Get(headerServiceMs)
	if value == "" {
		return t.serviceTime, nil
	}
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil || ms < 0 || milliseconds(ms) > maxServiceTime {
		return 0, cranfault.New(cranfault.Malformed, "send milliseconds from 0 to 600000", "the header %s is %.40q", headerServiceMs, value)
	}
	return milliseconds(ms), nil
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
