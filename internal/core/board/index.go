package board

import (
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
)

type (
	// Index holds lookup tables derived from the declared state, so that a decision
	// does not have to scan all objects.
	Index struct {
		Engines []fleet.Endpoint
		// Services lists the endpoints of each plain service.
		Services map[ident.Service][]fleet.Endpoint
		// ModelEngines lists the engines that are declared to run each model.
		ModelEngines map[ident.Model][]fleet.Endpoint
		// EngineModels lists the models of each engine, sorted by name.
		EngineModels map[ident.Endpoint][]fleet.Model
		// AdapterModels maps each adapter to its model.
		AdapterModels map[ident.Adapter]ident.Model
		// KeyOwners maps the digest of a caller key to its organisation.
		KeyOwners map[string]ident.Organisation
	}
)

// NewIndex builds the index of the state.
func NewIndex(state fleet.State) Index {
	index := Index{
		Services:      map[ident.Service][]fleet.Endpoint{},
		ModelEngines:  map[ident.Model][]fleet.Endpoint{},
		EngineModels:  map[ident.Endpoint][]fleet.Model{},
		AdapterModels: map[ident.Adapter]ident.Model{},
		KeyOwners:     map[string]ident.Organisation{},
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
		x.AdapterModels[adapter.Name] = model.Name
	}
	for _, name := range model.Endpoints {
		if endpoint, ok := state.Endpoint(name); ok {
			x.ModelEngines[model.Name] = append(x.ModelEngines[model.Name], endpoint)
			x.EngineModels[name] = append(x.EngineModels[name], model)
		}
	}
}
