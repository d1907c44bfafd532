package crantraffic

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// statusClientClosed is the non-standard status for a request that its caller
// cancelled; net/http has no name for it.
const statusClientClosed = 499

const (
	retryAfter      = "1" // seconds, in Retry-After
	writeTimeSpare  = 5 * time.Second
	contentTypeJSON = "application/json"
)

// faultBody is the JSON body of the outcomes notRun and unknown.
type faultBody struct {
	Outcome Outcome        `json:"outcome"`
	Kind    cranfault.Kind `json:"kind"`
	Message string         `json:"message"`
	Remedy  string         `json:"remedy"`
	Key     string         `json:"idempotencyKey,omitempty"`
}

// handle processes one request of a caller.
func (p *Proxy[S]) handle(c echo.Context) error {
	if fault := p.beginRequest(); fault != nil {
		return p.writeResult(c, nil, notRun(fault))
	}
	defer p.requests.Done()
	st := p.state.Load()
	r, fault := p.parse(st.view, c.Response(), c.Request())
	if fault != nil {
		return p.writeResult(c, r, notRun(fault))
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), r.deadline)
	defer cancel()
	if err := st.view.checkMayStart(); err != nil {
		return p.writeResult(c, r, notRun(asFault(err)))
	}
	j := &job[S]{
		request: r,
		proxy:   p,
		group:   st.groups[r.route.group],
		service: st.services[r.route.service],
	}
	if r.idempotent {
		return p.writeResult(c, r, j.runIdempotent(ctx))
	}
	return p.writeResult(c, r, j.runClaimed(ctx))
}

// notFound refuses requests outside the path prefix of the services.
func (p *Proxy[S]) notFound(c echo.Context) error {
	return p.writeResult(c, nil, notRun(cranfault.New(cranfault.UnknownService, remedyReadManual,
		"requests are served under %s{service}/", servicePrefix)))
}

// writeResult sends the result to the caller.
func (p *Proxy[S]) writeResult(c echo.Context, r *request, o callResult) error {
	service := ""
	if r != nil {
		service = r.route.service
	}
	p.counters.Outcome(service, o.outcome, o.reason())
	if o.outcome == NotRun {
		p.counters.Refused(service, o.reason())
	}
	h := c.Response().Header()
	h.Set(headerOutcome, string(o.outcome))
	if r != nil && r.key != "" {
		h.Set(headerKey, r.key)
	}
	switch {
	case o.stream != nil:
		if writeStream(c, o.stream) != nil {
			p.counters.Refused(service, BrokenAnswer)
			panic(http.ErrAbortHandler)
		}
		return nil
	case o.answer != nil:
		return writeAnswer(c, o.answer)
	}
	return writeFault(c, r, o)
}

// writeAnswer writes a complete answer.
func writeAnswer(c echo.Context, a *Answer) error {
	w := c.Response()
	copyHeader(w.Header(), a.header)
	if c.Request().Method != http.MethodHead && allowsBody(a.status) {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	if len(a.body) > 0 {
		_, _ = w.Write(a.body)
	}
	return nil
}

func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// writeStream forwards a long answer. On an error the caller's connection must
// be aborted, so that the caller sees that the answer was cut short.
func writeStream(c echo.Context, s *stream) error {
	w := c.Response()
	copyHeader(w.Header(), s.header)
	if s.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(s.length, 10))
	}
	w.WriteHeader(s.status)
	return s.copyTo(w)
}

func copyHeader(dst, src http.Header) {
	for k, vs := range src {
		dst[k] = vs
	}
}

// writeFault writes the response for the outcomes notRun and unknown.
func writeFault(c echo.Context, r *request, o callResult) error {
	w := c.Response()
	status := statusOf(o)
	h := w.Header()
	h.Set(headerReason, string(o.reason()))
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfter)
	}
	body := faultBody{
		Outcome: o.outcome,
		Kind:    o.fault.Kind(),
		Message: o.fault.Message(),
		Remedy:  o.fault.Remedy(),
	}
	if r != nil {
		body.Key = r.key
	}
	h.Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(body)
}

// statusOf returns the HTTP status for the outcomes notRun and unknown.
func statusOf(o callResult) int {
	kind := o.reason()
	if o.outcome == Unknown {
		switch kind {
		case cranfault.AlreadyClaimed, AnswerNotCached:
			return http.StatusConflict
		case cranfault.Timeout, cranfault.Cancelled:
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch kind {
	case cranfault.UnknownService:
		return http.StatusNotFound
	case cranfault.Malformed:
		return http.StatusBadRequest
	case cranfault.TooLarge:
		return http.StatusRequestEntityTooLarge
	case cranfault.Conflict:
		return http.StatusUnprocessableEntity
	case cranfault.QueueFull:
		return http.StatusTooManyRequests
	case cranfault.Cancelled:
		return statusClientClosed
	}
	return http.StatusServiceUnavailable
}
