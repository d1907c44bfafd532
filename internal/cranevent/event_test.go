package cranevent

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// sampleFields holds one field for each key.
var sampleFields = []Field{
	Action("a-1"), Address(netip.MustParseAddrPort("10.0.0.7:8081")), Age(25 * time.Millisecond), AppendAge(30 * time.Millisecond), Arriving(2),
	Behind(9), Bytes(512), Cause("probe"), Count(3), DataCentre("perth-1"), Digest(0xabc), Domain("rack-3"),
	Elapsed(1500 * time.Millisecond), Empty(1), Epoch(5), Err(errors.New("a \"quoted\"\nerror")), File("entry.toml"), FirstByte(70 * time.Millisecond), FirstStart(200 * time.Millisecond), FromPhase("stopping"),
	Instance("office-1"), Job("5c0e7a21d94b36f8"), LimitedRounds(10), Member("entry-1-7f"), Needed(9), Number(2), Objective(1700 * time.Millisecond), Offset(18446744073709551615), Peer("entry-2"),
	Pool("office"), Punctual(7), Queue("matching"), ReadAge(35 * time.Millisecond), Reason(cranfault.BudgetSpent), Remaining(-40 * time.Millisecond), Revision(7), Service("placement"),
	Shard("office"), Slack(-15 * time.Millisecond), Stream("control"), suppressed(4), Target("i-7f3a91c2"), Task("5c0e7a21d94b36f8.0.1.17"), Tenant("clinics"), ToPhase("returning"), ToPool("vets"), UnderWay(8), Ready(15), Tick(16 * time.Millisecond), Waiting(6), WaitingLate(11), Wave(12), Within50(13), Within90(14), WithinPercent(40),
}

func sampleFieldsOf(d Definition) []Field {
	return slices.DeleteFunc(slices.Clone(sampleFields), func(f Field) bool {
		return !slices.Contains(d.fields, f.key)
	})
}

func emitAll(l *Logger) {
	for _, d := range Definitions() {
		time.Sleep(time.Second)
		l.Emit(d.Event(), sampleFieldsOf(d)...)
	}
}

// TestLines compares the lines of all events with golden files, in both formats and
// with a virtual clock.
func TestLines(t *testing.T) {
	formats := []struct {
		name    string
		options []Option
	}{
		{"json", []Option{WithProcess("entry-1-7f"), WithStrict()}},
		{"console", []Option{WithConsole(), WithLevel(LevelWarn), WithStrict()}},
	}
	for _, format := range formats {
		var b bytes.Buffer
		synctest.Test(t, func(*testing.T) { emitAll(New(&b, format.options...)) })
		goldie.New(t, goldie.WithNameSuffix(".golden")).Assert(t, format.name, b.Bytes())
	}
}

func TestDefinitions(t *testing.T) {
	names := map[string]bool{}
	last := 0
	for _, d := range Definitions() {
		require.Greater(t, d.Event().Number(), last, "numbers are unique and in order")
		last = d.Event().Number()
		require.False(t, names[d.Name()], "the name %s is unique", d.Name())
		names[d.Name()] = true
		require.Regexp(t, `^[a-z][a-zA-Z]+$`, d.Name())
		require.NotRegexp(t, `\.$`, d.Text())
		require.True(t, slices.IsSorted(d.Fields()), d.Name())
		require.Len(t, sampleFieldsOf(d), len(d.Fields()), d.Name())
		require.Equal(t, d.Name(), d.Event().String())
	}
}

// TestConstants checks that every constant of type Event has a definition.
func TestConstants(t *testing.T) {
	source, err := os.ReadFile("event.go")
	require.NoError(t, err)
	constants := regexp.MustCompile(`(?m)^\t\w+ +Event = (\d+)$`).FindAllSubmatch(source, -1)
	require.Len(t, Definitions(), len(constants))
	for _, c := range constants {
		require.True(t, slices.ContainsFunc(Definitions(), func(d Definition) bool {
			return fmt.Sprint(d.Event().Number()) == string(c[1])
		}), "event %s", c[1])
	}
}

