package cranexplain

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// TestText guards against fields that the text leaves out or shows in the wrong unit, and against an answer that loses
// something as JSON.
func TestText(t *testing.T) {
	cpu := 1500
	placed := Answer{
		Queue: "q", Pool: "p", Tenant: "a", RequiresKey: true, Job: "00000000000000ff", JobAssumed: true, ReadAgeMs: 120,
		Admission: &Admission{Status: 429, Kind: "queueFull", Reason: "a new job would wait", RetryAfter: 3, HasFigures: true, FiguresAgeMs: 400},
		Shard:     &Shard{Number: 2, Owner: "n1", ClaimAgeMs: 300},
		Placement: &Placement{
			Beyond: true, CapRoom: &CapRoom{CPU: &cpu}, StagesAhead: 4, GivenUp: true, Pool: Pool{Instances: 5, Idle: 1, Arriving: 2, Needed: 9},
			Steps: []Step{
				{Ready: true, Target: "t1", Score: 0.25, MedianMs: 800, P90Ms: 1500},
				{Step: 1, Ready: true, Excluded: map[Reason]int{NoRoom: 3, Leaving: 2}, MedianMs: 700},
				{Step: 2},
			},
		},
		WouldChange: []string{"1.5 cores free on one target of pool p"},
	}
	var text bytes.Buffer
	for _, a := range []Answer{
		placed,
		{Refused: "no queue is at h/x", ReadAgeMs: -1},
		{Queue: "q", Pool: "p", Job: "ff", State: "running", Admission: &Admission{Admitted: true}, Shard: &Shard{ClaimAgeMs: -1}, AskAt: "n2"},
		{Queue: "q", Pool: "p", Loading: true},
	} {
		require.NoError(t, a.Write(&text))
		text.WriteString("\n")
		encoded, err := json.Marshal(a)
		require.NoError(t, err)
		var decoded Answer
		require.NoError(t, json.Unmarshal(encoded, &decoded))
		require.Equal(t, a, decoded)
	}
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "answers", text.Bytes())
}
