// Package fleet models the declared state: the objects set by change tickets, the
// tickets themselves, and the merge of any set of tickets into one state.
package fleet

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

// Kinds of declared objects.
const (
	KindDomain       Kind = "domain"
	KindEndpoint     Kind = "endpoint"
	KindModel        Kind = "model"
	KindOrganisation Kind = "organisation"
	KindService      Kind = "service"
)

// Phases in the life cycle of an endpoint.
const (
	PhaseServing Phase = "serving"
	PhaseJoining Phase = "joining"
	PhaseLeaving Phase = "leaving"
)

// Roles of an engine.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

type (
	// Kind is the kind of an object.
	Kind string
	// Phase is the declared phase of an endpoint.
	Phase string
	// Role is the declared role of an engine.
	Role string

	// Ref identifies an object of the state.
	Ref struct {
		Kind Kind
		Name string
	}

	// Object is a declared object: a Domain, Endpoint, Model, Organisation, Service or
	// Removed.
	Object interface {
		// Ref returns the identity of the object.
		Ref() Ref
		isObject()
	}

	// Domain declares a failure domain.
	Domain struct {
		Name   ident.Domain
		Region ident.Region
	}

	// Endpoint declares a back end: a model engine if Service is empty, otherwise an
	// instance of that plain service.
	Endpoint struct {
		Name    ident.Endpoint
		Domain  ident.Domain
		Address string
		Service ident.Service
		Phase   Phase
		Role    Role
		// ChecksFences reports whether the engine rejects orders with a stale number.
		ChecksFences bool
		// ChecksKeys reports whether the service itself executes each idempotency key
		// at most once.
		ChecksKeys bool
	}

	// Model declares a model, its version, its adapters and the engines that run it.
	Model struct {
		Name      ident.Model
		Version   string
		Adapters  []Adapter
		Endpoints []ident.Endpoint
	}

	// Adapter declares an adapter of a model and its version.
	Adapter struct {
		Name    ident.Adapter
		Version string
	}

	// Organisation declares a customer.
	Organisation struct {
		Name ident.Organisation
		// Share is the organisation's fraction of the fleet's throughput, from 0 to 1.
		Share float64
		// KeyDigest is the hex-encoded SHA-256 digest of the caller key, or empty for
		// none.
		KeyDigest string
		// Deadline is the default deadline of the organisation's requests.
		Deadline clock.Millis
	}

	// Service declares a plain service.
	Service struct {
		Name ident.Service
		// Repeatable lists the calls that are safe to execute more than once.
		Repeatable []Call
		// Deadline is the default deadline of a call.
		Deadline clock.Millis
		// Retention is how long an idempotency key is remembered.
		Retention clock.Millis
	}

	// Call matches calls of a service by method and path prefix.
	Call struct {
		Method string
		Prefix string
	}

	// Removed is a tombstone for a removed object. It is merged like any other object,
	// so an older ticket can't restore the object.
	Removed struct {
		Object Ref
	}
)

// Ref returns the identity of the domain.
func (d Domain) Ref() Ref { return Ref{KindDomain, string(d.Name)} }

// Ref returns the identity of the endpoint.
func (e Endpoint) Ref() Ref { return Ref{KindEndpoint, string(e.Name)} }

// Ref returns the identity of the model.
func (m Model) Ref() Ref { return Ref{KindModel, string(m.Name)} }

// Ref returns the identity of the organisation.
func (o Organisation) Ref() Ref { return Ref{KindOrganisation, string(o.Name)} }

// Ref returns the identity of the service.
func (s Service) Ref() Ref { return Ref{KindService, string(s.Name)} }

// Ref returns the identity of the removed object.
func (r Removed) Ref() Ref { return r.Object }

func (Domain) isObject()       {}
func (Endpoint) isObject()     {}
func (Model) isObject()        {}
func (Organisation) isObject() {}
func (Service) isObject()      {}
func (Removed) isObject()      {}

// IsEngine reports whether the endpoint is a model engine.
func (e Endpoint) IsEngine() bool { return e.Service == "" }

// RunsOn reports whether the model is declared to run on the endpoint.
func (m Model) RunsOn(name ident.Endpoint) bool {
	for _, endpoint := range m.Endpoints {
		if endpoint == name {
			return true
		}
	}
	return false
}

// HasAdapter reports whether the model has the adapter. The empty name stands for the
// model without an adapter and always matches.
func (m Model) HasAdapter(name ident.Adapter) bool {
	if name == "" {
		return true
	}
	for _, adapter := range m.Adapters {
		if adapter.Name == name {
			return true
		}
	}
	return false
}

// MayRepeat reports whether a call with the given method and path is safe to execute
// more than once.
func (s Service) MayRepeat(method, path string) bool {
	for _, call := range s.Repeatable {
		if call.Method == method && len(path) >= len(call.Prefix) && path[:len(call.Prefix)] == call.Prefix {
			return true
		}
	}
	return false
}

// String formats the reference as "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }
