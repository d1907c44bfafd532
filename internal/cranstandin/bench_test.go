package cranstandin

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// benchmarkAppend measures appends of one payload of 300 bytes each.
func benchmarkAppend(b *testing.B, log cranplatform.Log) {
	b.ReportAllocs()
	payloads := [][]byte{make([]byte, 300)}
	for b.Loop() {
		_, err := log.Append(context.Background(), "s", payloads)
		require.NoError(b, err)
	}
}

func BenchmarkAppend(b *testing.B) {
	p := NewPlatform(WithLogOptions(WithRetention(10_000)))
	defer func() { require.NoError(b, p.Close()) }()
	benchmarkAppend(b, p.Log())
}

func BenchmarkAppendOverHTTP(b *testing.B) {
	p := NewPlatform(WithLogOptions(WithRetention(10_000)))
	s := httptest.NewServer(p)
	c := cranplatform.NewClient(s.URL)
	defer func() {
		require.NoError(b, c.Close())
		require.NoError(b, p.Close())
		s.Close()
	}()
	benchmarkAppend(b, c)
}
