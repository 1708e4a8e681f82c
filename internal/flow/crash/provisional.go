package crash

import (
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/blame"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
)

// maxProvisional bounds the acquittals that wait. More would say little more.
const maxProvisional = 512

type (
	// provisional holds acquittals by answers that ended with their connections, in the order of the answers. The
	// crash of an endpoint, too, ends its connections, so that the endpoint has to outlive the answer first.
	provisional struct{ waiting []provisionalAcquittal }

	provisionalAcquittal struct {
		endpoint    ident.Endpoint
		epoch       uint64
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
		endpoint.Name, endpoint.Epoch, request.Request.Fingerprint, request.Request.Parts, b.Now,
	})
}

// settle acquits what was answered so long ago that a crash of the endpoint would be known by now.
func (p *provisional) settle(b *board.Board) {
	due := 0
	for _, answered := range p.waiting {
		if b.Now-answered.at < confirmWindow(b) {
			break
		}
		due++
		if !answered.isOutlived(b) {
			b.Log("An answer that ended with its connection acquits nothing: its endpoint has not outlived it.",
				"fingerprint", answered.fingerprint, "endpoint", answered.endpoint)
			continue
		}
		b.NewsChanged = b.Blame.AcquitAt(answered.parts, answered.at, b.Now) || b.NewsChanged
		b.NewsChanged = b.Blame.AcquitRequestAt(answered.fingerprint, answered.at, b.Now) || b.NewsChanged
	}
	p.waiting = slices.Delete(p.waiting, 0, due)
}

// isOutlived reports whether the same run of the endpoint is still listed, and no answer was lost there since shortly
// before.
func (p provisionalAcquittal) isOutlived(b *board.Board) bool {
	endpoint := b.Pool.Find(p.endpoint)
	isListed := endpoint != nil && endpoint.Epoch == p.epoch && endpoint.RemovedAt == 0
	return isListed && !b.Blame.HasLossAt(blame.RunOf(p.endpoint, p.epoch), p.at-BeginningWindow)
}
