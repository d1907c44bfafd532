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

// Limits of request bodies, in bytes.
const (
	// maxAppendBody is enough for the largest append in base64 and its JSON.
	maxAppendBody = maxAppendBytes*4/3 + 1<<20
	maxSmallBody  = 1 << 20
)

// statusClientClosedRequest is the status that nginx uses for a request
// whose client closed the connection.
const statusClientClosedRequest = 499

// refusal is the response body of a refused call.
type refusal struct {
	Kind    cranfault.Kind `json:"kind"`
	Message string         `json:"message"`
	Remedy  string         `json:"remedy"`
}

// newEcho returns a router that writes errors as refusals.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = writeError
	return e
}

// handle turns a function that returns a response body into a handler that
// writes the body as JSON.
func handle[A any](serve func(echo.Context) (A, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		response, err := serve(c)
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, response)
	}
}

// writeError writes an error as a refusal. For a lost response it closes the
// connection instead.
func writeError(err error, c echo.Context) {
	var lost *responseLostError
	if errors.As(err, &lost) {
		panic(http.ErrAbortHandler)
	}
	if c.Response().Committed {
		return
	}
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		message := fmt.Sprint(routing.Message)
		_ = c.JSON(routing.Code, refusal{Kind: cranfault.Malformed, Message: message, Remedy: "send a method and path of the protocol"})
		return
	}
	var fault *cranfault.Fault
	if !errors.As(err, &fault) {
		fault = cranfault.New(cranfault.NotReady, "report this error", "%v", err)
	}
	body := refusal{Kind: fault.Kind(), Message: fault.Message(), Remedy: fault.Remedy()}
	_ = c.JSON(statusOf(fault.Kind()), body)
}

// statusOf returns the HTTP status for a kind of fault.
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
		return statusClientClosedRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// decodeBody decodes a request's body of at most limit bytes.
func decodeBody[T any](c echo.Context, limit int64) (T, error) {
	return decodeJSON[T](c.Request().Body, limit)
}

// decodeJSON decodes one JSON value of at most limit bytes. It refuses unknown
// fields and data after the value.
func decodeJSON[T any](r io.Reader, limit int64) (T, error) {
	var value T
	limited := &io.LimitedReader{R: r, N: limit + 1}
	decoder := json.NewDecoder(limited)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&value)
	if err == nil {
		if _, more := decoder.Token(); more != io.EOF {
			err = errors.New("there is data after the JSON value")
		}
	}
	if limited.N <= 0 {
		return value, cranfault.New(cranfault.TooLarge, "send a smaller body", "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return value, cranfault.New(cranfault.Malformed, "send JSON as the protocol defines it", "decode the body: %v", err)
	}
	return value, nil
}

// pathValue returns the decoded value of a path parameter.
func pathValue(c echo.Context, name string) (string, error) {
	raw := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return raw, nil
	}
	value, err := url.PathUnescape(raw)
	if err != nil {
		return "", cranfault.New(cranfault.Malformed, "percent-encode the path", "decode the path segment %.40q: %v", raw, err)
	}
	return value, nil
}
