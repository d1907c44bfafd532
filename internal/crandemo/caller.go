package crandemo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

// Header fields of a call and of its response.
const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "X-Deadline-Ms"
	headerOutcome  = "X-Outcome"
)

const (
	// callTimeout limits how long a caller waits for an entry's response.
	callTimeout = 10 * time.Second
	// idleConnections is the maximum number of idle connections to each entry.
	idleConnections = 512
	// maxResponseBytes is the maximum size of a response; the rest is not read.
	maxResponseBytes = 1 << 16
)

// caller sends requests to entries over HTTP.
type caller struct {
	client *http.Client
	close  func()
}

func newCaller() *caller {
	t := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	return &caller{client: &http.Client{Transport: t, Timeout: callTimeout}, close: t.CloseIdleConnections}
}

// endpoint is the address of an entry.
type endpoint struct {
	id  string
	url string
}

// call sends a request to an entry once and returns the outcome.
func (c *caller) call(e endpoint, r request) call {
	outcome := c.exchange(e, r)
	return call{entry: e.id, outcome: outcome, end: time.Now()}
}

// exchange sends the request and returns the outcome in the entry's response. It
// returns noOutcome if the response is incomplete or belongs to another request.
func (c *caller) exchange(e endpoint, r request) crantraffic.Outcome {
	in, err := newHTTPRequest(e, r)
	if err != nil {
		return noOutcome
	}
	response, err := c.client.Do(in)
	if err != nil {
		return noOutcome
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return noOutcome
	}
	outcome := crantraffic.Outcome(response.Header.Get(headerOutcome))
	switch outcome {
	case crantraffic.Answered:
		if response.StatusCode == http.StatusOK && !r.answeredBy(body) {
			return noOutcome
		}
		return outcome
	case crantraffic.NotRun, crantraffic.Unknown:
		return outcome
	default:
		return noOutcome
	}
}

// newHTTPRequest returns the HTTP request of a call. Its body cannot be rewound, so the HTTP
// transport cannot retry the call by itself.
func newHTTPRequest(e endpoint, r request) (*http.Request, error) {
	method := http.MethodPost
	if r.idempotent {
		method = http.MethodGet
	}
	url := e.url + "/s/" + r.service + "/" + r.key
	in, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(r.key))
	if err != nil {
		return nil, err
	}
	in.GetBody = nil
	in.Header.Set(headerDeadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	if !r.idempotent {
		in.Header.Set(headerKey, r.key)
	}
	return in, nil
}

// targetResponse is the part of a target's response that identifies the request.
type targetResponse struct {
	// Echo is the hexadecimal SHA-256 hash of the request's body.
	Echo string `json:"echo"`
}

// answeredBy reports whether a target's response belongs to the request.
func (r request) answeredBy(body []byte) bool {
	var a targetResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return false
	}
	sum := sha256.Sum256([]byte(r.key))
	return a.Echo == hex.EncodeToString(sum[:])
}
