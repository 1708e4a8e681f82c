// Package intake holds the controller that takes tickets from the platform,
// checks them against the state in force and puts them in force.
package intake

import (
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/core/msgs"
)

const (
	// WatchSpan is how long one waiting read may wait.
	WatchSpan = 20 * clock.Second
	// PendingLimit bounds the tickets that wait for what they name.
	PendingLimit = 64

	firstBackoff = 200 * clock.Millis(1)
	maxBackoff   = 5 * clock.Second
	maxDoublings = 5
)

type (
	controller struct{}
)

// NewController returns the controller of tickets.
func NewController() loop.Controller { return controller{} }

// Step handles reads of the platform and tickets that peers give.
func (controller) Step(b *board.Board, happened event.Event) {
	switch happened := happened.(type) {
	case event.TicketsRead:
		readDone(b, happened.Revision)
		takeFiled(b, happened.Tickets)
	case event.TicketRefused:
		b.Audit(action.AuditTicket, happened.Place, "Refused: "+happened.Reason+".")
	case event.PlatformFailed:
		readFailed(b, happened)
	case event.MessageCame:
		if give, is := happened.Message.(msgs.TicketsGive); is {
			takeShared(b, give.Tickets)
		}
	case event.Ticked:
		watch(b)
	}
}

func watch(b *board.Board) {
	if b.Platform.Watching || b.Now < b.Platform.RetryAt {
		return
	}
	b.Platform.Watching = true
	wait := WatchSpan
	if b.Platform.LastRead == 0 {
		wait = 0
	}
	b.Emit(action.WatchPlatform{AfterRevision: b.Platform.Revision, Wait: wait})
}

func readDone(b *board.Board, revision uint64) {
	if b.Platform.Failures > 0 {
		b.Audit(action.AuditPlatform, "platform", "Platform answers again.")
	}
	b.Platform.Watching = false
	b.Platform.Failures = 0
	b.Platform.RetryAt = b.Now
	b.Platform.LastRead = b.Now
	if revision < b.Platform.Revision {
		b.Audit(action.AuditPlatform, "platform", "Platform went back to an older revision.")
	}
	b.Platform.Revision = revision
}

func readFailed(b *board.Board, failed event.PlatformFailed) {
	if b.Platform.Failures == 0 {
		b.Audit(action.AuditPlatform, "platform", "Platform fails: "+failed.Reason+".")
	}
	b.Platform.Watching = false
	doublings := min(b.Platform.Failures, maxDoublings)
	backoff := min(firstBackoff<<doublings, maxBackoff)
	b.Platform.Failures++
	b.Platform.RetryAt = b.Now + backoff/2 + clock.Millis(b.Random.Int64N(int64(backoff)))
}

// takeFiled takes tickets that were read from the platform. The whole batch is
// tried at once; only a batch with a fault is taken one by one.
func takeFiled(b *board.Board, tickets []fleet.Ticket) {
	if len(tickets) == 0 {
		return
	}
	next, merges := b.State.WithAll(tickets)
	if len(faultsOf(next, tickets)) == 0 {
		accept(b, next, tickets, merges)
		retryPending(b)
		return
	}
	for _, ticket := range tickets {
		takeOne(b, ticket)
	}
	retryPending(b)
}

// takeShared takes tickets that a peer has in force. The peer checked them, and
// a second check could differ by order of arrival, so they are not checked here.
func takeShared(b *board.Board, tickets []fleet.Ticket) {
	next, merges := b.State.WithAll(tickets)
	accept(b, next, tickets, merges)
	retryPending(b)
}

func takeOne(b *board.Board, ticket fleet.Ticket) bool {
	tickets := []fleet.Ticket{ticket}
	next, merges := b.State.WithAll(tickets)
	faults := faultsOf(next, tickets)
	if len(faults) > 0 {
		hold(b, ticket, faults[0])
		return false
	}
	accept(b, next, tickets, merges)
	return true
}

func hold(b *board.Board, ticket fleet.Ticket, fault error) {
	for _, pending := range b.PendingTickets {
		if pending.Stamp() == ticket.Stamp() {
			return
		}
	}
	if len(b.PendingTickets) >= PendingLimit {
		b.PendingTickets = b.PendingTickets[1:]
	}
	b.PendingTickets = append(b.PendingTickets, ticket)
	b.Emit(action.WriteAudit{
		Kind: action.AuditTicket, Object: "ticket", Number: ticket.Number,
		Text: "Refused, not in force: " + fault.Error() + ".",
	})
}

func retryPending(b *board.Board) {
	for accepted := true; accepted; {
		accepted = false
		waiting := b.PendingTickets
		b.PendingTickets = nil
		for _, ticket := range waiting {
			tickets := []fleet.Ticket{ticket}
			next, merges := b.State.WithAll(tickets)
			if len(faultsOf(next, tickets)) > 0 {
				b.PendingTickets = append(b.PendingTickets, ticket)
				continue
			}
			accept(b, next, tickets, merges)
			accepted = true
		}
	}
}

func faultsOf(next fleet.State, tickets []fleet.Ticket) []error {
	var faults []error
	for _, ticket := range tickets {
		faults = append(faults, next.CheckTicket(ticket)...)
	}
	return faults
}

func accept(b *board.Board, next fleet.State, tickets []fleet.Ticket, merges []fleet.MergeResult) {
	var fresh []fleet.Ticket
	for i, ticket := range tickets {
		switch merges[i] {
		case fleet.Accepted:
			fresh = append(fresh, ticket)
			audit(b, ticket, "In force.")
		case fleet.ConflictWon:
			fresh = append(fresh, ticket)
			audit(b, ticket, "Number filed twice, this ticket replaces the other.")
		case fleet.ConflictLost:
			audit(b, ticket, "Number filed twice, the other ticket stays in force.")
		}
	}
	if len(fresh) == 0 {
		return
	}
	b.SetState(next)
	b.UnpushedTickets = append(b.UnpushedTickets, fresh...)
}

func audit(b *board.Board, ticket fleet.Ticket, text string) {
	for _, object := range ticket.Objects {
		b.Emit(action.WriteAudit{
			Kind: action.AuditTicket, Object: object.Ref().String(), Number: ticket.Number, Text: text,
		})
	}
}
