package cranfleet

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranseed"
)

// TestMain runs the tests with a fixed seed for rapid.
func TestMain(m *testing.M) { cranseed.Run(m) }

func golden(t *testing.T) *goldie.Goldie {
	return goldie.New(t, goldie.WithNameSuffix(".golden"))
}

// model is a configuration as plain values, which may be invalid.
type model struct {
	name     string
	pools    []modelPool
	services []modelService
	prices   [3]float64
}

type modelPool struct {
	name  string
	size  int
	spare bool
}

type modelService struct {
	name, pool               string
	maxUnavailable, maxQueue int
	maxDuration              time.Duration
}

func (m model) options() []Option {
	options := []Option{WithPrices(m.prices[0], m.prices[1], m.prices[2])}
	for _, p := range m.pools {
		if p.spare {
			options = append(options, WithSpare(p.name))
			continue
		}
		options = append(options, WithPool(p.name, p.size))
	}
	for _, s := range m.services {
		options = append(options, WithService(s.name, s.pool,
			MaxUnavailable(s.maxUnavailable), MaxDuration(s.maxDuration), MaxQueue(s.maxQueue)))
	}
	return options
}

// withChange returns the model with at most one property changed.
func (m model) withChange(which int) model {
	m.pools, m.services = slices.Clone(m.pools), slices.Clone(m.services)
	switch which {
	case 0, 1, 2:
		m.prices[which] = math.Mod(m.prices[which]+1, MaxPrice)
	case 3:
		m.name += "X"
	case 4:
		m.pools = append(m.pools, modelPool{name: "another", size: 1})
	case 5:
		m.pools[len(m.pools)-1].size++
	}
	if len(m.services) == 0 {
		return m
	}
	switch s := &m.services[len(m.services)-1]; which {
	case 6:
		m.services = m.services[1:]
	case 7:
		s.maxQueue = (s.maxQueue + 1) % MaxQueueLength
	case 8:
		s.maxDuration = s.maxDuration%(10*time.Minute) + time.Millisecond
	case 9:
		s.maxUnavailable = 1
	}
	return m
}

var (
	goodNames = []string{"a", "bookings", "sheetBuilder", "vets7", "x" + strings.Repeat("y", 62)}
	badNames  = []string{"", "A", "7a", "a-b", "a b", "é", "x" + strings.Repeat("y", 63), "a\n"}
)

// drawModel draws a configuration in which about one in odds values is invalid.
// With odds of zero all values are valid.
func drawModel(t *rapid.T, odds int) model {
	makeBad := func(label string) bool { return odds > 0 && rapid.IntRange(1, odds).Draw(t, label) == 1 }
	name := func(good string) string {
		if makeBad("badName") {
			return rapid.SampledFrom(append(badNames, goodNames...)).Draw(t, "name")
		}
		return good
	}
	price := func() float64 {
		if makeBad("badPrice") {
			return rapid.SampledFrom([]float64{-1, math.NaN(), math.Inf(1), math.Inf(-1), math.Nextafter(MaxPrice, math.Inf(1))}).Draw(t, "price")
		}
		return rapid.OneOf(rapid.Float64Range(0, MaxPrice), rapid.Just(math.Copysign(0, -1))).Draw(t, "price")
	}
	m := model{name: name("fleet"), prices: [3]float64{price(), price(), price()}}
	for i := range rapid.IntRange(1, 5).Draw(t, "pools") {
		size := rapid.IntRange(1, MaxInstances/5-1).Draw(t, "size")
		if makeBad("badSize") {
			size = rapid.SampledFrom([]int{-1, 0, MaxInstances, MaxInstances + 1}).Draw(t, "size")
		}
		m.pools = append(m.pools, modelPool{name: name(goodNames[i]), size: size, spare: i == 0 != makeBad("badSpare")})
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "services") {
		if len(m.pools) < 2 {
			break
		}
		p := m.pools[rapid.IntRange(1, len(m.pools)-1).Draw(t, "pool")]
		s := modelService{
			name: name(goodNames[i]), pool: name(p.name),
			maxUnavailable: rapid.IntRange(1, max(p.size, 1)).Draw(t, "unavailable"),
			maxQueue:       rapid.IntRange(0, MaxQueueLength).Draw(t, "max"),
			maxDuration:    time.Duration(rapid.IntRange(1, 600_000).Draw(t, "ms")) * time.Millisecond,
		}
		if makeBad("badBudget") {
			s.maxUnavailable = rapid.SampledFrom([]int{-1, 0, p.size + 1}).Draw(t, "unavailable")
		}
		if makeBad("badDuration") {
			s.maxDuration = rapid.SampledFrom([]time.Duration{-1, 0, time.Microsecond, 1500 * time.Microsecond, 10*time.Minute + 1}).Draw(t, "duration")
		}
		if makeBad("badQueue") {
			s.maxQueue = rapid.SampledFrom([]int{-1, MaxQueueLength + 1}).Draw(t, "max")
		}
		m.services = append(m.services, s)
	}
	return m
}

