package board

import (
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
)

type (
	// Index holds lists derived from the state in force, so that a decision
	// need not walk the whole state.
	Index struct {
		Engines  []fleet.Endpoint
		Services map[ident.Service][]fleet.Endpoint
		Runners  map[ident.Model][]fleet.Endpoint
		// EngineModels lists the models of each engine in order of their names.
		EngineModels map[ident.Endpoint][]fleet.Model
		// Adapters finds the model of an adapter.
		Adapters map[ident.Adapter]ident.Model
		// KeyOwners finds the organisation of a caller key's digest.
		KeyOwners map[string]ident.Organisation
	}
)

// NewIndex derives the lists of the state.
func NewIndex(state fleet.State) Index {
	index := Index{
		Services:     map[ident.Service][]fleet.Endpoint{},
		Runners:      map[ident.Model][]fleet.Endpoint{},
		EngineModels: map[ident.Endpoint][]fleet.Model{},
		Adapters:     map[ident.Adapter]ident.Model{},
		KeyOwners:    map[string]ident.Organisation{},
	}
	for _, object := range state.Objects() {
		switch object := object.(type) {
		case fleet.Endpoint:
			index.addEndpoint(object)
		case fleet.Model:
			index.addModel(state, object)
		case fleet.Organisation:
			if object.KeyDigest != "" {
				index.KeyOwners[object.KeyDigest] = object.Name
			}
		}
	}
	return index
}

func (x *Index) addEndpoint(endpoint fleet.Endpoint) {
	if endpoint.IsEngine() {
		x.Engines = append(x.Engines, endpoint)
		return
	}
	x.Services[endpoint.Service] = append(x.Services[endpoint.Service], endpoint)
}

func (x *Index) addModel(state fleet.State, model fleet.Model) {
	for _, adapter := range model.Adapters {
		x.Adapters[adapter.Name] = model.Name
	}
	for _, name := range model.Endpoints {
		if endpoint, found := state.Endpoint(name); found {
			x.Runners[model.Name] = append(x.Runners[model.Name], endpoint)
			x.EngineModels[name] = append(x.EngineModels[name], model)
		}
	}
}
