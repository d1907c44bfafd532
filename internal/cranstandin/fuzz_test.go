package cranstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// refusalStatuses are the HTTP statuses that a refused call may have.
var refusalStatuses = []int{
	http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusConflict, http.StatusGone,
	http.StatusRequestEntityTooLarge, statusClientClosedRequest, http.StatusServiceUnavailable,
}

// fuzzCall sends one call to a handler and requires a complete response, which is
// a success or a refusal with a kind and a remedy. It reports whether the call
// succeeded.
func fuzzCall(t *testing.T, handler http.Handler, method, path, query string, body []byte) bool {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if method == http.MethodGet {
		ctx, cancel = context.WithTimeout(ctx, 5*time.Millisecond)
		defer cancel()
	}
	request := &http.Request{
		Method:        method,
		URL:           &url.URL{Path: path, RawQuery: query},
		Header:        http.Header{},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	recorder := httptest.NewRecorder()
	if aborted := serveOrAbort(handler, recorder, request.WithContext(ctx)); aborted {
		return false
	}
	require.True(t, method == http.MethodHead || json.Valid(recorder.Body.Bytes()), "%q", recorder.Body.String())
	if recorder.Code == http.StatusOK {
		return true
	}
	require.True(t, slices.Contains(refusalStatuses, recorder.Code), "status %d", recorder.Code)
	if method != http.MethodHead {
		var r refusal
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &r))
		require.NotEmpty(t, r.Kind)
		require.NotEmpty(t, r.Remedy)
	}
	return false
}

// serveOrAbort calls the handler and reports whether it aborted the connection
// with http.ErrAbortHandler. Other panics are passed on.
func serveOrAbort(handler http.Handler, w http.ResponseWriter, r *http.Request) (aborted bool) {
	defer func() {
		switch failure := recover(); failure {
		case nil:
		case http.ErrAbortHandler:
			aborted = true
		default:
			panic(failure)
		}
	}()
	handler.ServeHTTP(w, r)
	return false
}

func FuzzPlatform(f *testing.F) {
	f.Add("POST", "/streams/s/records", "", []byte(`{"payloads":["AA==",""]}`))
	f.Add("GET", "/streams/s/records", "from=0&max=5&waitMs=1", []byte{})
	f.Add("PUT", "/faults", "", []byte(`{"logOutage":true,"cutFromLog":["entry1"],"logDelayMs":5}`))
	f.Add("POST", "/instances", "", []byte(`{"id":"t2","role":"target","slots":8}`))
	f.Add("DELETE", "/instances/t1", "abrupt=true", []byte{})
	f.Add("POST", "/actions", "", []byte(`{"id":"a1","kind":"reboot","instance":"t1"}`))
	f.Add("GET", "/actions/a1", "", []byte{})
	f.Add("POST", "/expire", "", []byte(`{"stream":"s","before":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, method, path, query string, body []byte) {
		p := NewPlatform()
		defer func() { require.NoError(t, p.Close()) }()
		require.NoError(t, p.Fleet().Add(cranplatform.Instance{ID: "t1", Role: RoleTarget}, nil))
		_, err := p.Log().Append(context.Background(), "s", [][]byte{{1}})
		require.NoError(t, err)
		accepted := fuzzCall(t, p, method, path, query, body)
		if !accepted {
			require.Equal(t, 1, p.Log().RecordCount(), "a refused call changes nothing")
			require.Len(t, p.Fleet().ActualInstances(), 1)
			require.Empty(t, p.Fleet().Ledger())
			require.Equal(t, Faults{}, p.Faults())
		}
		require.NoError(t, p.SetFaults(Faults{}))
		_, err = p.Log().Append(context.Background(), "after", [][]byte{{2}})
		require.NoError(t, err)
	})
}

func FuzzTarget(f *testing.F) {
	f.Add("POST", "/run/book", "", []byte("hello"))
	f.Add("PUT", "/faults", "", []byte(`{"truncate":true,"lateMs":1}`))
	f.Add("POST", "/control/reboot", "", []byte(`{"downMs":0}`))
	f.Add("POST", "/control/reboot", "", []byte(`{"downMs":-1}`))
	f.Add("POST", "/control/reboot", "", []byte(`{"downMs":9223372036854775807}`))
	f.Add("POST", "/control/stop", "", []byte{})
	f.Add("GET", "/ledger", "", []byte{})
	f.Fuzz(func(t *testing.T, method, path, query string, body []byte) {
		target := NewTarget("t1", 1, 1, WithServiceTime(0))
		defer func() { require.NoError(t, target.Close()) }()
		fuzzCall(t, target, method, path, query, body)
		require.Zero(t, target.InProgress())
		require.Zero(t, target.Ledger().SlotRefusals)
	})
}

func FuzzServiceTime(f *testing.F) {
	f.Add("20")
	f.Add("-1")
	f.Add("99999999999999999999")
	f.Add("600000")
	f.Fuzz(func(t *testing.T, value string) {
		target := NewTarget("t1", 1, 1)
		duration, err := target.serviceTimeOf(&http.Request{Header: http.Header{headerServiceMs: []string{value}}})
		if err != nil {
			require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Malformed))
			return
		}
		require.GreaterOrEqual(t, duration, time.Duration(0))
		require.LessOrEqual(t, duration, maxServiceTime)
	})
}
