package pool

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/evac"
)

// SetEvacuated replaces the set of evacuated failure domains. New work is sent to none of their
// endpoints; what runs there goes on.
func (p *Pool) SetEvacuated(set evac.Set, now clock.Millis) {
	for domain := range p.evacuated.All() {
		if !set.Contains(domain) {
			p.takenBackAt[domain] = now
		}
	}
	for domain := range set.All() {
		delete(p.takenBackAt, domain)
	}
	p.evacuated = set
	for _, endpoint := range p.endpoints {
		endpoint.isEvacuated = set.Contains(endpoint.Domain)
	}
}

// Evacuated returns the set of evacuated failure domains.
func (p *Pool) Evacuated() evac.Set { return p.evacuated }

// TakenBackAt returns when the last evacuation of the failure domain ended at this entry; zero if it
// was never evacuated here, or is now.
func (p *Pool) TakenBackAt(domain ident.Domain) clock.Millis { return p.takenBackAt[domain] }

// IsServiceEvacuated reports whether the service has endpoints, and all of them that are not leaving are
// in evacuated failure domains.
func (p *Pool) IsServiceEvacuated(service ident.Service) bool {
	isEvacuated := false
	for _, endpoint := range p.ByService(service) {
		if endpoint.RemovedAt != 0 || endpoint.IsLeaving() {
			continue
		}
		if !endpoint.isEvacuated {
			return false
		}
		isEvacuated = true
	}
	return isEvacuated
}

// IsEvacuated reports whether the failure domain of the endpoint is evacuated.
func (e *Endpoint) IsEvacuated() bool { return e.isEvacuated }
