package place

import (
	"maps"
	"slices"

	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/pool"
)

// minFailedEngines is the number of engines at which requests of other entries must have failed
// for a sign that their failure domain can't be reached. A single one may be faulty itself.
const minFailedEngines = 2

// detectUnreachableDomains marks the failure domains as unreachable whose entries are
// unresponsive and where requests of any entry have failed at minFailedEngines engines since
// they last responded. Plain services are not considered, since they also fail requests that
// they have received.
func detectUnreachableDomains(b *board.Board) {
	failed := map[ident.Domain]int{}
	for endpoint := range b.Pool.Tracked() {
		lastFailure := endpoint.LastFailure(b.Now)
		if lastFailure == 0 || b.Plan.Services[endpoint.Service].Engine == nil {
			continue
		}
		if !b.HasResponsiveEntry(endpoint.Domain, b.Now-lastFailure) {
			failed[endpoint.Domain]++
		}
	}
	// The order must not depend on that of a map, since equal inputs give equal outputs.
	for _, domain := range slices.Sorted(maps.Keys(failed)) {
		if failed[domain] >= minFailedEngines {
			markIfUnresponsive(b, domain)
		}
	}
}

// markIfUnresponsive marks a failure domain in which an endpoint failed as unreachable if it
// is another one and its entries are unresponsive too.
func markIfUnresponsive(b *board.Board, domain ident.Domain) {
	if domain == b.Domain || b.Pool.IsUnreachable(domain) || !b.IsUnresponsive(domain, DomainTimeout) {
		return
	}
	b.Log("Failure domain can't be reached.", "failureDomain", domain)
	b.Pool.MarkUnreachable(domain, b.Now)
}

// readmitDomains readmits the unreachable failure domains whose entries respond again. For
// the others it requests a report from one engine, as all their entries may have stopped, unless they
// are evacuated.
func readmitDomains(b *board.Board) {
	for _, domain := range b.Pool.Unreachable() {
		if b.HasResponsiveEntry(domain, DomainTimeout) {
			b.Pool.MarkReachable(domain)
			b.Log("Failure domain can be reached.", "failureDomain", domain)
			continue
		}
		if b.Pool.Evacuated().Contains(domain) || !b.Pool.BeginCheck(domain, b.Now) {
			continue
		}
		engine, hasService := anyEngine(b, domain)
		if engine == nil {
			if hasService {
				// Only a request can show whether a plain service is reachable.
				b.Pool.MarkReachable(domain)
			}
			continue
		}
		b.Emit(output.RequestPace{Endpoint: engine.Name, Address: engine.Address})
	}
}

// anyEngine returns a random listed engine of the failure domain, or nil if there is none,
// and whether the failure domain has endpoints of plain services.
func anyEngine(b *board.Board, domain ident.Domain) (engine *pool.Endpoint, hasService bool) {
	var engines []*pool.Endpoint
	for _, name := range slices.Sorted(maps.Keys(b.Plan.Services)) {
		isEngine := b.Plan.Services[name].Engine != nil
		for _, endpoint := range b.Pool.ByService(name) {
			switch {
			case endpoint.Domain != domain || endpoint.RemovedAt != 0 || endpoint.Leaving:
			case isEngine:
				engines = append(engines, endpoint)
			default:
				hasService = true
			}
		}
	}
	if len(engines) == 0 {
		return nil, hasService
	}
	return engines[b.Random.IntN(len(engines))], hasService
}
