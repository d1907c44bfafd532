package crannode

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranmetric"
	"github.com/cranberrypick/cranberrypick/internal/cranpredict"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// TestCalibrationIsReported guards against runs that are counted in two ranges of the metric, or not logged.
func TestCalibrationIsReported(t *testing.T) {
	var log bytes.Buffer
	metrics := cranmetric.NewJobs()
	n := New("a", "a-1", memoryTopics(), Directory{}, noInstances{}, WithLogger(cranevent.New(&log)), WithMetrics(metrics))
	n.judgeRunTimes("s1", cransched.RunTimesJudged{Calibration: cranpredict.Calibration{Runs: 10, Within50: 4, Within90: 9}})
	page := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{`{range="beyond"} 1`, `{range="median"} 4`, `{range="p90"} 5`} {
		require.Contains(t, page.Body.String(), "cranberrypick_run_times_total"+line+"\n")
	}
	require.Contains(t, log.String(), `"event":1441`)
	require.Contains(t, log.String(), `"shard":"s1","count":10,"within50":4,"within90":9`)
}
