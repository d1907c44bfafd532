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

// service tells which half of the platform a call goes to.
type service int

const (
	logService service = iota
	fleetService
)

// call is one exchange to be made.
type call struct {
	service service
	method  string
	path    string
	timeout time.Duration
}

// refusal is the body of an answer that refuses a call.
type refusal struct {
	Kind    cranfault.Kind `json:"kind"`
	Message string         `json:"message"`
	Remedy  string         `json:"remedy"`
}

// refusalKinds are the kinds that a platform refuses calls with; any other is
// taken as malformed, since kinds label the refusal counters.
var refusalKinds = []cranfault.Kind{
	cranfault.Invalid,
	cranfault.Malformed,
	cranfault.UnknownInstance,
	cranfault.Busy,
	cranfault.Conflict,
	cranfault.TooLarge,
	cranfault.Cancelled,
}

// exchange sends body, unless it is nil, and decodes the answer.
func exchange[A any](ctx context.Context, c *Client, call call, body any) (A, error) {
	var answer A
	if err := c.begin(); err != nil {
		return answer, err
	}
	defer c.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	stop := context.AfterFunc(c.closing, cancel)
	defer stop()
	request, err := c.newRequest(ctx, call, body)
	if err != nil {
		return answer, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer, call.broken(err)
	}
	defer func() { _ = response.Body.Close() }()
	return answer, call.decode(response, &answer)
}

// newRequest builds a request that the transport can't replay.
func (c *Client) newRequest(ctx context.Context, call call, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, cranfault.New(cranfault.Invalid, "send values that JSON can carry", "encode the call: %v", err)
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, c.baseURL+call.path, content)
	if err != nil {
		return nil, cranfault.New(cranfault.Invalid, "correct the platform's address", "build the call: %v", err)
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

// decode reads a whole answer into the value that answer points to.
func (c call) decode(response *http.Response, answer any) error {
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return c.broken(err)
	}
	if len(content) > maxAnswerBytes {
		return cranfault.New(cranfault.TooLarge, "ask for fewer records", "the platform's answer exceeds %d bytes", maxAnswerBytes)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return c.refused(response.StatusCode, content)
	}
	if len(content) == 0 && response.StatusCode == http.StatusNoContent {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return cranfault.New(cranfault.Malformed, "check that the address is the platform's", "decode the platform's answer: %v", err)
	}
	return nil
}

// refused turns an answer that refuses the call into a fault.
func (c call) refused(status int, content []byte) error {
	var r refusal
	if err := json.Unmarshal(content, &r); err != nil || r.Message == "" {
		r.Message = fmt.Sprintf("the platform answered with status %d", status)
		r.Remedy = "check that the address is the platform's"
	}
	switch {
	case status == http.StatusGone:
		r.Kind = cranfault.RecordsExpired
	case status >= http.StatusInternalServerError:
		r.Kind = c.unavailable()
	case !slices.Contains(refusalKinds, r.Kind):
		r.Kind = cranfault.Malformed
	}
	return cranfault.New(r.Kind, r.Remedy, "%s", r.Message)
}

// broken turns a call that got no whole answer into a fault that also wraps
// the cause.
func (c call) broken(cause error) error {
	kind := c.unavailable()
	switch {
	case errors.Is(cause, context.Canceled):
		kind = cranfault.Cancelled
	case errors.Is(cause, context.DeadlineExceeded) && c.service == fleetService:
		kind = cranfault.Timeout
	}
	remedy := "learn the outcome by reading, then try again; check the platform if it persists"
	fault := cranfault.New(kind, remedy, "%s %s got no whole answer", c.method, c.path)
	return fmt.Errorf("%w: %w", fault, cause)
}

// unavailable is the kind of a call that the platform could not serve.
func (c call) unavailable() cranfault.Kind {
	if c.service == logService {
		return cranfault.LogUnavailable
	}
	return cranfault.NotReady
}
