package crantraffic

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Header fields of the protocol with callers and targets.
const (
	headerDeadline   = "X-Deadline-Ms"
	headerIdempotent = "Idempotent"
	headerKey        = "Idempotency-Key"
	headerRequestID  = "X-Request-Id"
	headerOutcome    = "X-Outcome"
	headerReason     = "X-Reason"
	headerRefused    = "X-Refused" // the target did not run the request for lack of slots or connections
	headerNever      = "X-Never"   // no instance can run the request, for the stated reason

	refusedSlots       = "slots" // values of X-Refused
	refusedConnections = "connections"
)

// request is a caller's request after parsing, with its complete body.
type request struct {
	route      Route
	method     string
	path       string // escaped; the part after /run/
	query      string
	header     http.Header // end-to-end fields only
	body       []byte
	idempotent bool
	key        string        // unique within the service; empty if idempotent
	deadline   time.Time     // the caller wants no answer after this time
	timeout    time.Duration // time from arrival to the deadline
}

// claimKey returns the key under which the request is claimed.
func (r *request) claimKey() string { return r.route.service + ":" + r.key }

// targetURL returns the URL of the request at a target.
func (r *request) targetURL(address string) *url.URL {
	raw := "/run/" + r.path
	plain, err := url.PathUnescape(raw)
	if err != nil {
		plain = raw
	}
	return &url.URL{Scheme: "http", Host: address, Path: plain, RawPath: raw, RawQuery: r.query}
}

// targetHeader returns the header to send to a target.
func (r *request) targetHeader(id string) http.Header {
	h := r.header.Clone()
	h.Set(headerRequestID, id)
	if !r.idempotent {
		h.Set(headerKey, r.key)
	}
	left := min(time.Until(r.deadline), r.route.maxDuration)
	h.Set(headerDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	return h
}

// hopByHop lists the header fields that concern a single connection, and those
// that the proxy sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", headerDeadline, headerIdempotent, headerKey,
	headerRequestID, headerOutcome, headerReason,
}

// endToEnd returns a copy of the header without the hop-by-hop fields.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