// valid is the oracle of New: an independent and simple implementation of the
// rules.
func (m model) valid() bool {
	name := func(s string) bool {
		ok := len(s) >= 1 && len(s) <= 63 && s[0] >= 'a' && s[0] <= 'z'
		for _, c := range s {
			ok = ok && (c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9')
		}
		return ok
	}
	ok := name(m.name)
	for _, p := range m.prices {
		ok = ok && p >= 0 && p <= 1e12
	}
	sizes, spares, sum := map[string]int{}, 0, 0
	for _, p := range m.pools {
		_, twice := sizes[p.name]
		ok = ok && name(p.name) && !twice
		if p.spare {
			spares++
			sizes[p.name] = 0
			continue
		}
		ok = ok && p.size >= 0
		sizes[p.name] = p.size
		sum += p.size
	}
	ok = ok && spares == 1 && sum <= 100_000
	seen := map[string]bool{}
	for _, s := range m.services {
		ok = ok && name(s.name) && !seen[s.name] && s.maxUnavailable >= 1 && s.maxUnavailable <= sizes[s.pool]
		ok = ok && s.maxQueue >= 0 && s.maxQueue <= 1_000_000
		ok = ok && s.maxDuration >= time.Millisecond && s.maxDuration <= 10*time.Minute && s.maxDuration%time.Millisecond == 0
		seen[s.name] = true
	}
	return ok
}

// TestNewMatchesOracle checks that New accepts exactly the valid configurations.
func TestNewMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, rapid.SampledFrom([]int{0, 10, 40}).Draw(t, "odds"))
		_, err := New(m.name, m.options()...)
		require.Equal(t, m.valid(), err == nil, "%v", err)
		if err != nil {
			require.NotEmpty(t, FaultsOf(err))
			require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Invalid))
		}
	})
}

// TestEncodeIsCanonical checks that the encoding doesn't depend on the order of
// options, and that decoding it yields the same configuration.
func TestEncodeIsCanonical(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, 0)
		options := m.options()
		c, err := New(m.name, options...)
		require.NoError(t, err)
		shuffled, err := New(m.name, rapid.Permutation(options).Draw(t, "order")...)
		require.NoError(t, err)
		require.Equal(t, string(c.Encode()), string(shuffled.Encode()))
		require.NotContains(t, string(c.Encode()), ": -", "a negative zero is encoded as zero")
		decoded, err := Decode(c.Encode())
		require.NoError(t, err)
		require.Equal(t, c, decoded)
	})
}

// TestDiffIsEmptyIfAndOnlyIfEncodingsAreEqual checks that Diff and Encode agree on
// whether two configurations are equal.
func TestDiffIsEmptyIfAndOnlyIfEncodingsAreEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, 0)
		a, err := New(m.name, m.options()...)
		require.NoError(t, err)
		o := m.withChange(rapid.IntRange(0, 10).Draw(t, "change"))
		b, err := New(o.name, o.options()...)
		require.NoError(t, err)
		require.Equal(t, string(a.Encode()) == string(b.Encode()), len(Diff(a, b)) == 0)
		require.NotEmpty(t, Diff(nil, a))
	})
}

