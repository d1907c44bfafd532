package cranslot

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// viewOf returns a view with open instances of one group whose owners are
// assigned at epoch 1.
func viewOf(members []string, instances, slots int) View {
	list := make([]InstanceView, instances)
	for i := range list {
		id := fmt.Sprintf("t%02d", i)
		iv := InstanceView{ID: id, Group: "web", Open: true, FirstEpoch: 1}
		for _, e := range AssignOwners(id, slots, members) {
			iv.Owners = append(iv.Owners, Owner{Entry: e, Epoch: 1})
		}
		list[i] = iv
	}
	return NewView(1, members, list)
}

func TestBrokersTogetherUseEverySlotOnce(t *testing.T) {
	members := []string{"a", "b", "c"}
	used := make(map[string]bool)
	for _, self := range members {
		b := NewBroker(self)
		b.SetView(viewOf(members, 2, 8))
		for {
			s, ok := b.TryAcquire("web", nil)
			if !ok {
				break
			}
			key := fmt.Sprint(s.Instance(), "/", s.Index())
			require.False(t, used[key], key)
			used[key] = true
		}
	}
	require.Len(t, used, 16)
}

func TestReleaseFreesOnceAndNotifies(t *testing.T) {
	var notices []string
	b := NewBroker("a", WithSlotFreedNotify(func(g string) { notices = append(notices, g) }))
	b.SetView(viewOf([]string{"a"}, 1, 1))
	s, ok := b.TryAcquire("web", nil)
	require.True(t, ok)
	require.Equal(t, 1, b.InProgress("t00"))
	b.SetWaiting("web", 1)
	b.Release(s)
	require.Equal(t, []string{"web"}, notices)
	again, ok := b.TryAcquire("web", nil)
	require.True(t, ok)
	b.Release(s)
	require.Equal(t, 1, b.InProgress("t00"))
	b.Release(again)
	require.Zero(t, b.InProgress("t00"))
}

func TestClosedAvoidedAndRemovedInstancesGetNoNewWork(t *testing.T) {
	b := NewBroker("a")
	v := viewOf([]string{"a"}, 2, 4)
	b.SetView(v)
	s, ok := b.TryAcquire("web", func(id string) bool { return id == "t00" })
	require.True(t, ok)
	require.Equal(t, "t01", s.Instance())
	v.instances[1].Open = false
	b.SetView(NewView(2, v.members, v.instances))
	for range 4 {
		other, ok := b.TryAcquire("web", nil)
		require.True(t, ok)
		require.Equal(t, "t00", other.Instance())
	}
	_, ok = b.TryAcquire("web", nil)
	require.False(t, ok)
	b.SetView(NewView(3, v.members, v.instances[:1]))
	require.Equal(t, 1, b.InProgress("t01"))
	b.Release(s)
	require.Zero(t, b.InProgress("t01"))
}

func TestReassignMovesOnlySlotsOfRemovedMembers(t *testing.T) {
	members := []string{"a", "b", "c"}
	for _, id := range []string{"t0", "t1", "t2", "t3", "t4"} {
		var owners []Owner
		for _, e := range AssignOwners(id, 8, members) {
			owners = append(owners, Owner{Entry: e, Epoch: 1})
		}
		for i, o := range ReassignOwners(id, owners, []string{"a", "c", "d"}, 9) {
			want := owners[i]
			if want.Entry == "b" {
				want = Owner{Entry: "d", Epoch: 9}
			}
			require.Equal(t, want, o, id)
		}
	}
}

func TestBalancedSharesDifferByOneSlotAtMost(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	owned := make(map[string]int)
	for i := range 50 {
		own := make(map[string]int)
		owners := AssignOwnersBalanced(fmt.Sprint("t", i), 8, members, func(m string) int { return owned[m] })
		for _, e := range owners {
			own[e]++
			require.Equal(t, 1, own[e])
		}
		for e := range own {
			owned[e]++
		}
	}
	for _, m := range members {
		require.InDelta(t, 50.0*8/9, owned[m], 1)
	}
}
