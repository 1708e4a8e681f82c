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
	"mustardhook/internal/flow/output"
)

const (
	// BeginningWindow is the time after the first event in which an answer is at its beginning.
	BeginningWindow = 500 * clock.Millis(1)

	// An endpoint that closed the connection of an answer is probed up to maxProbes times, with
	// probeInterval between two probes: its process may end later than its connections. It has crashed if
	// it gives no report silentProbes times.
	maxProbes     = 3
	silentProbes  = 2
	probeInterval = 250 * clock.Millis(1)

	// The record of an endpoint lapses after missedHeartbeats heartbeat intervals; listDelay is how
	// long the change takes to reach all entries.
	missedHeartbeats = 3
	listDelay        = 1500 * clock.Millis(1)
	// minRestart is less than the time in which an endpoint that has crashed answers again.
	minRestart = 1 * clock.Second
)

type (
	controller struct {
		// losses holds the answers that were recently lost, by endpoint.
		losses map[ident.Endpoint]*losses
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
		// probes counts the probes, silent those that the endpoint did not answer. The last one is
		// running while isProbing is set, and ended at probedAt otherwise.
		probes    int
		silent    int
		isProbing bool
		probedAt  clock.Millis
	}
)

// confirmWindow returns the longest time between the loss of an answer and the detected end of its endpoint for
// which the two are connected.
func confirmWindow(b *board.Board) clock.Millis {
	return missedHeartbeats*b.Settings.HeartbeatInterval + listDelay
}

// NewController returns the controller that detects requests which crash endpoints.
func NewController() board.Controller {
	return &controller{losses: map[ident.Endpoint]*losses{}}
}

// QuarantinedUntil returns until when the request must not be sent, which is zero if it may be.
func QuarantinedUntil(b *board.Board, request *board.Request) clock.Millis {
	if verdict, ok := b.Blame.Quarantine(request.Request.Parts, b.Now); ok {
		return verdict.LastCrashAt + blame.PartTTL
	}
	return b.Blame.QuarantinedUntil(request.Request.Fingerprint, b.Now)
}

// LogVerdict logs why a quarantined request is not sent: the verdict on the parts of its prompt, or else
// the evidence against the request as a whole.
func LogVerdict(b *board.Board, request *board.Request) {
	if verdict, ok := b.Blame.Quarantine(request.Request.Parts, b.Now); ok {
		b.Log("Prompt has parts that crash endpoints.", "request", request.Request.Name, "parts", call.FormatParts(verdict.Parts),
			"crashes", verdict.Crashes, "lastCrash", b.Now-verdict.LastCrashAt)
		return
	}
	fingerprint := request.Request.Fingerprint
	b.Log("Request crashes endpoints.", "request", request.Request.Name, "fingerprint", fingerprint,
		"losses", b.Blame.LossesOf(fingerprint, b.Now), "until", b.Blame.QuarantinedUntil(fingerprint, b.Now)-b.Now)
}

