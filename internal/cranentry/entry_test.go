package cranentry

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranmetric"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

// TestRequestsAreTimed checks that the request histogram counts requests of
// callers, including refused ones.
func TestRequestsAreTimed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	metrics := cranmetric.New()
	platform := cranstandin.NewPlatform()
	defer func() { require.NoError(t, platform.Close()) }()
	e, err := New(platform.Log(), platform.Fleet(), l, l.Addr().String(), WithTelemetry(cranevent.Discard(), metrics))
	require.NoError(t, err)
	defer e.Abort()
	e.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/s/orders/1", nil))
	w := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, w.Body.String(), `cranberrypick_request_seconds_count{service="other"} 1`+"\n")
}
