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

// setPlatformFaults replaces the faults that the stand-in for the platform injects.
func (s *system) setPlatformFaults(f cranstandin.Faults) {
	s.sendJSON(http.MethodPut, s.platformURL+"/faults", f)
}

// startFleet starts three targets in the pool roster, one target in the spare pool
// and three entries, and publishes a configuration. At most one instance of the
// pool may be unavailable for planned work.
func startFleet(t *testing.T) *system {
	s := newSystem(t)
	for i := range 3 {
		s.startTarget(fmt.Sprintf("r%d", i+1), "roster", fmt.Sprintf("rack%d", i+1))
	}
	s.startTarget("o1", "office", "rack4")
	for _, id := range []string{"e1", "e2", "e3"} {
		s.startEntry(id)
	}
	s.publish("e1", testConfig(t, 3, 1))
	s.waitAvailable(3)
	return s
}

// TestLogOutage checks that entries answer requests while no entry can reach the
// log, and that they carry out a drain once the log is available again.
func TestLogOutage(t *testing.T) {
	s := startFleet(t)
	s.setPlatformFaults(cranstandin.Faults{LogOutage: true})
	stop := s.startLoad(50 * time.Millisecond)
	// The outage outlasts the lease, so leases that were renewed before it have expired.
	time.Sleep(6 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := s.entries["e1"].admin.Drain(ctx, "r1")
	require.Error(t, err, "a drain was accepted while the log was unavailable")
	s.setPlatformFaults(cranstandin.Faults{})
	s.eventually("r1 did not reboot", func() bool {
		_, _ = s.entries["e2"].admin.Drain(context.Background(), "r1")
		return s.targetLedger("r1").Boots >= 1
	})
	s.waitAvailable(3)
	require.Zero(t, stop(), "requests were not answered")
	s.checkLedgers()
}

// TestPausedEntryDelaysReboot pauses an entry that has requests in progress. The
// drain of a target must wait for the entry, and the explanation of the target must
// name it. After the entry resumes, the reboot must not abort any of its requests.
func TestPausedEntryDelaysReboot(t *testing.T) {
	s := startFleet(t)
	stop := s.startLoad(300 * time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	s.entries["e3"].signal(syscall.SIGSTOP)
	_, err := s.entries["e1"].admin.Drain(context.Background(), "r1")
	require.NoError(t, err)
	s.eventually("the explanation of r1 does not name e3", func() bool {
		list, err := s.entries["e1"].admin.Explain(context.Background(), "r1")
		return err == nil && len(list) == 1 && bytes.Contains([]byte(list[0].Reason), []byte("e3-"))
	})
	require.Zero(t, s.targetLedger("r1").Boots)
	s.entries["e3"].signal(syscall.SIGCONT)
	s.eventually("r1 did not reboot", func() bool { return s.targetLedger("r1").Boots == 1 })
	s.waitAvailable(3)
	stop()
	s.checkLedgers()
}

// TestEntryKilled kills an entry. The others must take over its slots, answer every
// request and complete a drain.
func TestEntryKilled(t *testing.T) {
	s := startFleet(t)
	e3 := s.entries["e3"]
	delete(s.entries, "e3")
	stop := s.startLoad(50 * time.Millisecond)
	e3.kill()
	_, err := s.entries["e1"].admin.Drain(context.Background(), "r1")
	require.NoError(t, err)
	s.eventually("r1 did not reboot", func() bool { return s.targetLedger("r1").Boots == 1 })
	s.waitAvailable(3)
	require.Zero(t, stop(), "requests through the other entries were not answered")
	require.Len(t, s.status("e1").Members, 2)
	s.checkLedgers()
}

// TestEntryWithoutLogAccess blocks the log for a single entry. The entry must
// receive records from its peers, apply a new configuration and answer requests.
func TestEntryWithoutLogAccess(t *testing.T) {
	s := startFleet(t)
	s.setPlatformFaults(cranstandin.Faults{CutFromLog: []string{"e3"}})
	stop := s.startLoad(50 * time.Millisecond)
	time.Sleep(6 * time.Second)
	c := testConfig(t, 3, 2)
	offset, err := s.entries["e1"].admin.Publish(context.Background(), s.status("e1").Revision, c.Encode())
	require.NoError(t, err)
	s.eventually("e3 did not apply the configuration", func() bool { return s.status("e3").Revision == offset+1 })
	require.Zero(t, stop(), "requests were not answered")
	s.checkLedgers()
}

// TestReplaceAllEntries replaces the entries one after the other, and then kills
// all of them before it starts new ones. The configuration must stay in force.
func TestReplaceAllEntries(t *testing.T) {
	s := startFleet(t)
	revision := s.status("e1").Revision
	for i, id := range []string{"e1", "e2", "e3"} {
		s.startEntry(fmt.Sprintf("f%d", i+1))
		s.entries[id].stop()
		delete(s.entries, id)
	}
	s.waitAvailable(3)
	require.Equal(t, revision, s.status("f1").Revision)
	s.eventually("the new entries are not the only members", func() bool { return len(s.status("f1").Members) == 3 })
	for _, id := range []string{"f1", "f2", "f3"} {
		s.loseEntry(id)
	}
	for _, id := range []string{"g1", "g2", "g3"} {
		s.startEntry(id)
	}
	s.waitAvailable(3)
	require.Equal(t, revision, s.status("g1").Revision)
	for _, id := range []string{"g1", "g2", "g3"} {
		s.eventually("a new entry did not answer", func() bool { return s.call(id, http.MethodGet, "after-"+id) == "answered" })
	}
	s.checkLedgers()
}

// TestEntryPausedUntilRemoval pauses an entry until the others remove it from the
// members, redistribute its slots and reboot a target. When the entry resumes with
// waiting callers, no target may exceed its slots and no run may be aborted. The
// entry must join again as a new incarnation and answer requests.
func TestEntryPausedUntilRemoval(t *testing.T) {
	s := startFleet(t)
	stop := s.startLoad(100 * time.Millisecond)
	s.entries["e3"].signal(syscall.SIGSTOP)
	_, err := s.entries["e1"].admin.Drain(context.Background(), "r1")
	require.NoError(t, err)
	s.eventually("the paused entry is still a member", func() bool { return len(s.status("e1").Members) == 2 })
	s.eventually("r1 did not reboot", func() bool { return s.targetLedger("r1").Boots == 1 })
	s.entries["e3"].signal(syscall.SIGCONT)
	s.eventually("the resumed entry did not join again", func() bool { return len(s.status("e1").Members) == 3 })
	s.eventually("the resumed entry did not answer", func() bool { return s.call("e3", http.MethodGet, "after") == "answered" })
	stop()
	s.checkLedgers()
}

// TestLostTargetIsReplaced removes a target for good. Exactly one instance of the
// spare pool must be moved to replace it.
func TestLostTargetIsReplaced(t *testing.T) {
	s := startFleet(t)
	s.startTarget("o2", "office", "rack5")
	stop := s.startLoad(20 * time.Millisecond)
	s.sendJSON(http.MethodDelete, s.platformURL+"/instances/r1?abrupt=true", struct{}{})
	s.eventually("no instance was moved", func() bool { return s.status("e2").Moves == 1 })
	s.waitAvailable(3)
	stop()
	require.EqualValues(t, 1, s.status("e1").Moves)
	// Runs on the lost target were aborted and its ledger records them, so the
	// ledger is not checked, nor are the outcomes of requests that it may have run.
	delete(s.targetURLs, "r1")
	s.outcomes = map[string][]string{}
	s.checkLedgers()
}
