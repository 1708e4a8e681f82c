package crash

import (
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/blame"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
)

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

// receiveNews takes over what another entry knows of crashes and losses.
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
