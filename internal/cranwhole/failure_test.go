package cranwhole

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

func (s *system) platformFaults(f cranstandin.Faults) {
	s.send(http.MethodPut, s.platform+"/faults", f)
}

// newFleet starts three targets in one pool, a spare and three entries.
func newFleet(t *testing.T) *system {
	s := newSystem(t)
	for i := range 3 {
		s.startTarget(fmt.Sprintf("r%d", i+1), "roster", fmt.Sprintf("rack%d", i+1))
	}
	s.startTarget("o1", "office", "rack4")
	for _, id := range []string{"e1", "e2", "e3"} {
		s.startEntry(id)
	}
	s.publish("e1", testConfig(t, 3, 1))
	s.available(3)
	return s
}

// TestLogOutageForAll keeps serving while the log is down for everybody, and
// goes on with planned work when it is back.
func TestLogOutageForAll(t *testing.T) {
	s := newFleet(t)
	s.platformFaults(cranstandin.Faults{LogOutage: true})
	stop := s.load(50 * time.Millisecond)
	// Longer than the lease: what was renewed before the outage has lapsed.
	time.Sleep(6 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := s.entries["e1"].admin.Drain(ctx, "r1")
	require.Error(t, err, "nothing can be accepted while the log is down")
	s.platformFaults(cranstandin.Faults{})
	s.eventually("rebooted", func() bool {
		_, _ = s.entries["e2"].admin.Drain(context.Background(), "r1")
		return s.targetLedger("r1").Boots >= 1
	})
	s.available(3)
	require.Zero(t, stop(), "every request was answered")
	s.checkLedgers()
}

// TestPausedEntryBlocksTheStop freezes an entry with requests in progress:
// the drain waits, explain names the entry, and when it wakes nothing of it
// is cut off.
func TestPausedEntryBlocksTheStop(t *testing.T) {
	s := newFleet(t)
	stop := s.load(300 * time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	s.entries["e3"].signal(syscall.SIGSTOP)
	_, err := s.entries["e1"].admin.Drain(context.Background(), "r1")
	require.NoError(t, err)
	s.eventually("explained", func() bool {
		list, err := s.entries["e1"].admin.Explain(context.Background(), "r1")
		return err == nil && len(list) == 1 && bytes.Contains([]byte(list[0].Reason), []byte("e3-"))
	})
	require.Zero(t, s.targetLedger("r1").Boots)
	s.entries["e3"].signal(syscall.SIGCONT)
	s.eventually("rebooted", func() bool { return s.targetLedger("r1").Boots == 1 })
	s.available(3)
	stop()
	s.checkLedgers()
}

// TestKilledEntry loses an entry at once; the others take its slots over and
// a drain completes.
func TestKilledEntry(t *testing.T) {
	s := newFleet(t)
	e3 := s.entries["e3"]
	delete(s.entries, "e3")
	stop := s.load(50 * time.Millisecond)
	e3.kill()
	_, err := s.entries["e1"].admin.Drain(context.Background(), "r1")
	require.NoError(t, err)
	s.eventually("rebooted", func() bool { return s.targetLedger("r1").Boots == 1 })
	s.available(3)
	require.Zero(t, stop(), "the callers of the other entries were all answered")
	require.Len(t, s.status("e1").Members, 2)
	s.checkLedgers()
}

// TestEntryCutFromTheLogAlone follows through its peers and goes on serving.
func TestEntryCutFromTheLogAlone(t *testing.T) {
	s := newFleet(t)
	s.platformFaults(cranstandin.Faults{CutFromLog: []string{"e3"}})
	stop := s.load(50 * time.Millisecond)
	time.Sleep(6 * time.Second)
	c := testConfig(t, 3, 2)
	offset, err := s.entries["e1"].admin.Publish(context.Background(), s.status("e1").Revision, c.Encode())
	require.NoError(t, err)
	s.eventually("in force", func() bool { return s.status("e3").Revision == offset+1 })
	require.Zero(t, stop(), "every request was answered")
	s.checkLedgers()
}

// TestEverybodyReplaced replaces all entries, one after the other, and then
// all at once; the configuration stays in force.
func TestEverybodyReplaced(t *testing.T) {
	s := newFleet(t)
	revision := s.status("e1").Revision
	for i, id := range []string{"e1", "e2", "e3"} {
		s.startEntry(fmt.Sprintf("f%d", i+1))
		s.entries[id].stop()
		delete(s.entries, id)
	}
	s.available(3)
	require.Equal(t, revision, s.status("f1").Revision)
	s.eventually("all joined", func() bool { return len(s.status("f1").Members) == 3 })
	for _, id := range []string{"f1", "f2", "f3"} {
		s.lose(id)
	}
	for _, id := range []string{"g1", "g2", "g3"} {
		s.startEntry(id)
	}
	s.available(3)
	require.Equal(t, revision, s.status("g1").Revision)
	for _, id := range []string{"g1", "g2", "g3"} {
		s.eventually("answered", func() bool { return s.call(id, http.MethodGet, "after-"+id) == "answered" })
	}
	s.checkLedgers()
}

// TestPausedPastWriteOff freezes an entry for so long that the others write it
// off, reboot an instance and share its slots anew. When it wakes with callers
// waiting, nothing may run over a slot or be cut off, and it serves again as a
// new incarnation.
func TestPausedPastWriteOff(t *testing.T) {
	s := newFleet(t)
	stop := s.load(100 * time.Millisecond)
	s.entries["e3"].signal(syscall.SIGSTOP)
	_, err := s.entries["e1"].admin.Drain(context.Background(), "r1")
	require.NoError(t, err)
	s.eventually("written off", func() bool { return len(s.status("e1").Members) == 2 })
	s.eventually("rebooted", func() bool { return s.targetLedger("r1").Boots == 1 })
	s.entries["e3"].signal(syscall.SIGCONT)
	s.eventually("joined again", func() bool { return len(s.status("e1").Members) == 3 })
	s.eventually("answered", func() bool { return s.call("e3", http.MethodGet, "after") == "answered" })
	stop()
	s.checkLedgers()
}

// TestLostTargetIsReplaced loses a target for good; one instance of the spare
// pool takes its place, and no more are moved.
func TestLostTargetIsReplaced(t *testing.T) {
	s := newFleet(t)
	s.startTarget("o2", "office", "rack5")
	stop := s.load(20 * time.Millisecond)
	s.send(http.MethodDelete, s.platform+"/instances/r1?abrupt=true", struct{}{})
	s.eventually("moved", func() bool { return s.status("e2").Moves == 1 })
	s.available(3)
	stop()
	require.EqualValues(t, 1, s.status("e1").Moves)
	// What ran on the lost target is cut off, and its ledger says so.
	delete(s.targets, "r1")
	s.told = map[string][]string{}
	s.checkLedgers()
}
