package intake_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/board"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/intake"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/wire/ticket"
)

// newCore returns a core that only reads tickets.
func newCore() loop.Core {
	core := loop.NewCore(loop.WithControllers(loop.Registration{Priority: 1, Controller: intake.NewController()}))
	core.Step(1, event.Started{})
	return core
}

func parse(t *testing.T, texts ...string) []fleet.Ticket {
	t.Helper()
	var tickets []fleet.Ticket
	for _, text := range texts {
		parsed, err := ticket.Parse("test", []byte(text))
		require.NoError(t, err)
		tickets = append(tickets, parsed)
	}
	return tickets
}

func pendingNumbers(b *board.Board) []fleet.Number {
	numbers := []fleet.Number{}
	for _, pending := range b.PendingTickets {
		numbers = append(numbers, pending.Number)
	}
	return numbers
}

// Guards against a ticket in force that is refused, and waits beside others for a place, when it is read
// again and names what a later ticket has removed.
func TestTicketThatIsReadAgainIsNotRefused(t *testing.T) {
	tickets := parse(
		t,
		`{"number": 1, "failureDomains": [{"name": "north", "region": "r"}]}`,
		`{"number": 2, "endpoints": [{"name": "g", "failureDomain": "north", "address": "10.0.0.1:1"}],
		  "models": [{"name": "m", "version": "1", "endpoints": ["g"]}]}`,
		`{"number": 3, "models": [{"name": "m", "version": "1", "endpoints": []}], "removed": [{"kind": "endpoint", "name": "g"}]}`,
	)
	core := newCore()
	core.Step(2, event.TicketsRead{Tickets: tickets, Revision: 3})
	require.Empty(t, pendingNumbers(core.Board()))
	actions := core.Step(3, event.TicketsRead{Tickets: tickets, Revision: 3})
	require.Empty(t, pendingNumbers(core.Board()))
	require.Empty(t, actions, "a ticket that is known changes nothing and is not audited")
}
