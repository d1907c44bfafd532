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

// Statuses that net/http has no names for.
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

// handle serves one request of a caller.
func (f *Proxy[S]) handle(c echo.Context) error {
	if fault := f.enter(); fault != nil {
		return f.tell(c, nil, notRun(fault))
	}
	defer f.calls.Done()
	st := f.state.Load()
	r, fault := f.parse(st.view, c.Response(), c.Request())
	if fault != nil {
		return f.tell(c, r, notRun(fault))
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), r.deadline)
	defer cancel()
	if err := st.view.mayServe(); err != nil {
		return f.tell(c, r, notRun(asFault(err)))
	}
	j := &job[S]{
		request: r,
		front:   f,
		group:   st.groups[r.route.group],
		service: st.services[r.route.service],
	}
	if r.idempotent {
		return f.tell(c, r, j.runIdempotent(ctx))
	}
	return f.tell(c, r, j.runClaimed(ctx))
}

// notFound refuses what isn't under the services' prefix.
func (f *Proxy[S]) notFound(c echo.Context) error {
	return f.tell(c, nil, notRun(cranfault.New(cranfault.UnknownService, remedyReadManual,
		"requests are served under %s{service}/", servicePrefix)))
}

// tell writes the outcome to the caller.
func (f *Proxy[S]) tell(c echo.Context, r *request, o callResult) error {
	service := ""
	if r != nil {
		service = r.route.service
	}
	f.counters.Outcome(service, o.verdict, o.reason())
	if o.verdict == NotRun {
		f.counters.Refused(service, o.reason())
	}
	h := c.Response().Header()
	h.Set(headerOutcome, string(o.verdict))
	if r != nil && r.key != "" {
		h.Set(headerKey, r.key)
	}
	switch {
	case o.stream != nil:
		if passStream(c, o.stream) != nil {
			f.counters.Refused(service, BrokenAnswer)
			panic(http.ErrAbortHandler)
		}
		return nil
	case o.answer != nil:
		return passAnswer(c, o.answer)
	}
	return writeFault(c, r, o)
}

// passAnswer writes a whole answer.
func passAnswer(c echo.Context, a *Answer) error {
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

// passStream passes a long answer on. If it fails the caller's connection must
// be aborted, so that the caller sees that the answer was cut short.
func passStream(c echo.Context, s *stream) error {
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

// writeFault writes the outcomes notRun and unknown.
func writeFault(c echo.Context, r *request, o callResult) error {
	w := c.Response()
	status := statusOf(o)
	h := w.Header()
	h.Set(headerReason, string(o.reason()))
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfter)
	}
	body := faultBody{
		Outcome: o.verdict,
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

// statusOf returns the HTTP status of the outcomes notRun and unknown.
func statusOf(o callResult) int {
	kind := o.reason()
	if o.verdict == Unknown {
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
