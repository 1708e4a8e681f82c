package fleet

import (
	"mustardhook/internal/core/ident"
)

// Endpoint returns the endpoint with the given name and whether it is declared.
func (s State) Endpoint(name ident.Endpoint) (Endpoint, bool) {
	object, _ := s.Lookup(Ref{KindEndpoint, string(name)})
	endpoint, ok := object.(Endpoint)
	return endpoint, ok
}

// Model returns the model with the given name and whether it is declared.
func (s State) Model(name ident.Model) (Model, bool) {
	object, _ := s.Lookup(Ref{KindModel, string(name)})
	model, ok := object.(Model)
	return model, ok
}

// Organisation returns the organisation with the given name and whether it is declared.
func (s State) Organisation(name ident.Organisation) (Organisation, bool) {
	object, _ := s.Lookup(Ref{KindOrganisation, string(name)})
	organisation, ok := object.(Organisation)
	return organisation, ok
}

// Service returns the service with the given name and whether it is declared.
func (s State) Service(name ident.Service) (Service, bool) {
	object, _ := s.Lookup(Ref{KindService, string(name)})
	service, ok := object.(Service)
	return service, ok
}
