package cranadmin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// TestAllowPrefixes checks which addresses are allowed, and that a refusal has
// the right kind and is counted.
func TestAllowPrefixes(t *testing.T) {
	prefixes := []netip.Prefix{
		netip.MustParsePrefix("127.0.0.0/8"), netip.MustParsePrefix("fe80::/10"),
	}
	for remote, allowed := range map[string]bool{
		"127.0.0.9:1":          true,
		"[::ffff:127.0.0.9]:1": true,
		"[fe80::1%eth0]:1":     true,
		"128.0.0.1:1":          false,
		"[::1]:1":              false,
		"":                     false,
	} {
		t.Run(remote, func(t *testing.T) {
			var counted []cranfault.Kind
			passed := false
			h := AllowPrefixes(prefixes, func(k cranfault.Kind) { counted = append(counted, k) },
				http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed = true }))
			r := httptest.NewRequest(http.MethodPost, "/publish", nil)
			r.RemoteAddr = remote
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			require.Equal(t, allowed, passed)
			if allowed {
				require.Empty(t, counted)
				return
			}
			require.Equal(t, []cranfault.Kind{cranfault.UnknownPeer}, counted)
			require.Equal(t, http.StatusForbidden, w.Code)
		})
	}
}

// TestClientReceivesRefusal checks that the client of a refused request returns
// the fault of the refusal.
func TestClientReceivesRefusal(t *testing.T) {
	server := httptest.NewServer(AllowPrefixes(nil, func(cranfault.Kind) {}, http.NotFoundHandler()))
	defer server.Close()
	_, err := NewClient(server.URL).Status(context.Background())
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.UnknownPeer))
}
