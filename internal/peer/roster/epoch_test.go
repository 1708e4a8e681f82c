package roster_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/peer/roster"
)

const start = 1000 * clock.Second

// neighbour returns the entry that the tests are about.
func neighbour(epoch uint64) msgs.Member {
	return msgs.Member{Incarnation: ident.Incarnation{Entry: "e1", Epoch: epoch}, Domain: "north", Address: "e1"}
}

// newCore returns a core that only keeps the list of peers and has a message of epoch 200.
func newCore() loop.Core {
	core := loop.NewCore(loop.WithControllers(loop.Registration{Priority: 1, Controller: roster.NewController()}))
	core.Step(start, event.Started{Self: ident.Incarnation{Entry: "e0", Epoch: 1}, Domain: "north"})
	core.Step(start, event.MessageCame{From: neighbour(200), Message: msgs.Gossip{}})
	return core
}

func epochOf(core loop.Core) uint64 { return core.Board().Peers["e1"].Member.Incarnation.Epoch }

// Guards against an entry that restarts after its clock was set back and counts as dead for good, so that
// others free the memory of its prompts.
func TestLowerEpochIsAcceptedAfterSilence(t *testing.T) {
	core := newCore()
	at := start + roster.UnresponsiveTimeout
	core.Step(at, event.MessageCame{From: neighbour(100), Message: msgs.Gossip{}})
	require.EqualValues(t, 200, epochOf(core), "the known incarnation may still send")
	at++
	core.Step(at, event.MessageCame{From: neighbour(100), Message: msgs.Gossip{}})
	require.EqualValues(t, 100, epochOf(core))
	require.True(t, roster.IsLive(core.Board(), core.Board().Peers["e1"]))

	reported := neighbour(200)
	reported.Heard = 20 * clock.Second
	other := msgs.Member{Incarnation: ident.Incarnation{Entry: "e2", Epoch: 1}, Domain: "north", Address: "e2"}
	core.Step(at, event.MessageCame{From: other, Message: msgs.Gossip{Members: []msgs.Member{reported}}})
	require.EqualValues(t, 100, epochOf(core), "another entry still knows the former incarnation")

	core.Step(at, event.MessageCame{From: neighbour(200), Message: msgs.Gossip{}})
	require.EqualValues(t, 200, epochOf(core), "the former incarnation sends after all")

	at += 20 * clock.Second
	reported.Heard = clock.Second
	core.Step(at, event.MessageCame{From: other, Message: msgs.Gossip{Members: []msgs.Member{reported}}})
	require.Equal(t, at-clock.Second, core.Board().Peers["e1"].LastSeenAt)
}

// Guards against an older incarnation that is believed without a message of its own, or since this entry
// was paused or has just started.
func TestLowerEpochIsNotAcceptedOtherwise(t *testing.T) {
	silent := start + roster.UnresponsiveTimeout + 1
	reported := neighbour(100)
	reported.Heard = 1
	other := msgs.Member{Incarnation: ident.Incarnation{Entry: "e2", Epoch: 1}, Domain: "north", Address: "e2"}
	core := newCore()
	core.Step(silent, event.MessageCame{From: other, Message: msgs.Gossip{Members: []msgs.Member{reported}}})
	require.EqualValues(t, 200, epochOf(core), "told by another entry")

	core = newCore()
	core.Board().ResumedAt = silent - 1
	core.Step(silent, event.MessageCame{From: neighbour(100), Message: msgs.Gossip{}})
	require.EqualValues(t, 200, epochOf(core), "this entry was paused")
}
