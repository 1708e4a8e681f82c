// Package crash provides the controller that finds out which requests crash the endpoints that run
// them, so that such requests are not sent to further endpoints. It collects the evidence; package
// blame draws the conclusions.
package crash

import (
	"maps"
	"net/http"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/blame"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
)

const (
	// BeginningWindow is the time after the first event in which an answer is at its beginning.
	BeginningWindow = 500 * clock.Millis(1)

	// listDelay is how long it takes all entries to learn that the record of an endpoint has lapsed.
	listDelay = 1500 * clock.Millis(1)
)

type (
	controller struct {
		// losses holds the answers that were recently lost, by endpoint.
		losses map[ident.Endpoint]*losses
		// provisional holds the acquittals that the endpoint has yet to outlive.
		provisional provisional
	}

	// lostAnswer is a request whose answer was lost, with its name for the log.
	lostAnswer struct {
		blame.Lost
		name ident.Request
	}

	// losses are the answers that were lost at one run of an endpoint.
	losses struct {
		epoch   uint64
		service ident.Service
		address string
		lost    []lostAnswer
		firstAt clock.Millis
		lastAt  clock.Millis
		// hasCrashed is set once the endpoint is known to have crashed.
		hasCrashed bool
		// probes counts the probes, silent those that the endpoint did not answer. The last one began
		// at probeSentAt. It is running while isProbing is set, and ended at probeEndedAt otherwise.
		probes       int
		silent       int
		isProbing    bool
		probeSentAt  clock.Millis
		probeEndedAt clock.Millis
	}
)

// confirmWindow returns the longest time between the loss of an answer and the detected end of its endpoint for
// which the two are connected.
func confirmWindow(b *board.Board) clock.Millis {
	return b.Settings.RecordTTL() + listDelay
}

// NewController returns the controller that detects requests which crash endpoints.
func NewController() board.Controller {
	return &controller{losses: map[ident.Endpoint]*losses{}}
}

// Step handles one input.
func (c *controller) Step(b *board.Board, in input.Input) {
	switch in := in.(type) {
	case input.RequestReceived:
		b.Blame.Count(in.Request.Parts)
	case input.FirstEventSent:
		if request := b.Requests[in.Number]; request != nil {
			c.handleLife(b, request.Endpoint, request.SentAt)
		}
	case input.SendEnded:
		c.handleSendEnded(b, in.Result)
	case input.EndpointProbed:
		c.handleProbe(b, in)
	case input.EndpointRemoved:
		c.confirmCrash(b, in.Name)
	case input.EndpointRead:
		endpoint := b.Pool.Find(in.Record.Name)
		if endpoint != nil && endpoint.Epoch != in.Record.Epoch {
			c.confirmCrash(b, in.Record.Name)
		}
	case input.NewsReceived:
		for _, news := range in.Batch.News {
			receiveNews(b, news)
		}
	case input.Ticked:
		acquitBegun(b)
		c.provisional.settle(b)
		c.probe(b)
		c.expire(b)
	}
}

// handleSendEnded collects the evidence of a send: an answer that went on past its beginning acquits
// the parts of its prompt, one that was lost before may be the cause of an end. A refused connection
// means that the process of the endpoint has ended.
func (c *controller) handleSendEnded(b *board.Board, result call.Result) {
	request := b.Requests[result.Number]
	if request == nil || request.Endpoint == "" {
		return
	}
	isComplete := result.End == call.EndComplete && result.Status < http.StatusInternalServerError
	hasBegun := request.FirstEventSent && b.Now-request.FirstEventAt > BeginningWindow
	if isComplete && result.Unframed {
		c.provisional.add(b, request)
		isComplete = false
	}
	if isComplete || hasBegun {
		acquit(b, request, isComplete)
	}
	if result.End == call.EndComplete {
		c.handleLife(b, request.Endpoint, request.SentAt)
	}
	switch {
	case result.Exited:
		c.confirmCrash(b, request.Endpoint)
	case result.End == call.EndAnswerLost && !hasBegun:
		c.addLoss(b, request, result.Closed)
	}
}

