package crancli

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranexplain"
)

// TestWhere guards against a query that isn't the submission, and against exit codes that take a refusal for an invalid
// command line or for success.
func TestWhere(t *testing.T) {
	status, contentType, answer := http.StatusOK, "application/json", cranexplain.Answer{Queue: "q", Pool: "p", Job: "ff"}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.Equal(t, "{}", string(body))
		require.Equal(t, "/explain", r.URL.Path)
		require.Equal(t, "host=h&path=%2Fq%2F&tenant=a", r.URL.RawQuery)
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer s.Close()
	job := writeFile(t, "job.json", []byte("{}"))
	run := func(more ...string) (int, string, string) {
		return runCommandLine(append([]string{"where", "--host", "h", "--path", "/q/", "--tenant", "a", "--job", job, "--entry", s.URL}, more...)...)
	}
	code, stdout, _ := run()
	require.Equal(t, exitSuccess, code)
	require.Contains(t, stdout, "queue  q, pool p")
	code, stdout, _ = run("--json")
	require.Equal(t, exitSuccess, code)
	var decoded cranexplain.Answer
	require.NoError(t, json.Unmarshal([]byte(stdout), &decoded))
	require.Equal(t, answer, decoded)

	answer.Refused = "no tenant"
	for _, status = range []int{http.StatusOK, http.StatusBadRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		code, stdout, stderr := run()
		require.Equal(t, exitFailed, code)
		require.Contains(t, stdout, "refused")
		require.Contains(t, stderr, "no tenant")
	}
	status, contentType = http.StatusOK, "text/plain"
	code, _, stderr := run()
	require.Equal(t, exitFailed, code, "an earlier version answers with its metrics")
	require.Contains(t, stderr, "malformed")
	for _, more := range [][]string{{"--job", "none.json"}, {"--entry", "127.0.0.1:1"}, {"--entry", ""}} {
		code, _, _ = run(more...)
		require.Equal(t, exitUsage, code, more)
	}
	code, _, _ = run("--entry", "http://127.0.0.1:1")
	require.Equal(t, exitFailed, code)
}
