// Package intake implements the controller that reads tickets from the platform,
// validates them against the current state and merges them into it.
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
	// WatchTimeout is the maximum duration of one long poll of the platform.
	WatchTimeout = 20 * clock.Second
	// MaxPendingTickets limits the number of tickets that wait for the objects they
	// refer to.
	MaxPendingTickets = 64
	// ReadAnewInterval is the minimum time between two reads from the start, as a platform
	// whose instances disagree may seem to come back from a copy with each answer.
	ReadAnewInterval = 1 * clock.Second

	firstBackoff = 200 * clock.Millis(1)
	maxBackoff   = 5 * clock.Second
	maxDoublings = 5
)

type (
	controller struct{}
)

// NewController returns a controller for tickets.
func NewController() loop.Controller { return controller{} }

// Step handles reads from the platform and tickets from peers.
func (controller) Step(b *board.Board, input event.Event) {
	switch input := input.(type) {
	case event.TicketsRead:
		recordRead(b, input)
		mergePublished(b, input.Tickets)
	case event.TicketRefused:
		b.Audit(action.AuditTicket, input.Place, "Refused: "+input.Reason+".")
	case event.HistoryChanged:
		readAnew(b, input)
	case event.PlatformFailed:
		recordReadFailure(b, input)
	case event.MessageCame:
		if message, ok := input.Message.(msgs.TicketsGive); ok {
			mergeForwarded(b, message.Tickets)
		}
	case event.Ticked:
		watch(b)
	}
}

// watch starts the next long poll of the platform. The first read returns at once, and so
// does one after a failure, which shows whether the platform can be read.
func watch(b *board.Board) {
	if b.Platform.Watching || b.Now < b.Platform.RetryAt {
		return
	}
	b.Platform.Watching = true
	wait := WatchTimeout
	if b.Platform.LastRead == 0 || b.Platform.Failures > 0 || b.Platform.IsReadAnew {
		wait = 0
	}
	b.Emit(action.WatchPlatform{Era: b.Platform.Era, AfterRevision: b.Platform.Revision, Wait: wait})
}

func recordRead(b *board.Board, read event.TicketsRead) {
	recordAnswer(b)
	b.Platform.RetryAt = b.Now
	b.Platform.Era = read.Era
	b.Platform.Revision = read.Revision
	if !read.More {
		b.Platform.LastRead = b.Now
		b.Platform.IsReadAnew = false
	}
}

// readAnew starts to read everything from the platform. Tickets in force stay so, whether or
// not the copy has them.
func readAnew(b *board.Board, changed event.HistoryChanged) {
	recordAnswer(b)
	b.Audit(action.AuditPlatform, "platform", "Platform came back from an older copy, everything is read anew.")
	b.Platform.RetryAt = max(b.Now, b.Platform.ReadAnewAt+ReadAnewInterval)
	b.Platform.ReadAnewAt = b.Platform.RetryAt
	b.Platform.IsReadAnew = true
	b.Platform.Era = changed.Era
	b.Platform.Revision = 0
}

func recordAnswer(b *board.Board) {
	switch {
	case b.Platform.IsUnavailable():
		b.Audit(action.AuditPlatform, "platform", "Platform answers again.")
	case b.Platform.Failures > 0:
		b.Platform.CutPolls++
	default:
		b.Platform.CutPolls = 0
	}
	b.Platform.Watching = false
	b.Platform.Failures = 0
}

func recordReadFailure(b *board.Board, failed event.PlatformFailed) {
	wasUnavailable := b.Platform.IsUnavailable()
	b.Platform.Watching = false
	doublings := min(b.Platform.Failures+b.Platform.CutPolls, maxDoublings)
	backoff := min(firstBackoff<<doublings, maxBackoff)
	b.Platform.Failures++
	if !wasUnavailable && b.Platform.IsUnavailable() {
		b.Audit(action.AuditPlatform, "platform", "Platform fails: "+failed.Reason+".")
	}
	b.Platform.RetryAt = b.Now + backoff/2 + clock.Millis(b.Random.Int64N(int64(backoff)))
}

