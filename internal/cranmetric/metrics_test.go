package cranmetric

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

// scrape returns the lines about this package's metrics that the handler serves.
func scrape(t *testing.T, m *Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, 200, w.Code)
	var b strings.Builder
	for line := range strings.Lines(w.Body.String()) {
		if strings.Contains(line, namespace+"_") {
			b.WriteString(line)
		}
	}
	return b.String()
}

func TestAllFaultKindsStartAtZero(t *testing.T) {
	p := scrape(t, New())
	for _, k := range cranfault.Kinds() {
		require.Contains(t, p, fmt.Sprintf("cranberrypick_refusals_total{reason=%q} 0\n", k))
	}
}

// TestScrape compares the metrics after calls of all methods with a golden file.
func TestScrape(t *testing.T) {
	m := New(WithRuntime())
	m.SetServices("placement", "booking")
	m.Refused(cranfault.BudgetSpent)
	m.Refused("made up")
	m.Retried(RetrySilent)
	m.Retried("made up")
	m.Outcome("placement", Answered, 20*time.Millisecond)
	m.Outcome("booking", NotRun, 2*time.Second)
	m.Outcome("../etc", Unknown, time.Hour)
	m.Outcome("placement", "made up", 0)
	m.LogAppend(AppendConfirmed, 3, 900, 4*time.Millisecond)
	m.LogAppend(AppendUncertain, 1, 300, time.Minute)
	m.LogRetried(LogAppendTimeout)
	m.LogRead(7, 2100)
	m.MalformedRecord()
	m.PeerMessage(Sent, 100)
	m.PeerMessage(Received, 50)
	m.SetReady(true)
	m.SetAppliedOffset(1200)
	m.SetRevision(9)
	m.SetMembers(6)
	m.SetInstances("serving", 48)
	m.SetInstances("made up", 2)
	m.SetSlots(5, 2, 1)
	m.SetMoves(11)
	m.SetRollout(250 * time.Millisecond)
	m.SetIdle(4, 0)
	m.SetIdle(3, 1500*time.Millisecond)
	m.SetIdle(3, -time.Second)
	goldie.New(t, goldie.WithNameSuffix(".golden")).Assert(t, "metrics", []byte(scrape(t, m)))
}

// TestOnlyServicesInForceHaveSeries checks that requests to other services, also to one
// that was dropped while the request ran, create no series.
func TestOnlyServicesInForceHaveSeries(t *testing.T) {
	m := New()
	count := func() int { return testutil.CollectAndCount(m.requests.total) }
	require.Equal(t, 3, count())
	m.SetServices("placement", "booking", "other")
	require.Equal(t, 9, count())
	dropped := (*m.requests.inForce.Load())["booking"]
	m.Outcome("placement", Answered, time.Second)
	m.SetServices("placement")
	for i := range 1000 {
		m.Outcome(fmt.Sprint("stranger", i), NotRun, time.Second)
	}
	dropped.total[Answered].Inc()
	require.Equal(t, 6, count())
	require.Equal(t, 2, testutil.CollectAndCount(m.requests.seconds))
	require.Contains(t, scrape(t, m), `requests_total{outcome="answered",service="placement"} 1`)
	require.Contains(t, scrape(t, m), `requests_total{outcome="notRun",service="other"} 1000`)
}

// TestReasonsOfOtherPackages checks that each reason and kind that is declared in the
// source of another package has its own series and is not counted as "other".
func TestReasonsOfOtherPackages(t *testing.T) {
	p := scrape(t, New())
	for _, c := range []struct{ files, pattern, series string }{
		{"../crantraffic/*.go", `(?m)^\t\w+ +cranfault\.Kind += "(\w+)"`, "refusals_total"},
		{"../*/*.go", `(?m)^\t\w+ +cranfault\.Kind += "(\w+)"`, "refusals_total"},
		{"../crantraffic/*.go", `(?m)^\t\w+ +RetryReason += "(\w+)"`, "retries_total"},
		{"../cranlog/*.go", `(?m)^\t\w+ +Reason += "(\w+)"`, "log_retries_total"},
		{"../cranstate/*.go", `(?m)^\t\w+ +Phase += "(\w+)"`, "instances"},
	} {
		found := declaredValues(t, c.files, c.pattern)
		require.NotEmpty(t, found, c.pattern)
		for _, reason := range found {
			if c.series == "instances" && reason == "gone" {
				continue // an instance that is gone is no longer counted
			}
			require.Regexp(t, `cranberrypick_`+c.series+`\{\w+="`+reason+`"\} 0\n`, p)
		}
	}
}

