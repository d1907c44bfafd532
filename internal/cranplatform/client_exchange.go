package cranplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// service is the part of the platform that a call uses.
type service int

const (
	logService service = iota
	fleetService
)

// call describes one HTTP request to the platform.
type call struct {
	service service
	method  string
	path    string
	timeout time.Duration
}

// refusal is the body of a response that refuses a call.
type refusal struct {
	Kind    cranfault.Kind `json:"kind"`
	Message string         `json:"message"`
	Remedy  string         `json:"remedy"`
}

// refusalKinds are the kinds that a platform may refuse a call with. Any other kind is
// replaced by Malformed, since kinds are label values of the refusal counters.
var refusalKinds = []cranfault.Kind{
	cranfault.Invalid,
	cranfault.Malformed,
	cranfault.UnknownInstance,
	cranfault.Busy,
	cranfault.Conflict,
	cranfault.TooLarge,
	cranfault.Cancelled,
}

// exchange sends a request, with body as JSON unless it is nil, and decodes the
// response.
func exchange[R any](ctx context.Context, c *Client, call call, body any) (R, error) {
	var result R
	if err := c.begin(); err != nil {
		return result, err
	}
	defer c.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	stop := context.AfterFunc(c.closing, cancel)
	defer stop()
	request, err := c.newRequest(ctx, call, body)
	if err != nil {
		return result, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return result, call.responseError(err)
	}
	defer func() { _ = response.Body.Close() }()
	return result, call.decode(response, &result)
}

// newRequest returns a request without GetBody, so that the transport can't send its
// body again.
func (c *Client) newRequest(ctx context.Context, call call, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, cranfault.New(cranfault.Invalid, "send values that JSON can represent", "encode the request body: %v", err)
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, c.baseURL+call.path, content)
	if err != nil {
		return nil, cranfault.New(cranfault.Invalid, "correct the platform's address", "create the request: %v", err)
	}
	request.GetBody = nil
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.name != "" {
		request.Header.Set(clientHeader, c.name)
	}
	return request, nil
}

// decode reads the whole response and decodes its body into the value that result
// points to.
func (c call) decode(response *http.Response, result any) error {
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return c.responseError(err)
	}
	if len(content) > maxResponseBytes {
		return cranfault.New(cranfault.TooLarge, "ask for fewer records", "the platform's response exceeds %d bytes", maxResponseBytes)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return c.refusalError(response.StatusCode, content)
	}
	if len(content) == 0 && response.StatusCode == http.StatusNoContent {
		return nil
	}
	if err := json.Unmarshal(content, result); err != nil {
		return cranfault.New(cranfault.Malformed, "check that the address is the platform's", "decode the platform's response: %v", err)
	}
	return nil
}

// refusalError returns the fault for a response that refuses the call.
func (c call) refusalError(status int, content []byte) error {
	var r refusal
	if err := json.Unmarshal(content, &r); err != nil || r.Message == "" {
		r.Message = fmt.Sprintf("the platform responded with status %d", status)
		r.Remedy = "check that the address is the platform's"
	}
	switch {
	case status == http.StatusGone:
		r.Kind = cranfault.RecordsExpired
	case status >= http.StatusInternalServerError:
		r.Kind = c.unavailableKind()
	case !slices.Contains(refusalKinds, r.Kind):
		r.Kind = cranfault.Malformed
	}
	return cranfault.New(r.Kind, r.Remedy, "%s", r.Message)
}

// responseError returns the fault for a call without a complete response. It wraps
// the cause.
func (c call) responseError(cause error) error {
	kind := c.unavailableKind()
	switch {
	case errors.Is(cause, context.Canceled):
		kind = cranfault.Cancelled
	case errors.Is(cause, context.DeadlineExceeded) && c.service == fleetService:
		kind = cranfault.Timeout
	}
	remedy := "read to see whether the call took effect, then try again; check the platform if it persists"
	fault := cranfault.New(kind, remedy, "%s %s got no complete response", c.method, c.path)
	return fmt.Errorf("%w: %w", fault, cause)
}

// unavailableKind returns the kind of fault for a call that the platform could not
// serve.
func (c call) unavailableKind() cranfault.Kind {
	if c.service == logService {
		return cranfault.LogUnavailable
	}
	return cranfault.NotReady
}
