package cranadmin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

const (
	// proposeTimeout bounds the wait for the reducer's decision.
	proposeTimeout = 10 * time.Second
	// maxProposalBytes bounds the size of a proposal's body.
	maxProposalBytes = 1 << 20
)

// Entry is the interface of an entry instance to operators.
type Entry interface {
	// Ready returns nil if the entry instance accepts requests, or the reason why
	// it doesn't.
	Ready() error
	// Status returns the state of the fleet as the entry instance knows it.
	Status(ctx context.Context) (Status, error)
	// Explain returns what blocks the subject, which is an instance or a wave,
	// or all of them if it is empty.
	Explain(ctx context.Context, subject string) ([]cranstate.Blocker, error)
	// Propose appends an event and waits for the reducer's decision. It returns the
	// offset of the accepted record.
	Propose(ctx context.Context, event cranstate.Event) (uint64, error)
}

// wireFault is the JSON form of a fault.
type wireFault struct {
	Kind    cranfault.Kind `json:"kind"`
	Message string         `json:"message"`
	Remedy  string         `json:"remedy"`
}

type wireAccepted struct {
	Offset uint64 `json:"offset"`
}

type publishRequest struct {
	// Base is the revision that the configuration is based on.
	Base   uint64 `json:"base"`
	Config string `json:"config"`
}

type stopRequest struct {
	Instance string             `json:"instance"`
	Kind     cranstate.StopKind `json:"kind"`
	// Pool is the destination of a move.
	Pool string `json:"pool,omitempty"`
	// Base is the version of the instance that the proposal is based on; zero accepts
	// any version.
	Base uint64 `json:"base,omitempty"`
}

type cancelRequest struct {
	Instance string `json:"instance"`
}

type waveRequest struct {
	Pools       []string `json:"pools"`
	MaxFailures int      `json:"maxFailures"`
}

type waveChangeRequest struct {
	Wave uint64 `json:"wave"`
}

// Handler returns the handler of the admin address. The metrics handler serves
// /metrics; it may be nil.
func Handler(entry Entry, metrics http.Handler) http.Handler {
	h := &handler{entry: entry}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = replyError
	e.GET("/ready", h.ready)
	e.GET("/status", h.status)
	e.GET("/explain", h.explain)
	e.POST("/publish", propose(h, func(q publishRequest) cranstate.Event {
		return cranstate.ConfigPublished{Base: q.Base, Config: []byte(q.Config)}
	}))
	e.POST("/stop", propose(h, func(q stopRequest) cranstate.Event {
		return cranstate.StopProposed{Instance: q.Instance, Kind: q.Kind, Pool: q.Pool, Base: q.Base}
	}))
	e.POST("/cancel", propose(h, func(q cancelRequest) cranstate.Event {
		return cranstate.StopCancelled{Instance: q.Instance}
	}))
	e.POST("/wave", propose(h, func(q waveRequest) cranstate.Event {
		return cranstate.WaveProposed{Pools: q.Pools, MaxFailures: q.MaxFailures}
	}))
	e.POST("/wave/resume", propose(h, func(q waveChangeRequest) cranstate.Event {
		return cranstate.WaveResumed{Wave: q.Wave}
	}))
	e.POST("/wave/cancel", propose(h, func(q waveChangeRequest) cranstate.Event {
		return cranstate.WaveCancelled{Wave: q.Wave}
	}))
	if metrics != nil {
		e.GET("/metrics", echo.WrapHandler(metrics))
	}
	return e
}

type handler struct{ entry Entry }

func (h *handler) ready(c echo.Context) error {
	if err := h.entry.Ready(); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct {
		Ready bool `json:"ready"`
	}{true})
}

func (h *handler) status(c echo.Context) error {
	s, err := h.entry.Status(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, s)
}

func (h *handler) explain(c echo.Context) error {
	list, err := h.entry.Explain(c.Request().Context(), c.QueryParam("subject"))
	if err != nil {
		return err
	}
	if list == nil {
		list = []cranstate.Blocker{}
	}
	return c.JSON(http.StatusOK, list)
}

// propose returns a handler that decodes a request, proposes its event and
// answers with the reducer's decision. It refuses unknown fields.
func propose[Q any](h *handler, event func(Q) cranstate.Event) echo.HandlerFunc {
	return func(c echo.Context) error {
		var q Q
		d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxProposalBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&q); err != nil {
			return cranfault.New(cranfault.Malformed, "send the same JSON as the command line", "%v", err)
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), proposeTimeout)
		defer cancel()
		offset, err := h.entry.Propose(ctx, event(q))
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, wireAccepted{Offset: offset})
	}
}

// replyError answers with the JSON form of an error, converted to a fault if
// necessary.
func replyError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var h *echo.HTTPError
	if errors.As(err, &h) {
		err = cranfault.New(cranfault.Malformed, "see docs/operators.md for the paths", "%v", h.Message)
		_ = c.JSON(h.Code, newWireFault(err))
		return
	}
	_ = c.JSON(httpStatus(cranfault.KindOf(err)), newWireFault(err))
}

// newWireFault returns the JSON form of an error. An error that is no fault gets
// the kind cranfault.Invalid.
func newWireFault(err error) wireFault {
	var f *cranfault.Fault
	if !errors.As(err, &f) {
		f = cranfault.New(cranfault.Invalid, "look at the log of the entry instance", "%v", err)
	}
	return wireFault{Kind: f.Kind(), Message: f.Message(), Remedy: f.Remedy()}
}

// httpStatus returns the HTTP status for a kind of fault.
func httpStatus(kind cranfault.Kind) int {
	switch kind {
	case cranfault.Timeout:
		return http.StatusGatewayTimeout
	case cranfault.NotReady, cranfault.Isolated, cranfault.LogUnavailable, cranfault.Cancelled, cranfault.QueueFull:
		return http.StatusServiceUnavailable
	case cranfault.Malformed:
		return http.StatusBadRequest
	case cranfault.Invalid:
		return http.StatusUnprocessableEntity
	case cranfault.UnknownPeer:
		return http.StatusForbidden
	case cranfault.UnknownInstance, cranfault.UnknownPool, cranfault.UnknownService:
		return http.StatusNotFound
	default:
		return http.StatusConflict
	}
}
