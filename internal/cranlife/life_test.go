package cranlife

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const entryA = `{"time":"2026-02-10T10:00:00.000Z","process":"a","event":1001,"name":"jobAccepted","job":"j1","queue":"q"}
{"time":"2026-02-10T10:00:00.100Z","process":"a","event":1201,"name":"runPlaced","job":"j1","task":"j1.0.0.0","number":1,"target":"t1"}
{"time":"2026-02-10T10:00:00.100Z","process":"a","event":1201,"name":"runPlaced","job":"j2","task":"j2.0.0.0","number":1,"target":"t2"}
not an event
{"time":"2026-02-10T10:00:01.000Z","process":"a","event":1301,"name":"targetLost","target":"t1"}
{"time":"2026-02-10T10:00:01.500Z","process":"a","event":1301,"name":"targetLost","target":"t9"}
`

const entryB = `{"time":"2026-02-10T10:00:02.000Z","process":"b","event":1103,"name":"schedulerTaken","epoch":2}
{"time":"2026-02-10T10:00:03.000Z","process":"b","event":1207,"name":"runReleased","job":"j1","task":"j1.0.0.0","number":1,"target":"t1","cause":"the lease has lapsed"}
{"time":"2026-02-10T10:00:03.100Z","process":"b","event":1201,"name":"runPlaced","job":"j1","task":"j1.0.0.0","number":2,"target":"t3"}
{"time":"2026-02-10T10:00:04.000Z","process":"b","event":1204,"name":"runEnded","job":"j1","task":"j1.0.0.0","number":2,"target":"t3","cause":"done"}
{"time":"2026-02-10T10:00:04.000Z","process":"b","event":1005,"name":"jobEnded","job":"j1","cause":"completed"}
`

func names(lines []Line) []string {
	var list []string
	for _, l := range lines {
		list = append(list, l.name)
	}
	return list
}

func TestHistory(t *testing.T) {
	var l Log
	require.NoError(t, l.Read(strings.NewReader(entryB)))
	require.NoError(t, l.Read(strings.NewReader(entryA)))
	require.Equal(t, 1, l.Skipped())
	require.Equal(t, []string{"j1"}, l.Jobs())
	require.Equal(t, []string{
		"jobAccepted", "runPlaced", "targetLost", "schedulerTaken", "runReleased", "runPlaced", "runEnded", "jobEnded",
	}, names(l.History("j1")))
	require.Empty(t, l.Gaps("j1"))
	require.Empty(t, l.History("j3"))
}

func TestGaps(t *testing.T) {
	var l Log
	require.NoError(t, l.Read(strings.NewReader(entryA)))
	require.Equal(t, []string{
		"no log has the end of j1; it may still be running", "no log has the end of run 1 of j1.0.0.0; it may still be running",
	}, l.Gaps("j1"))
	require.Len(t, l.Gaps("j2"), 3)
}
