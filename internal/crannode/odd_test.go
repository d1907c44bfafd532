package crannode

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranshard"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// oddValue returns the value of a record that no process of the job service writes.
func oddValue(random *rand.Rand) []byte {
	id := fmt.Sprintf("odd%d", random.IntN(9))
	step := cranjob.Step{Count: 1}
	switch random.IntN(7) {
	case 0:
		return bytes.Repeat([]byte{0x81}, 100_000) // nested arrays
	case 1:
		return []byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff} // the head of an endless array
	case 2:
		return cranjob.Encode(cranjob.Job{ID: id, Queue: "q", Pool: "p", Steps: []cranjob.Step{{Count: math.MaxInt}}})
	case 3:
		return cranjob.Encode(cranjob.Job{ID: id, Queue: "q", Pool: "p", Steps: []cranjob.Step{step}, Times: math.MaxInt})
	case 4:
		return cranjob.Encode(cranjob.Job{ID: id, Queue: "q", Pool: "p", Steps: []cranjob.Step{step, {Count: 1, After: []int{5}}}})
	case 5:
		return nil
	}
	value := make([]byte, random.IntN(20))
	for i := range value {
		value[i] = byte(random.IntN(256))
	}
	return value
}

// oddKey returns a key of any kind that no process of the job service writes.
func oddKey(random *rand.Rand) string {
	prefixes := []string{"", "j", "x", "p", "m", "d", "s", "l", "w", "wx.", "s0.", "r-", "c-", "r99999999", "c99999999", "\xff", "\x00", "layout."}
	suffixes := []string{"", "odd1", "odd2", "\xff\xfe", "1.2", "99999999999999999999", "-1", "7.", "odd."}
	return prefixes[random.IntN(len(prefixes))] + suffixes[random.IntN(len(suffixes))]
}

// TestOddRecordsCostOnlyThemselves stores odd records in all topics while callers submit jobs and
// processes restart. Every shard must have an owner, and every accepted job must complete.
func TestOddRecordsCostOnlyThemselves(t *testing.T) {
	seeds := uint64(6)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 3))
				f := newTestFleet(t, 0)
				decodeTarget, decodeOperator := f.directory.DecodeTargetRecord, f.directory.DecodeOperatorRecord
				f.directory.DecodeTargetRecord = func(id string, value []byte) (cransched.TargetInfo, error) {
					if f.targets.targets[id] == nil {
						return cransched.TargetInfo{}, errors.New("not a target")
					}
					return decodeTarget(id, value)
				}
				f.directory.DecodeOperatorRecord = func(key string, value []byte) (any, error) {
					if key != "config" {
						return nil, errors.New("not a configuration")
					}
					return decodeOperator(key, value)
				}
				for i := range 3 {
					f.nodes = append(f.nodes, &fleetNode{name: fmt.Sprintf("n%d", i), fault: &fault{}})
					f.start(f.nodes[i])
				}
				defer f.close()
				time.Sleep(3 * time.Second)
				for number := range 60 {
					for range 5 {
						f.stored[random.IntN(len(f.stored))].Put(oddKey(random), oddValue(random))
					}
					switch n := f.nodes[random.IntN(len(f.nodes))]; random.IntN(15) {
					case 0:
						n.stop()
						f.start(n)
						time.Sleep(3 * time.Second)
					case 1:
						for _, topic := range f.stored {
							topic.ExpireAll()
						}
					}
					require.NoError(t, f.nodes[number%3].node.Submit(t.Context(), fleetJob(number)))
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(20 * time.Second)
				require.Equal(t, allOwned, f.owners())
				for number := range 60 {
					state, found, err := f.nodes[number%3].node.State(t.Context(), fleetJob(number).ID)
					require.NoError(t, err)
					require.True(t, found, number)
					require.Equal(t, cranjob.Completed, state, number)
				}
			})
		})
	}
}

// TestMalformedRecordsAreCounted rewrites a malformed record many times. Each reading of it must
// be counted, and the log must not be flooded.
func TestMalformedRecordsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rewrites, maxLinesPerSecond = 50, 10
		var lines bytes.Buffer
		n := New("n", "n-1", memoryTopics(), Directory{
			DecodeTargetRecord: func(string, []byte) (cransched.TargetInfo, error) {
				return cransched.TargetInfo{}, errors.New("not a target")
			},
		}, noInstances{}, WithLogger(cranevent.New(&lines)))
		l := newTargetList(n)
		for offset := range uint64(rewrites) {
			l.applyRecord(cranstore.Record{Key: "odd", Value: []byte{1}, Offset: offset})
		}
		w := httptest.NewRecorder()
		n.metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		require.Contains(t, w.Body.String(), fmt.Sprintf(`cranberrypick_malformed_records_total{stream="targets"} %d`, rewrites))
		require.Contains(t, w.Body.String(), `cranberrypick_malformed_records_total{stream="progress"} 0`)
		require.Equal(t, maxLinesPerSecond, bytes.Count(lines.Bytes(), []byte("malformedRecord")))
	})
}

// TestEntryWithoutInstanceMovesNoTarget lists an entry of a known target without its instance, by
// whose id the targets are divided among the shards. The target must stay in its shard.
func TestEntryWithoutInstanceMovesNoTarget(t *testing.T) {
	n := New("n", "n-1", memoryTopics(), Directory{
		DecodeTargetRecord: func(id string, value []byte) (cransched.TargetInfo, error) {
			return cransched.TargetInfo{ID: id, Instance: string(value[1:]), Pool: "p", Address: id}, nil
		},
	}, noInstances{})
	pools := map[string][]string{"p": {"m0", "m1", "m2", "m3"}}
	_, err := n.digest.Apply(crandigest.KeyLayout, cranshard.New(4, 4, pools).Encode(), 0)
	require.NoError(t, err)
	l := newTargetList(n)
	put := func(key, value string) { l.applyRecord(cranstore.Record{Key: key, Value: []byte(value)}) }
	for i := range 4 {
		put(fmt.Sprintf("t%d", i), fmt.Sprintf("+m%d", i))
	}
	shards := maps.Clone(l.shards)
	for i := range 4 {
		put(fmt.Sprintf("t%d", i), "+")
	}
	put("", "+m0")
	require.Equal(t, shards, l.shards)
	put("t0", "+m1")
	require.Equal(t, shards["t1"], l.shards["t0"], "the target has moved to another instance")
	put("new", "+")
	require.Contains(t, l.shards, "new")
}

// TestAbsurdLatencyDelaysNoClaim stores renewals with absurd latencies of the store. When the
// owner is lost, another process must claim in time.
func TestAbsurdLatencyDelaysNoClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		defer f.close()
		time.Sleep(3 * time.Second)
		for number := range fleetShards {
			renewal := crandigest.Renewal{Epoch: 1, Number: math.MaxUint64, AppendMs: 1 << 40}.Record(number)
			f.digest.Put(renewal.Key, renewal.Value)
		}
		time.Sleep(time.Second)
		require.Equal(t, allOwned, f.owners())
		f.nodes[0].fault.set(true, 0)
		time.Sleep(30 * time.Second)
		require.EqualValues(t, fleetShards, f.nodes[1].node.owned.Load())
	})
}
