package cranstandin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/labstack/echo/v4"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Bounds of request bodies, in bytes.
const (
	// maxAppendBody holds the largest append in base64, with room for JSON.
	maxAppendBody = maxAppendBytes*4/3 + 1<<20
	maxSmallBody  = 1 << 20
)

// statusClientGone is the usual status for a caller that gave up.
const statusClientGone = 499

// refusal is the body of an answer that refuses a call.
type refusal struct {
	Kind    cranfault.Kind `json:"kind"`
	Message string         `json:"message"`
	Remedy  string         `json:"remedy"`
}

// newEcho returns a router that answers errors as refusals.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = writeError
	return e
}

// handle turns a function that returns an answer into a handler that writes
// the answer as JSON.
func handle[A any](serve func(echo.Context) (A, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		answer, err := serve(c)
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, answer)
	}
}

// writeError answers an error as a refusal. A lost answer breaks off the
// connection instead.
func writeError(err error, c echo.Context) {
	var lost *answerLostError
	if errors.As(err, &lost) {
		panic(http.ErrAbortHandler)
	}
	if c.Response().Committed {
		return
	}
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		message := fmt.Sprint(routing.Message)
		_ = c.JSON(routing.Code, refusal{Kind: cranfault.Malformed, Message: message, Remedy: "read the published protocol"})
		return
	}
	var fault *cranfault.Fault
	if !errors.As(err, &fault) {
		fault = cranfault.New(cranfault.NotReady, "report this fault", "%v", err)
	}
	body := refusal{Kind: fault.Kind(), Message: fault.Message(), Remedy: fault.Remedy()}
	_ = c.JSON(statusOf(fault.Kind()), body)
}

// statusOf returns the status that answers a fault.
func statusOf(kind cranfault.Kind) int {
	switch kind {
	case cranfault.Invalid, cranfault.Malformed:
		return http.StatusBadRequest
	case cranfault.UnknownInstance:
		return http.StatusNotFound
	case cranfault.Busy, cranfault.Conflict:
		return http.StatusConflict
	case cranfault.RecordsExpired:
		return http.StatusGone
	case cranfault.TooLarge:
		return http.StatusRequestEntityTooLarge
	case cranfault.Cancelled:
		return statusClientGone
	default:
		return http.StatusServiceUnavailable
	}
}

// decodeBody decodes a request's body of at most limit bytes.
func decodeBody[T any](c echo.Context, limit int64) (T, error) {
	return decodeJSON[T](c.Request().Body, limit)
}

// decodeJSON decodes one JSON value of at most limit bytes; unknown fields
// and anything behind the value are refused.
func decodeJSON[T any](r io.Reader, limit int64) (T, error) {
	var value T
	limited := &io.LimitedReader{R: r, N: limit + 1}
	decoder := json.NewDecoder(limited)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&value)
	if err == nil {
		if _, more := decoder.Token(); more != io.EOF {
			err = errors.New("there is more behind the value")
		}
	}
	if limited.N <= 0 {
		return value, cranfault.New(cranfault.TooLarge, "send less at once", "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return value, cranfault.New(cranfault.Malformed, "send the JSON that the protocol publishes", "decode the body: %v", err)
	}
	return value, nil
}

// pathValue returns a decoded part of the path.
func pathValue(c echo.Context, name string) (string, error) {
	raw := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return raw, nil
	}
	value, err := url.PathUnescape(raw)
	if err != nil {
		return "", cranfault.New(cranfault.Malformed, "escape the path", "decode %.40q: %v", raw, err)
	}
	return value, nil
}