// acquitBegun acquits the parts of prompts whose answers have got past their beginning.
func acquitBegun(b *board.Board) {
	for _, request := range b.Requests {
		if len(request.Request.Parts) > 0 && !request.IsAcquitted && request.FirstEventSent && b.Now-request.FirstEventAt > BeginningWindow {
			request.IsAcquitted = true
			acquit(b, request, false)
		}
	}
}

func acquit(b *board.Board, request *board.Request, isComplete bool) {
	b.NewsChanged = b.Blame.Acquit(request.Request.Parts, b.Now) || b.NewsChanged
	if isComplete {
		b.NewsChanged = b.Blame.AcquitRequest(request.Request.Fingerprint, b.Now) || b.NewsChanged
	}
}

// addLoss records an answer that was lost at its beginning. Silence says nothing about the parts of a
// prompt: a network that is cut is silent too.
func (c *controller) addLoss(b *board.Board, request *board.Request, isClosed bool) {
	name := request.Endpoint
	endpoint := b.Pool.Find(name)
	if endpoint == nil {
		return
	}
	known := c.losses[name]
	if known == nil || known.epoch != endpoint.Epoch || b.Now-known.lastAt > confirmWindow(b) {
		known = &losses{epoch: endpoint.Epoch, service: endpoint.Service, address: endpoint.Address, firstAt: b.Now}
		c.losses[name] = known
	}
	lost := lostAnswer{blame.Lost{SentAt: request.SentAt, Fingerprint: request.Request.Fingerprint}, request.Request.Name}
	if isClosed {
		lost.Parts = request.Request.Parts
	}
	known.lost = append(known.lost, lost)
	known.lastAt = b.Now
	if isClosed {
		run := blame.RunOf(name, known.epoch)
		b.Blame.ObserveLoss(blame.Loss{Fingerprint: lost.Fingerprint, Run: run, SentAt: lost.SentAt, At: b.Now}, b.Now)
		b.NewsChanged = true
	}
	b.Log("Answer was lost at its beginning.", "request", lost.name, "fingerprint", lost.Fingerprint, "endpoint", name,
		"sent", b.Now-lost.SentAt, "closed", isClosed, "losses", b.Blame.LossesOf(lost.Fingerprint, b.Now))
	switch {
	case known.hasCrashed:
		c.report(b, name, known)
	case isClosed && known.probes == 0:
		emitProbe(b, name, known)
	}
}

// confirmCrash reports the answers that were lost at an endpoint which has crashed.
func (c *controller) confirmCrash(b *board.Board, name ident.Endpoint) {
	known := c.losses[name]
	if known == nil || known.hasCrashed {
		return
	}
	if b.Now-known.lastAt > confirmWindow(b) {
		b.Log("Answers were lost too long before their endpoint ended.", "endpoint", name, "count", len(known.lost),
			"after", b.Now-known.lastAt)
		delete(c.losses, name)
		return
	}
	known.hasCrashed = true
	c.report(b, name, known)
}

// report passes the answers lost at the end of an endpoint to the ledger.
func (c *controller) report(b *board.Board, name ident.Endpoint, known *losses) {
	crashed := blame.Crash{Run: blame.RunOf(name, known.epoch), At: known.firstAt}
	for _, lost := range known.lost {
		crashed.Lost = append(crashed.Lost, lost.Lost)
		b.Log("Request was running when an endpoint ended.", "request", lost.name, "fingerprint", lost.Fingerprint,
			"parts", call.FormatParts(lost.Parts), "endpoint", name, "sent", known.lastAt-lost.SentAt, "after", b.Now-known.firstAt)
	}
	b.Blame.Observe(crashed, b.Now)
	b.NewsChanged = true
	known.lost = nil
}

// expire forgets what no longer matters.
func (c *controller) expire(b *board.Board) {
	b.Blame.Join(b.Self, len(b.Peers)+1)
	announce(b, b.Blame.Advance(b.Now))
	for _, name := range slices.Sorted(maps.Keys(c.losses)) {
		known := c.losses[name]
		if b.Now-known.lastAt <= confirmWindow(b) {
			continue
		}
		if !known.hasCrashed {
			b.Log("Answers were lost at an endpoint of which no end was seen.", "endpoint", name, "count", len(known.lost))
		}
		delete(c.losses, name)
	}
}