func newConfig(t *testing.T, options ...Option) *Config {
	c, err := New("fleet", append([]Option{WithSpare("office")}, options...)...)
	require.NoError(t, err)
	return c
}

func TestDiffText(t *testing.T) {
	old := newConfig(t, WithPool("vets", 8), WithPool("rosters", 9),
		WithService("bookings", "vets"), WithService("placement", "rosters"), WithPrices(40, 0.5, 5))
	updated := newConfig(t, WithPool("vets", 10), WithPool("kennels", 8),
		WithService("bookings", "kennels", MaxUnavailable(2), MaxDuration(1500*time.Millisecond)), WithPrices(40, 0.5, 7))
	var b strings.Builder
	for _, c := range Diff(old, updated) {
		fmt.Fprintln(&b, c)
	}
	golden(t).Assert(t, "diff", []byte(b.String()))
}

// TestFaultText checks the texts of the faults of a configuration that has
// nearly all of them.
func TestFaultText(t *testing.T) {
	options := []Option{
		WithPool("Vets", -1), WithPool("rosters", MaxInstances), WithPool("rosters", 1), WithPool("empty", 0),
		nil, WithSpare("office"), WithSpare("backOffice"),
		WithService("bookings", "vets"), WithService("bookings", "office"), WithService("check in", "empty", nil),
		WithService("placement", "rosters", MaxUnavailable(0), MaxDuration(time.Hour), MaxQueue(-1)),
		WithService("outings", "rosters", MaxDuration(1500*time.Microsecond)),
		WithPrices(math.NaN(), -1, math.Inf(1)), WithPrices(1, 1, 1),
	}
	_, err := New("Head Office", options...)
	golden(t).Assert(t, "faults", []byte(err.Error()+"\n"))
	require.Equal(t, "option 13", FaultsOf(err)[len(FaultsOf(err))-2].Position().Part())
	_, err = New("fleet")
	require.EqualError(t, err, "name: there is no spare pool; remedy: add one with WithSpare")
}

// TestDecodeFaultText checks the texts of the faults of every file in
// testdata/decode.
func TestDecodeFaultText(t *testing.T) {
	files, err := filepath.Glob("testdata/decode/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		_, err = Decode(data)
		require.Error(t, err, file)
		goldie.New(t, goldie.WithFixtureDir("testdata/decode"), goldie.WithNameSuffix(".golden")).
			Assert(t, strings.TrimSuffix(filepath.Base(file), ".json"), []byte(err.Error()+"\n"))
	}
	_, err = Decode(make([]byte, MaxEncodedBytes+1))
	require.ErrorContains(t, err, "4 MiB is the most")
}

func TestTooManyParts(t *testing.T) {
	options := []Option{WithSpare("office")}
	for i := range MaxPools {
		options = append(options, WithPool(fmt.Sprint("p", i), 1))
	}
	for i := range MaxServices + 1 {
		options = append(options, WithService(fmt.Sprint("s", i), "p1"))
	}
	_, err := New("fleet", options...)
	require.Len(t, FaultsOf(err), 2)
	_, err = New("fleet", append(options[:MaxPools:MaxPools], options[MaxPools+1:len(options)-1]...)...)
	require.NoError(t, err)
}

// FuzzDecode checks that a decoded configuration survives encoding and decoding,
// and that every error is a *Faults with positions.
func FuzzDecode(f *testing.F) {
	c, err := New("fleet", WithSpare("office"), WithPool("vets", 8), WithService("bookings", "vets"), WithPrices(40, 0.5, 5))
	require.NoError(f, err)
	f.Add(c.Encode())
	files, err := filepath.Glob("testdata/decode/*.json")
	require.NoError(f, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			require.NotEmpty(t, FaultsOf(err))
			for _, one := range FaultsOf(err) {
				require.Positive(t, one.Position().Line())
				require.Positive(t, one.Position().Column())
			}
			return
		}
		again, err := Decode(c.Encode())
		require.NoError(t, err)
		require.Equal(t, c, again)
		require.Equal(t, c.Encode(), again.Encode())
	})
}
