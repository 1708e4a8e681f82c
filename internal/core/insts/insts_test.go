package insts_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/insts"
)

const start = 1000 * clock.Second

// endpoint returns the row of an endpoint that serves, and leaver that of a when it leaves.
func endpoint(name string, revision uint64) event.Instance {
	return event.Instance{Name: name, Revision: revision}
}

func leaver(revision uint64) event.Instance {
	return event.Instance{Name: "a", Leaving: true, Revision: revision}
}

func read(anew bool, revision uint64, rows ...event.Instance) event.InstancesRead {
	return event.InstancesRead{Instances: rows, Revision: revision, Anew: anew}
}

// Guards against lists that differ from run to run: the core must give equal outputs for equal inputs.
func TestInstancesOfOneNameAreInOrder(t *testing.T) {
	for range 50 {
		list := &insts.List{}
		list.Read(read(true, 2, event.Instance{Name: "a", IsEntry: true}, event.Instance{Name: "a"}), start)
		require.Equal(t, []event.Instance{{Name: "a"}, {Name: "a", IsEntry: true}}, list.Instances())
	}
}

// names lists the names of the instances, with a minus sign if they leave.
func names(list *insts.List) []string {
	found := []string{}
	for _, instance := range list.Instances() {
		name := instance.Name
		if instance.Leaving {
			name = "-" + name
		}
		found = append(found, name)
	}
	return found
}

// Guards against an older copy that at once removes the instances that it lacks, or brings back those that
// were leaving or removed.
func TestOlderCopyHasNoEffectAtOnce(t *testing.T) {
	for _, row := range []struct {
		name string
		// before are the lists that were read before the copy.
		before []event.InstancesRead
		copied event.InstancesRead
		want   []string
		// written is the list once its record was written anew.
		written     event.InstancesRead
		wantWritten []string
		wantLater   []string
	}{
		{
			"missing", []event.InstancesRead{read(false, 9, endpoint("a", 8))}, read(true, 5), []string{"a"},
			read(false, 6, endpoint("a", 6)), []string{"a"}, []string{},
		},
		{
			"missing and leaving", []event.InstancesRead{read(false, 9, leaver(9))}, read(true, 5), []string{"-a"},
			read(false, 6, endpoint("a", 6)), []string{"a"}, []string{},
		},
		{
			"leaving before", []event.InstancesRead{read(false, 9, leaver(9))}, read(true, 5, endpoint("a", 2)), []string{"-a"},
			read(false, 6, endpoint("a", 6)), []string{"a"}, []string{"a"},
		},
		{
			"leaving in the copy", []event.InstancesRead{read(false, 9, endpoint("a", 9))}, read(true, 5, leaver(2)), []string{"-a"},
			read(false, 6, endpoint("a", 6)), []string{"a"}, []string{"-a"},
		},
		{
			"removed before",
			[]event.InstancesRead{read(false, 8, endpoint("a", 2)), read(false, 9)},
			read(true, 5, endpoint("a", 2)), []string{},
			read(false, 6, endpoint("a", 6)), []string{"a"}, []string{"a"},
		},
		{
			"unknown before", []event.InstancesRead{read(false, 9)}, read(true, 5, endpoint("a", 5)), []string{"a"},
			read(false, 6, leaver(6)), []string{"-a"}, []string{"a"},
		},
		{
			"same", []event.InstancesRead{read(false, 9, endpoint("a", 2))}, read(true, 5, endpoint("a", 2)), []string{"a"},
			read(false, 6, leaver(6)), []string{"-a"}, []string{"a"},
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			for _, isWritten := range []bool{true, false} {
				list := &insts.List{}
				for _, before := range row.before {
					list.Read(before, start)
				}
				list.Read(row.copied, start)
				require.Equal(t, row.want, names(list))
				if isWritten {
					list.Read(row.written, start+1)
					require.Equal(t, row.wantWritten, names(list))
					continue
				}
				require.False(t, list.Expire(start+insts.Hold-1))
				require.Equal(t, row.want, names(list))
				list.Expire(start + insts.Hold)
				require.Equal(t, row.wantLater, names(list))
			}
		})
	}
}

// Guards against a hold that never ends, since the list is read anew again and again.
func TestRepeatedCopiesDoNotExtendHolds(t *testing.T) {
	list := &insts.List{}
	list.Read(read(false, 9, endpoint("a", 2)), start)
	for at := start; at < start+insts.Hold; at += clock.Second {
		list.Read(read(true, 5), at)
		require.False(t, list.Expire(at))
	}
	require.True(t, list.Expire(start+insts.Hold))
	require.Empty(t, list.Instances())
}

// Guards against changes of other instances that end a hold.
func TestHoldEndsOnlyWithItsOwnRecord(t *testing.T) {
	list := &insts.List{}
	list.Read(read(false, 9, leaver(9), endpoint("b", 3)), start)
	list.Read(read(true, 5, endpoint("a", 2), endpoint("b", 3)), start)
	list.Read(read(false, 6, endpoint("a", 2), endpoint("b", 6)), start)
	require.Equal(t, []string{"-a", "b"}, names(list))
}

// Guards against an instance that comes back with a second copy, since the first one was older.
func TestRemovalOutlastsSeveralCopies(t *testing.T) {
	list := &insts.List{}
	list.Read(read(false, 8, endpoint("a", 2)), start)
	list.Read(read(false, 9), start)
	list.Read(read(true, 1), start+1)
	list.Read(read(true, 5, endpoint("a", 2)), start+2)
	require.Empty(t, names(list))
	list.Expire(start + insts.RemovalMemory)
	require.Equal(t, []string{"a"}, names(list))
}

// Guards against an instance that was removed anew and comes back with a second copy as soon as the hold
// against the first copy would have been over.
func TestSecondRemovalHoldsAnew(t *testing.T) {
	list := &insts.List{}
	list.Read(read(false, 8, endpoint("a", 2)), start)
	list.Read(read(false, 9), start)
	list.Read(read(true, 5, endpoint("a", 2)), start)
	list.Read(read(false, 6), start+1)
	second := start + insts.Hold - 1
	list.Read(read(true, 5, endpoint("a", 2)), second)
	list.Expire(second + insts.Hold - 1)
	require.Empty(t, names(list))
	list.Expire(second + insts.Hold)
	require.Equal(t, []string{"a"}, names(list))
}

// Guards against a record of a copy that counts as written since, because it is the last one of the copy.
func TestLastRecordOfTheCopyEndsNoHold(t *testing.T) {
	list := &insts.List{}
	list.Read(read(false, 9, leaver(9)), start)
	list.Read(read(true, 5, endpoint("a", 5)), start)
	list.Read(read(false, 6, endpoint("a", 5), endpoint("b", 6)), start)
	require.Equal(t, []string{"-a", "b"}, names(list))
}

// Guards against an instance that was removed and listed again, and counts as removed when a copy lists it.
func TestInstanceListedAgainIsNotRemoved(t *testing.T) {
	list := &insts.List{}
	list.Read(read(false, 7, endpoint("a", 2)), start)
	list.Read(read(false, 8), start)
	list.Read(read(false, 9, endpoint("a", 9)), start)
	list.Read(read(true, 5, endpoint("a", 2)), start)
	require.Equal(t, []string{"a"}, names(list))
}
