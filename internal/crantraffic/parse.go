package crantraffic

import (
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

const (
	maxKeyLength     = 200 // bytes of an Idempotency-Key
	maxDeadline      = time.Hour
	servicePrefix    = "/s/"
	remedyReadManual = "see docs/requests.md for the form of a request"
)

// parse validates and reads a caller's request.
func (s *settings) parse(v *View, w http.ResponseWriter, in *http.Request) (*request, *cranfault.Fault) {
	service, path, _ := strings.Cut(strings.TrimPrefix(in.URL.EscapedPath(), servicePrefix), "/")
	route, ok := v.Route(service)
	if !ok {
		return nil, cranfault.New(cranfault.UnknownService,
			"use a service of the accepted configuration", "unknown service %.64q", service)
	}
	r := &request{route: route, method: in.Method, path: path, query: in.URL.RawQuery}
	if f := checkPath(path); f != nil {
		return r, f
	}
	if f := s.readHeader(r, in.Header); f != nil {
		return r, f
	}
	return r, s.readBody(r, w, in)
}

// checkPath refuses paths that a target could resolve to a path outside /run/.
func checkPath(path string) *cranfault.Fault {
	for segment := range strings.SplitSeq(strings.ToLower(path), "/") {
		plain := strings.ReplaceAll(segment, "%2e", ".")
		if plain == "." || plain == ".." {
			return malformed("the path has a dot segment")
		}
	}
	return nil
}

func malformed(format string, args ...any) *cranfault.Fault {
	return cranfault.New(cranfault.Malformed, remedyReadManual, format, args...)
}

func (s *settings) readHeader(r *request, h http.Header) *cranfault.Fault {
	f := r.readIdempotence(h)
	if f != nil {
		return f
	}
	if f = s.readDeadline(r, h); f != nil {
		return f
	}
	if !r.idempotent {
		if f = r.readKey(h); f != nil {
			return f
		}
	}
	r.header = endToEnd(h)
	return nil
}

// readIdempotence determines whether the request is idempotent.
func (r *request) readIdempotence(h http.Header) *cranfault.Fault {
	switch r.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		r.idempotent = true
		return nil
	case http.MethodPost, http.MethodPatch:
	default:
		return malformed("method %.32q isn't supported", r.method)
	}
	switch strings.Join(h.Values(headerIdempotent), ",") {
	case "true":
		r.idempotent = true
	case "", "false":
	default:
		return malformed("%s must be true or false", headerIdempotent)
	}
	return nil
}

func (s *settings) readDeadline(r *request, h http.Header) *cranfault.Fault {
	now := s.now()
	values := h.Values(headerDeadline)
	if len(values) == 0 {
		r.timeout = s.deadline
		r.deadline = now.Add(r.timeout)
		return nil
	}
	n, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || len(values) > 1 || n <= 0 || n > maxDeadline.Milliseconds() {
		return malformed("%s must be one whole number from 1 to %d", headerDeadline, maxDeadline.Milliseconds())
	}
	r.timeout = time.Duration(n) * time.Millisecond
	r.deadline = now.Add(r.timeout)
	return nil
}

// readKey reads the caller's key, or generates one.
func (r *request) readKey(h http.Header) *cranfault.Fault {
	values := h.Values(headerKey)
	if len(values) == 0 {
		r.key = rand.Text()
		return nil
	}
	if len(values) > 1 || !validKey(values[0]) {
		return malformed("%s must be one value of 1 to %d visible ASCII characters", headerKey, maxKeyLength)
	}
	r.key = values[0]
	return nil
}

func validKey(key string) bool {
	if key == "" || len(key) > maxKeyLength {
		return false
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// readBody reads the complete body.
func (s *settings) readBody(r *request, w http.ResponseWriter, in *http.Request) *cranfault.Fault {
	if in.Body == nil || in.Body == http.NoBody {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, in.Body, s.bodyLimit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return cranfault.New(cranfault.TooLarge, "send a smaller body",
			"the body has more than %d bytes", s.bodyLimit)
	}
	if err != nil {
		return malformed("the body couldn't be read completely")
	}
	r.body = body
	return nil
}