// mergePublished merges tickets that were read from the platform. It validates the
// whole batch at once and falls back to single tickets if the batch is invalid.
func mergePublished(b *board.Board, tickets []fleet.Ticket) {
	if len(tickets) == 0 {
		return
	}
	next, results := b.State.WithAll(tickets)
	if len(validate(next, tickets, results)) == 0 {
		accept(b, next, tickets, results)
		retryPending(b)
		return
	}
	for _, ticket := range tickets {
		mergeOne(b, ticket)
	}
	retryPending(b)
}

// mergeForwarded merges tickets that are in force at a peer. The peer has validated
// them, and since the result of a second validation could depend on the order of
// arrival, they are not validated again.
func mergeForwarded(b *board.Board, tickets []fleet.Ticket) {
	next, results := b.State.WithAll(tickets)
	accept(b, next, tickets, results)
	retryPending(b)
}

func mergeOne(b *board.Board, ticket fleet.Ticket) bool {
	tickets := []fleet.Ticket{ticket}
	next, results := b.State.WithAll(tickets)
	errs := validate(next, tickets, results)
	if len(errs) > 0 {
		addPending(b, ticket, errs[0])
		return false
	}
	accept(b, next, tickets, results)
	return true
}

func addPending(b *board.Board, ticket fleet.Ticket, err error) {
	for _, pending := range b.PendingTickets {
		if pending.Stamp() == ticket.Stamp() {
			return
		}
	}
	if len(b.PendingTickets) >= MaxPendingTickets {
		b.PendingTickets = b.PendingTickets[1:]
	}
	b.PendingTickets = append(b.PendingTickets, ticket)
	b.Emit(action.WriteAudit{
		Kind: action.AuditTicket, Object: "ticket", Number: ticket.Number,
		Text: "Refused, not in force: " + err.Error() + ".",
	})
}

// retryPending merges the pending tickets that are valid by now. Since each of them may
// declare what others refer to, it repeats until none is accepted.
func retryPending(b *board.Board) {
	for accepted := true; accepted; {
		accepted = false
		pending := b.PendingTickets
		b.PendingTickets = nil
		for _, ticket := range pending {
			tickets := []fleet.Ticket{ticket}
			next, results := b.State.WithAll(tickets)
			if len(validate(next, tickets, results)) > 0 {
				b.PendingTickets = append(b.PendingTickets, ticket)
				continue
			}
			accept(b, next, tickets, results)
			accepted = true
		}
	}
}

// validate checks the tickets that were merged. One that was known before may name what a
// later one has removed.
func validate(next fleet.State, tickets []fleet.Ticket, results []fleet.MergeResult) []error {
	var errs []error
	for i, ticket := range tickets {
		if results[i] == fleet.Accepted || results[i] == fleet.ConflictWon {
			errs = append(errs, next.CheckTicket(ticket)...)
		}
	}
	return errs
}

func accept(b *board.Board, next fleet.State, tickets []fleet.Ticket, results []fleet.MergeResult) {
	var merged []fleet.Ticket
	for i, ticket := range tickets {
		switch results[i] {
		case fleet.Accepted:
			merged = append(merged, ticket)
			audit(b, ticket, "In force.")
		case fleet.ConflictWon:
			merged = append(merged, ticket)
			audit(b, ticket, "Number filed twice, this ticket replaces the other.")
		case fleet.ConflictLost:
			audit(b, ticket, "Number filed twice, the other ticket stays in force.")
		}
	}
	if len(merged) == 0 {
		return
	}
	b.SetState(next)
	b.UnpushedTickets = append(b.UnpushedTickets, merged...)
}

func audit(b *board.Board, ticket fleet.Ticket, text string) {
	for _, object := range ticket.Objects {
		b.Emit(action.WriteAudit{
			Kind: action.AuditTicket, Object: object.Ref().String(), Number: ticket.Number, Text: text,
		})
	}
}
