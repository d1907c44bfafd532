package cranstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

func TestPlatformRefusesInvalidCalls(t *testing.T) {
	cases := []struct {
		method, target, body string
		kind                 cranfault.Kind
	}{
		{"POST", "/streams/s/records", `{"payloads":["AA=="]}`, ""},
		{"POST", "/streams/s/records", `{"payloads":["AA=="]} {}`, cranfault.Malformed},
		{"POST", "/streams/s/records", `{"payloads":["AA=="],"first":0}`, cranfault.Malformed},
		{"POST", "/streams/s/records", `{"payloads":["*"]}`, cranfault.Malformed},
		{"POST", "/streams/s/records", `{"payloads":["AA`, cranfault.Malformed},
		{"POST", "/streams/s/records", `{"payloads":[]}`, cranfault.Invalid},
		{"POST", "/streams/s/records", `{"payloads":["` + strings.Repeat("AAAA", 400_000) + `"]}`, cranfault.TooLarge},
		{"POST", "/streams/s/records", strings.Repeat(" ", maxAppendBody+1), cranfault.TooLarge},
		{"POST", "/streams/" + strings.Repeat("s", 201) + "/records", `{"payloads":["AA=="]}`, cranfault.Invalid},
		{"POST", "/streams/%2e%2e/records", `{"payloads":["AA=="]}`, cranfault.Invalid},
		{"GET", "/streams/s/records?from=0&max=1", ``, ""},
		{"GET", "/streams/s/records?from=-1&max=1", ``, cranfault.Malformed},
		{"GET", "/streams/s/records?from=0", ``, cranfault.Malformed},
		{"GET", "/streams/s/records?from=0&max=0", ``, cranfault.Invalid},
		{"GET", "/streams/s/records?from=0&max=1&waitMs=-1", ``, cranfault.Invalid},
		{"PUT", "/faults", `{"logOutages":true}`, cranfault.Malformed},
		{"PUT", "/faults", `{"loseAppendAnswers":-1}`, cranfault.Invalid},
		{"PUT", "/faults", `{"logDelayMs":86400001}`, cranfault.Invalid},
		{"POST", "/instances", `{"id":"x"}`, cranfault.Invalid},
		{"POST", "/instances", `{"role":"target"}`, cranfault.Invalid},
		{"POST", "/instances", `{"id":"x","role":"target","slots":-1}`, cranfault.Invalid},
		{"DELETE", "/instances/x", ``, cranfault.UnknownInstance},
		{"POST", "/actions", `{"id":"a","kind":"stop","instance":"t1"}`, cranfault.Invalid},
		{"POST", "/actions", `{"kind":"reboot","instance":"t1"}`, cranfault.Invalid},
		{"POST", "/actions", `{"id":"a","kind":"reassign","instance":"t1"}`, cranfault.Invalid},
		{"POST", "/actions", `{"id":"a","kind":"reboot","instance":"x"}`, cranfault.UnknownInstance},
		{"POST", "/actions", `{"id":"a","kind":"reboot","instance":"t1"}`, ""},
		{"POST", "/actions", `{"id":"a","kind":"reassign","instance":"t1","pool":"p"}`, cranfault.Conflict},
		{"POST", "/actions", `{"id":"b","kind":"reboot","instance":"t1"}`, cranfault.Busy},
		{"GET", "/nowhere", ``, cranfault.Malformed},
	}
	p := NewPlatform()
	defer func() { require.NoError(t, p.Close()) }()
	require.NoError(t, p.Fleet().Add(cranplatform.Instance{ID: "t1", Role: RoleTarget}, nil))
	for _, k := range cases {
		recorder := httptest.NewRecorder()
		p.ServeHTTP(recorder, httptest.NewRequest(k.method, k.target, strings.NewReader(k.body)))
		var r refusal
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &r))
		require.Equal(t, k.kind, r.Kind, "%s %.60s %.60s", k.method, k.target, k.body)
		require.Equal(t, k.kind == "", recorder.Code == http.StatusOK)
	}
	require.Equal(t, 1, p.Log().RecordCount())
}

// TestRetentionBoundsMemory makes many appends and additions of an instance, and
// checks that the memory for records, states and streams stays bounded.
func TestRetentionBoundsMemory(t *testing.T) {
	const (
		retention = 100
		appends   = 50_000
		changes   = 5_000
	)
	p := NewPlatform(WithLogOptions(WithRetention(retention)), WithFleetOptions(WithGoneTime(0), WithLeaveTime(0)))
	defer func() { require.NoError(t, p.Close()) }()
	ctx := context.Background()
	for range appends {
		_, err := p.Log().Append(ctx, "s", [][]byte{{1}})
		require.NoError(t, err)
	}
	require.LessOrEqual(t, cap(p.log.streams["s"].records), 4*retention)
	for range changes {
		require.NoError(t, p.Fleet().Add(cranplatform.Instance{ID: "t1", Role: RoleTarget}, nil))
	}
	require.LessOrEqual(t, cap(p.fleet.members["t1"].versions), 4*maxVersions)
	require.Empty(t, p.fleet.timers.pending)
	for n := range maxStreams {
		_, err := p.Log().Append(ctx, fmt.Sprint("stream", n), [][]byte{{1}})
		if n < maxStreams-1 {
			require.NoError(t, err)
			continue
		}
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.TooLarge))
	}
	_, err := p.Log().Read(ctx, "not created", 0, 1, 0)
	require.NoError(t, err)
	require.Len(t, p.log.streams, maxStreams)
}
