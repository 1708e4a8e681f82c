package crash

import (
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/blame"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
)

const (
	// acquitDelay is how long an endpoint must outlive an answer that ended with its connection before the answer
	// acquits anything: the crash of an endpoint, too, ends its connections.
	acquitDelay = 1 * clock.Second
	// maxProvisional bounds the acquittals that wait. More would say little more.
	maxProvisional = 512
)

type (
	// provisional holds acquittals in the order of their answers.
	provisional struct{ waiting []provisionalAcquittal }

	provisionalAcquittal struct {
		run         blame.Run
		fingerprint uint64
		parts       []call.Part
		at          clock.Millis
	}
)

// add records a complete answer that ended with its connection.
func (p *provisional) add(b *board.Board, request *board.Request) {
	endpoint := b.Pool.Find(request.Endpoint)
	if endpoint == nil || len(p.waiting) >= maxProvisional {
		return
	}
	p.waiting = append(p.waiting, provisionalAcquittal{
		blame.RunOf(endpoint.Name, endpoint.Epoch), request.Request.Fingerprint, request.Request.Parts, b.Now,
	})
}

// settle acquits what was answered acquitDelay ago, unless an answer of that run of the endpoint is known to be
// lost since shortly before.
func (p *provisional) settle(b *board.Board) {
	due := 0
	for _, answered := range p.waiting {
		if b.Now-answered.at < acquitDelay {
			break
		}
		due++
		if b.Blame.HasLossAt(answered.run, answered.at-BeginningWindow) {
			b.Log("An answer that ended with its connection acquits nothing: its endpoint lost others.", "fingerprint", answered.fingerprint)
			continue
		}
		b.NewsChanged = b.Blame.AcquitAt(answered.parts, answered.at, b.Now) || b.NewsChanged
		b.NewsChanged = b.Blame.AcquitRequestAt(answered.fingerprint, answered.at, b.Now) || b.NewsChanged
	}
	p.waiting = slices.Delete(p.waiting, 0, due)
}
