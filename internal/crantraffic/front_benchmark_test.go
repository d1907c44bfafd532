package crantraffic

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkLatency times requests through the proxy and directly to the target
// in turn, so that both are measured under the same load of the machine.
func BenchmarkLatency(b *testing.B) {
	for _, method := range []string{"GET", "POST"} {
		b.Run(method, func(b *testing.B) {
			direct, proxy := newBenchmark(b)
			client := newBenchmarkClient()
			times := map[string][]time.Duration{}
			b.ResetTimer()
			for range b.N {
				for _, url := range []string{direct + "/run/x", proxy + "/s/orders/x"} {
					start := time.Now()
					benchmarkCall(b, client, method, url)
					times[url] = append(times[url], time.Since(start))
				}
			}
			d, f := times[direct+"/run/x"], times[proxy+"/s/orders/x"]
			b.ReportMetric(us(quantile(f, 0.5)-quantile(d, 0.5)), "addedMedian-us")
			b.ReportMetric(us(quantile(f, 0.99)-quantile(d, 0.99)), "addedP99-us")
			b.ReportMetric(us(quantile(d, 0.5)), "directMedian-us")
			b.ReportMetric(us(quantile(d, 0.99)), "directP99-us")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkThroughput measures the throughput with many concurrent callers,
// directly and through the proxy. With -cpu 1 it measures the requests per
// second of one core, which callers, proxy and target share.
func BenchmarkThroughput(b *testing.B) {
	for _, method := range []string{"GET", "POST"} {
		for _, direct := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s/direct=%t", method, direct), func(b *testing.B) {
				target, proxy := newBenchmark(b)
				url := proxy + "/s/orders/x"
				if direct {
					url = target + "/run/x"
				}
				client := newBenchmarkClient()
				b.SetParallelism(16)
				b.ReportAllocs()
				b.ResetTimer()
				b.RunParallel(func(p *testing.PB) {
					for p.Next() {
						benchmarkCall(b, client, method, url)
					}
				})
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			})
		}
	}
}

func newBenchmark(b *testing.B) (direct, proxy string) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "done")
	}))
	b.Cleanup(target.Close)
	proxyHandler := NewProxy[testSlot](newFakeSlots(64, "a"), newFakeClaims())
	route := NewRoute(testService, testGroup, time.Minute, 1000)
	address := target.Listener.Addr().String()
	proxyHandler.SetView(NewView([]Route{route}, []Instance{NewInstance("a", address, testGroup, 64, true)}, nil))
	server := httptest.NewServer(proxyHandler.Handler())
	b.Cleanup(func() {
		server.Close()
		require.NoError(b, proxyHandler.Close())
	})
	return target.URL, server.URL
}

func newBenchmarkClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 512}}
}

func benchmarkCall(b *testing.B, client *http.Client, method, url string) {
	req, _ := http.NewRequest(method, url, strings.NewReader("body"))
	res, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		b.Error(res.Status)
	}
}

func quantile(times []time.Duration, q float64) time.Duration {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[int(q*float64(len(times)-1))]
}

func us(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
