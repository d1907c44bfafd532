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

// maxRunBody limits a run's body, in bytes.
const maxRunBody = 64 << 20

// otherRequest is the id, key and body of the request whose response the
// WrongAnswer fault sends.
const otherRequest = "other"

// errDown is the error of a run that starts while the process is down.
var errDown = errors.New("the target is down")

// runResponse is the response to a run.
type runResponse struct {
	Target    string `json:"target"`
	Key       string `json:"key"`
	Echo      string `json:"echo"`
	RequestID string `json:"requestId"`
}

// healthResponse is the response to a health probe.
type healthResponse struct {
	Target string `json:"target"`
}

// inProgressResponse is the response to a control call.
type inProgressResponse struct {
	InProgress int `json:"inProgress"`
}

// rebootRequest is the optional body of a reboot call.
type rebootRequest struct {
	DownMs *int64 `json:"downMs"`
}

// newTargetHandler returns the HTTP handler of a target.
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

func (t *Target) serveInProgress(echo.Context) (inProgressResponse, error) {
	return inProgressResponse{InProgress: t.InProgress()}, nil
}

func (t *Target) serveReboot(c echo.Context) (inProgressResponse, error) {
	down := t.downTime
	if c.Request().ContentLength != 0 {
		body, err := decodeBody[rebootRequest](c, maxSmallBody)
		if err == nil && body.DownMs != nil {
			down = milliseconds(*body.DownMs)
			err = checkMilliseconds("downMs", *body.DownMs)
		}
		if err != nil {
			return inProgressResponse{}, err
		}
	}
	aborted, err := t.Reboot(c.Request().Context(), down)
	return inProgressResponse{InProgress: aborted}, err
}

func (t *Target) serveStop(c echo.Context) (inProgressResponse, error) {
	aborted, err := t.Stop(c.Request().Context())
	return inProgressResponse{InProgress: aborted}, err
}

func (t *Target) serveHealth(c echo.Context) error {
	if err := t.admitRequest(c); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, healthResponse{Target: t.id})
}

// serveRun runs one request.
func (t *Target) serveRun(c echo.Context) error {
	if err := t.admitRequest(c); err != nil {
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
	processCtx, err := t.startRun(r)
	if errors.Is(err, errDown) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		return err
	}
	return t.executeRun(processCtx, c, r, duration)
}

// executeRun handles a run that occupies a slot.
func (t *Target) executeRun(processCtx context.Context, c echo.Context, r *Run, duration time.Duration) error {
	faults := t.Faults()
	if faults.FailFast {
		t.endRun(r, func(r *Run) { r.Failed = true })
		return c.JSON(http.StatusInternalServerError, refusal{
			Kind: cranfault.NotReady, Message: "the failFast fault makes the target fail every run", Remedy: "use another target",
		})
	}
	hash := sha256.New()
	_, err := io.Copy(hash, http.MaxBytesReader(c.Response(), c.Request().Body, maxRunBody))
	if err != nil {
		t.endRun(r, func(r *Run) { r.Cancelled = true })
		return cranfault.New(cranfault.Malformed, "send the whole body, of at most 64 MiB", "read the body: %v", err)
	}
	caller := c.Request().Context()
	if faults.IgnoreCancel {
		caller = context.WithoutCancel(caller)
	}
	if !t.occupySlot(caller, processCtx, r, duration+milliseconds(int64(faults.LateMs))) {
		panic(http.ErrAbortHandler)
	}
	if t.silent(c.Request().Context()) {
		t.hang(c)
	}
	return t.writeResponse(c, r, hex.EncodeToString(hash.Sum(nil)))
}

// occupySlot occupies the run's slot for a duration. It reports false if the caller
// or a stop of the process ended the run before.
func (t *Target) occupySlot(caller, processCtx context.Context, r *Run, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return t.endRun(r, func(*Run) {})
	case <-caller.Done():
		t.endRun(r, func(r *Run) { r.Cancelled = true })
	case <-processCtx.Done():
	}
	return false
}

// writeResponse writes the run's response and applies the injected faults.
func (t *Target) writeResponse(c echo.Context, r *Run, bodyHash string) error {
	faults := t.Faults()
	body := runResponse{Target: t.id, Key: r.IdempotencyKey, Echo: bodyHash, RequestID: r.RequestID}
	if faults.WrongAnswer {
		other := sha256.Sum256([]byte(otherRequest))
		body = runResponse{Target: t.id, Key: otherRequest, Echo: hex.EncodeToString(other[:]), RequestID: otherRequest}
	}
	c.Response().Header().Set(headerRequestID, body.RequestID)
	content, err := json.Marshal(body)
	if err != nil {
		return cranfault.New(cranfault.Invalid, "send headers in UTF-8", "encode the response: %v", err)
	}
	if !faults.Truncate {
		return c.JSONBlob(http.StatusOK, content)
	}
	c.Response().Header().Set(echo.HeaderContentLength, strconv.Itoa(len(content)))
	_ = c.JSONBlob(http.StatusOK, content[:len(content)/2])
	c.Response().Flush()
	panic(http.ErrAbortHandler)
}

// admitRequest returns nil if a request may proceed. A request over a connection that a
// fault makes hang gets no response, a request to a process that is down is aborted, and
// a request over a connection beyond the limit is refused.
func (t *Target) admitRequest(c echo.Context) error {
	ctx := c.Request().Context()
	if t.silent(ctx) {
		t.hang(c)
	}
	if t.isDown() {
		panic(http.ErrAbortHandler)
	}
	if !t.admitConnection(ctx) {
		c.Response().Header().Set(echo.HeaderConnection, "close")
		return cranfault.New(cranfault.NoTarget, "use the open connections",
			"target %s accepts at most %d connections", t.id, t.connections)
	}
	return nil
}

func (t *Target) isDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

// hang sends no response. It aborts the request when the connection closes or the
// process stops.
func (t *Target) hang(c echo.Context) {
	t.mu.Lock()
	processCtx := t.processCtx
	t.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.Request().Body)
	select {
	case <-c.Request().Context().Done():
	case <-processCtx.Done():
	}
	panic(http.ErrAbortHandler)
}

// serviceTimeOf returns how long a run occupies its slot.
func (t *Target) serviceTimeOf(r *http.Request) (time.Duration, error) {
	value := r.Header.Get(headerServiceMs)
	if value == "" {
		return t.serviceTime, nil
	}
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil || ms < 0 || milliseconds(ms) > maxServiceTime {
		return 0, cranfault.New(cranfault.Malformed, "send a number of milliseconds from 0 to 600000", "the header %s is %.40q", headerServiceMs, value)
	}
	return milliseconds(ms), nil
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
