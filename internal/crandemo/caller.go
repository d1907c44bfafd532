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

// Header fields of a call.
const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "X-Deadline-Ms"
	headerOutcome  = "X-Outcome"
)

const (
	// callTimeout bounds a call whose entry never answers.
	callTimeout = 10 * time.Second
	// idleConnections bounds the unused connections to each entry.
	idleConnections = 512
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 1 << 16
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

// endpoint is an entry as callers see it.
type endpoint struct {
	id  string
	url string
}

// call sends a request to an entry once.
func (c *caller) call(e endpoint, r request) call {
	verdict := c.exchange(e, r)
	return call{entry: e.id, verdict: verdict, end: time.Now()}
}

// exchange returns what the entry told. It is noOutcome unless the answer is
// whole and belongs to the request.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return noOutcome
	}
	verdict := crantraffic.Outcome(response.Header.Get(headerOutcome))
	switch verdict {
	case crantraffic.Answered:
		if response.StatusCode == http.StatusOK && !r.answeredBy(body) {
			return noOutcome
		}
		return verdict
	case crantraffic.NotRun, crantraffic.Unknown:
		return verdict
	default:
		return noOutcome
	}
}

// newHTTPRequest makes a call that the transport cannot replay by itself: its
// body cannot be rewound.
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

// targetAnswer is the part of a target's answer that tells whose it is.
type targetAnswer struct {
	// Echo is the SHA-256 of the request's body in hex.
	Echo string `json:"echo"`
}

// answeredBy reports whether a target's answer belongs to the request.
func (r request) answeredBy(body []byte) bool {
	var a targetAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return false
	}
	sum := sha256.Sum256([]byte(r.key))
	return a.Echo == hex.EncodeToString(sum[:])
}