// Step handles one input.
func (c *controller) Step(b *board.Board, in input.Input) {
	switch in := in.(type) {
	case input.RequestReceived:
		b.Blame.Count(in.Request.Parts)
	case input.FirstEventSent:
		c.handleLife(b, b.Requests[in.Number])
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
	if isComplete || hasBegun {
		acquit(b, request, isComplete)
	}
	if result.End == call.EndComplete {
		c.handleLife(b, request)
	}
	switch {
	case result.Exited:
		c.confirmCrash(b, request.Endpoint)
	case result.End == call.EndAnswerLost && !hasBegun:
		c.addLoss(b, request, result.Closed)
	}
}

// handleLife drops the losses at an endpoint that answers a request which was sent after them.
func (c *controller) handleLife(b *board.Board, request *board.Request) {
	if request == nil {
		return
	}
	known := c.losses[request.Endpoint]
	endpoint := b.Pool.Find(request.Endpoint)
	if known != nil && endpoint != nil && known.epoch == endpoint.Epoch && request.SentAt > known.lastAt {
		c.withdraw(b, request.Endpoint)
	}
}

// withdraw drops the losses at an endpoint that has just answered: it has not crashed, unless there was time
// for a restart.
func (c *controller) withdraw(b *board.Board, name ident.Endpoint) {
	known := c.losses[name]
	if !known.hasCrashed && b.Now-known.lastAt < minRestart {
		b.Blame.WithdrawLosses(blame.RunOf(name, known.epoch))
		delete(c.losses, name)
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

// emitProbe asks whether an endpoint still accepts connections, and later whether an engine still reports: the
// first probe may come before its process has ended.
func emitProbe(b *board.Board, name ident.Endpoint, known *losses) {
	wantsReport := known.probes > 0 && b.Plan.Services[known.service].Engine != nil
	known.probes++
	known.isProbing = true
	b.Emit(output.ProbeEndpoint{Endpoint: name, Epoch: known.epoch, Address: known.address, WantsReport: wantsReport})
}

// probe repeats the probes of endpoints that are not known to have crashed.
func (c *controller) probe(b *board.Board) {
	for _, name := range slices.Sorted(maps.Keys(c.losses)) {
		known := c.losses[name]
		isDue := known.probes > 0 && known.probes < maxProbes && !known.isProbing && b.Now-known.probedAt >= probeInterval
		if isDue && !known.hasCrashed {
			emitProbe(b, name, known)
		}
	}
}

func (c *controller) handleProbe(b *board.Board, probed input.EndpointProbed) {
	known := c.losses[probed.Endpoint]
	if known == nil || known.epoch != probed.Epoch {
		return
	}
	known.isProbing = false
	known.probedAt = b.Now
	switch probed.Outcome {
	case input.ProbeRefused:
		c.confirmCrash(b, probed.Endpoint)
	case input.ProbeAnswered:
		c.withdraw(b, probed.Endpoint)
	case input.ProbeSilent:
		known.silent++
		if known.silent < silentProbes {
			emitProbe(b, probed.Endpoint, known)
			return
		}
		c.confirmCrash(b, probed.Endpoint)
	case input.ProbeUnknown:
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

func receiveNews(b *board.Board, news input.News) {
	if news.Entry == b.Self {
		return
	}
	for _, acquittal := range news.Acquittals {
		b.Blame.ReceiveAcquittal(acquittal)
	}
	for _, seen := range news.Crashes {
		b.NewsChanged = b.Blame.Receive(seen, b.Now) || b.NewsChanged
	}
	for _, acquittal := range news.RequestAcquittals {
		b.Blame.ReceiveRequestAcquittal(acquittal)
	}
	for _, loss := range news.Losses {
		b.Blame.ReceiveLoss(loss, b.Now)
	}
	var found blame.Findings
	for _, verdict := range news.Verdicts {
		if b.Blame.ReceiveVerdict(verdict, b.Now) {
			found.Parts = append(found.Parts, verdict)
		}
	}
	for _, verdict := range news.RequestVerdicts {
		if b.Blame.ReceiveRequestVerdict(verdict, b.Now) {
			found.Requests = append(found.Requests, verdict)
		}
	}
	announce(b, found)
}

// announce logs and publishes verdicts, and ends the sends of prompts that they quarantine and that
// have not begun.
func announce(b *board.Board, found blame.Findings) {
	for _, verdict := range found.Parts {
		b.Log("Parts of prompts crash endpoints; such prompts are refused.", "parts", call.FormatParts(verdict.Parts),
			"crashes", verdict.Crashes, "lastCrash", b.Now-verdict.LastCrashAt)
	}
	for _, verdict := range found.Requests {
		b.Log("A request crashes endpoints; it is refused.", "fingerprint", verdict.Fingerprint, "losses", verdict.Losses,
			"lastLoss", b.Now-verdict.LastAt)
	}
	if len(found.Parts) == 0 && len(found.Requests) == 0 {
		return
	}
	b.NewsChanged = true
	var numbers []uint64
	for number, request := range b.Requests {
		isPrompt := request.Route.IsStream() || len(request.Request.Parts) > 0
		if isPrompt && request.Endpoint != "" && !request.FirstEventSent && QuarantinedUntil(b, request) != 0 {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		b.Emit(output.CancelSend{Number: number})
	}
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
