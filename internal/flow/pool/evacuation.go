package pool

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/evac"
)

// SetEvacuated replaces the set of evacuated failure domains. New work is sent to none of their
// endpoints; what runs there goes on. The endpoints of a failure domain that is taken back are cold: they
// may have become so unnoticed.
func (p *Pool) SetEvacuated(set evac.Set, now clock.Millis) {
	for domain := range p.evacuated.All() {
		if set.Contains(domain) {
			continue
		}
		for _, endpoint := range p.endpoints {
			if endpoint.Domain == domain {
				p.MarkEndpointCold(endpoint, now+p.coldTimes[endpoint.Service], now)
			}
		}
	}
	p.evacuated = set
	for _, endpoint := range p.endpoints {
		endpoint.isEvacuated = set.Contains(endpoint.Domain)
	}
}

// Evacuated returns the set of evacuated failure domains.
func (p *Pool) Evacuated() evac.Set { return p.evacuated }

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
