package pool

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

func listed(name string) Listing {
	return Listing{Name: "e-" + "1", Service: "s", Address: "10.0.0.1:1", Domain: "d", Slots: 4, Epoch: uint64(len(name))}
}

// An entry that leaves shortly after the list came back is out of use within the
// two seconds that a leaving endpoint may still get work.
func TestLeavesSoonAfterListIsBack(t *testing.T) {
	p := New()
	p.Put(listed("a"), 500)
	p.MarkListUnavailable(1000)
	p.MarkListAvailable(9000)
	p.Remove("e-1", 10800)
	endpoint := p.Find("e-1")
	require.True(t, endpoint.IsUsable(10850))
	require.False(t, endpoint.IsUsable(9000+2*clock.Second))
}

// Entries that lapsed while the list could not be read are back in two seconds.
func TestLapsedEntryIsSpared(t *testing.T) {
	p := New()
	p.Put(listed("a"), 500)
	p.MarkListUnavailable(1000)
	p.Replace(nil, 5000)
	p.MarkListAvailable(5000)
	require.True(t, p.Find("e-1").IsUsable(6500))
	require.False(t, p.Find("e-1").IsUsable(7000))
	p.Put(listed("a"), 500)
	require.True(t, p.Find("e-1").IsUsable(7000))
}

func TestRemovedWhileListIsReadIsOutOfUse(t *testing.T) {
	p := New()
	p.Put(listed("a"), 500)
	p.Remove("e-1", 5000)
	require.False(t, p.Find("e-1").IsUsable(5000))
}

// An endpoint that comes back under its name holds and knows nothing of before.
func TestSameNameNewLife(t *testing.T) {
	p := New()
	p.Put(listed("a"), 500)
	p.Find("e-1").Work[1] = Work{}
	p.RecordUnreachable(p.Find("e-1"), 5000)
	p.Put(listed("bb"), 500)
	require.Empty(t, p.Find("e-1").Work)
	require.True(t, p.Find("e-1").IsUsable(5000))
}

// What one entry knows to leave is left alone by the others too.
func TestLeavingIsTold(t *testing.T) {
	teller, other := New(), New()
	for _, p := range []*Pool{teller, other} {
		p.Put(listed("a"), 500)
	}
	teller.Remove("e-1", 1000)
	other.TellLeft(teller.RecentlyLeaving(1100), 1100)
	require.False(t, other.Find("e-1").IsUsable(1100))
	require.Empty(t, teller.RecentlyLeaving(1000+TellSpan+1))
	require.True(t, other.Find("e-1").IsUsable(1100+ToldSpan))
}

// An entry that is told only changes of the list knows the same as one that is told
// the whole list each time.
func TestChangesOfTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teller, whole, changes := New(), New(), New()
		heard := uint64(0)
		now := clock.Millis(1000)
		for revision := uint64(1); revision <= uint64(rapid.IntRange(1, 30).Draw(t, "steps")); revision++ {
			now += clock.Millis(rapid.IntRange(0, 3000).Draw(t, "span"))
			name := ident.Endpoint(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"))
			teller.SetRevision(revision)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				teller.Remove(name, now)
			case 1:
				teller.MarkListUnavailable(now)
			case 2:
				teller.MarkListAvailable(now)
			case 3:
				teller.Expire(now)
			default:
				teller.Put(Listing{
					Name: name, Service: "s", Address: "10.0.0.1:80", Epoch: uint64(rapid.IntRange(1, 2).Draw(t, "born")),
					Leaving: rapid.Bool().Draw(t, "leaving"),
				}, now)
			}
			if rapid.Bool().Draw(t, "isSilent") {
				continue
			}
			whole.SetRevision(revision)
			whole.ApplySnapshot(teller.Snapshot(now), now)
			changes.SetRevision(revision)
			if list, gone, isKnown := teller.Delta(heard, now); isKnown {
				changes.ApplyDelta(list, gone, now)
			} else {
				changes.ApplySnapshot(teller.Snapshot(now), now)
			}
			heard = revision
			for _, name := range []ident.Endpoint{"a", "b", "c", "d"} {
				require.Equal(t, isUsable(whole, name, now), isUsable(changes, name, now), name)
			}
		}
	})
}

func isUsable(p *Pool, name ident.Endpoint, now clock.Millis) bool {
	found := p.Find(name)
	return found != nil && found.IsUsable(now)
}