// declaredValues returns the first group of each match of the pattern in the files.
func declaredValues(t *testing.T, files, pattern string) []string {
	paths, err := filepath.Glob(files)
	require.NoError(t, err)
	var found []string
	for _, path := range paths {
		source, err := os.ReadFile(path)
		require.NoError(t, err)
		for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(source), -1) {
			found = append(found, m[1])
		}
	}
	return found
}

var _ crantraffic.Counters = TrafficCounters[crantraffic.RetryReason, crantraffic.Outcome]{}

func TestTrafficCounters(t *testing.T) {
	m := New()
	m.SetServices("placement")
	c := NewTrafficCounters[crantraffic.RetryReason, crantraffic.Outcome](m)
	c.Refused("placement", crantraffic.TargetLost)
	c.Retried("placement", crantraffic.RetrySilent)
	c.Outcome("placement", crantraffic.NotRun, cranfault.Busy)
	h := m.Timed("/services/", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(2 * time.Second)
		panic(http.ErrAbortHandler)
	}))
	synctest.Test(t, func(t *testing.T) {
		for _, path := range []string{"/services/placement/x", "/services/placement", "/services/stranger/x", "/"} {
			require.Panics(t, func() { h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil)) })
		}
	})
	p := scrape(t, m)
	for _, line := range []string{
		`refusals_total{reason="targetLost"} 1`, `retries_total{reason="silent"} 1`,
		`requests_total{outcome="notRun",service="placement"} 1`,
		`request_seconds_sum{service="placement"} 4`, `request_seconds_count{service="placement"} 2`, `request_seconds_count{service="other"} 2`,
	} {
		require.Contains(t, p, "cranberrypick_"+line+"\n")
	}
}

// TestTrafficKinds checks that docs/operators.md explains the kinds of fault that
// crantraffic declares itself.
func TestTrafficKinds(t *testing.T) {
	text, err := os.ReadFile("../../docs/operators.md")
	require.NoError(t, err)
	_, section, found := strings.Cut(string(text), "\n## Refusals of traffic\n")
	require.True(t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	var listed []cranfault.Kind
	for _, row := range regexp.MustCompile("(?m)^\\| `(\\w+)` \\|[^|]+\\|[^|]+\\|$").FindAllStringSubmatch(section, -1) {
		listed = append(listed, cranfault.Kind(row[1]))
	}
	require.Equal(t, trafficKinds, listed)
}

func TestConcurrentUse(t *testing.T) {
	m := New()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for j := range 200 {
				m.SetServices("a", fmt.Sprint("s", (i+j)%3))
				m.Outcome("a", Answered, time.Millisecond)
				m.Refused(cranfault.Busy)
			}
		})
	}
	wg.Wait()
	require.Contains(t, scrape(t, m), `requests_total{outcome="answered",service="a"} 1600`)
}

func TestMetricNamesPassLinter(t *testing.T) {
	m := New()
	problems, err := testutil.GatherAndLint(m.registry)
	require.NoError(t, err)
	require.Empty(t, problems)
}

// TestOperatorsPage checks that docs/operators.md lists exactly the metrics that New
// creates.
func TestOperatorsPage(t *testing.T) {
	text, err := os.ReadFile("../../docs/operators.md")
	require.NoError(t, err)
	var listed []string
	for _, r := range regexp.MustCompile("(?m)^\\| `(cranberrypick_\\w+)(?:\\{[^`]*\\})?` \\|").FindAllStringSubmatch(string(text), -1) {
		listed = append(listed, r[1])
	}
	slices.Sort(listed)
	require.Equal(t, metricNames(t, New().registry), listed)
}

func metricNames(t *testing.T, g prometheus.Gatherer) []string {
	families, err := g.Gather()
	require.NoError(t, err)
	var list []string
	for _, f := range families {
		list = append(list, f.GetName())
	}
	return list
}

func BenchmarkOutcome(b *testing.B) {
	m := New()
	m.SetServices("placement")
	b.ReportAllocs()
	for b.Loop() {
		m.Outcome("placement", Answered, 20*time.Millisecond)
	}
}