// TestNumbersAreNeverReused compares the definitions with the list of all numbers that
// were ever assigned. A retired number stays in the list and is marked as retired.
func TestNumbersAreNeverReused(t *testing.T) {
	list, err := os.ReadFile("testdata/numbers.txt")
	require.NoError(t, err)
	listed := map[Event]string{}
	for line := range strings.Lines(string(list)) {
		var number int
		var name string
		_, err := fmt.Sscan(line, &number, &name)
		require.NoError(t, err)
		listed[Event(number)] = name
		d, ok := Event(number).Definition()
		require.Equal(t, !strings.HasSuffix(strings.TrimSpace(line), " retired"), ok, "event %d is defined unless it is retired", number)
		if ok {
			require.Equal(t, name, d.Name(), "event %d keeps its name", number)
		}
	}
	for _, d := range Definitions() {
		require.Contains(t, listed, d.Event(), "add event %d to testdata/numbers.txt", d.Event().Number())
	}
}

// TestCatalogue checks that docs/events.md lists exactly the events of the code, each
// with a meaning and an action for the operator.
func TestCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/events.md")
	require.NoError(t, err)
	var want, got []string
	for _, d := range Definitions() {
		fields := make([]string, 0, len(d.Fields()))
		for _, k := range d.Fields() {
			fields = append(fields, string(k))
		}
		want = append(want, fmt.Sprintf("| %d | `%s` | %s | %s | %s |",
			d.Event().Number(), d.Name(), d.Level(), d.Text(), strings.Join(fields, ", ")))
	}
	rows := regexp.MustCompile(`(?m)^(\| \d+ \|.*\|.*\|.*\|.*\|)([^|]*)\|([^|]*)\|$`)
	for _, r := range rows.FindAllStringSubmatch(string(page), -1) {
		got = append(got, r[1])
		require.NotEmpty(t, strings.TrimSpace(r[2]), "meaning of %s", r[1])
		require.NotEmpty(t, strings.TrimSpace(r[3]), "action for %s", r[1])
	}
	require.Equal(t, strings.Join(want, "\n"), strings.Join(got, "\n"))
}

func TestUndefinedEventIsWritten(t *testing.T) {
	var b bytes.Buffer
	New(&b).Emit(Event(9999), Count(1))
	require.Contains(t, b.String(), `"level":"error","event":9999,"name":"undefined","count":1`)
	require.Panics(t, func() { New(io.Discard, WithStrict()).Emit(Event(9999)) })
	require.Panics(t, func() { New(io.Discard, WithStrict()).Emit(EntryReady, Wave(1)) })
}

// TestLimitedEvents checks that events which remote parties can trigger at any rate
// can't flood the log, and that the number of dropped lines is written.
func TestLimitedEvents(t *testing.T) {
	var b bytes.Buffer
	l := New(&b, WithRateLimit(3), WithStrict())
	synctest.Test(t, func(*testing.T) {
		for range 5 {
			for range 100 {
				l.Emit(PeerRefused, Peer("stranger"))
			}
			l.Emit(PeerMalformed)
			l.Emit(WaveStarted)
			time.Sleep(time.Second)
		}
		l.Emit(PeerRefused)
	})
	require.Equal(t, 5*3+1, strings.Count(b.String(), `"event":803`))
	require.Equal(t, 5, strings.Count(b.String(), `"suppressed":97`))
	require.Equal(t, 5, strings.Count(b.String(), `"event":804`))
	require.Equal(t, 5, strings.Count(b.String(), `"event":701`))
}

func TestEmitFromManyGoroutines(t *testing.T) {
	const writers, lines = 8, 100
	var b bytes.Buffer
	l := New(&b)
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for i := range lines {
				l.Emit(EntryStopping, Count(i))
			}
		})
	}
	wg.Wait()
	d := json.NewDecoder(&b)
	for range writers * lines {
		var line struct{ Event int }
		require.NoError(t, d.Decode(&line))
		require.Equal(t, EntryStopping.Number(), line.Event)
	}
	require.False(t, d.More())
}
