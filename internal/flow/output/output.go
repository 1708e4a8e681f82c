// Package output lists what the deciding core of an entry that relays requests
// asks the shell to do.
package output

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
)

type (
	// Output is one of the types of this package.
	Output interface{ isOutput() }

	// Send starts a send of a request.
	Send struct{ Send call.Send }

	// Deliver ends a request with the answer that the endpoint gave.
	Deliver struct{ Number uint64 }

	// Reply ends a request without an endpoint's answer.
	Reply struct{ Reply call.Reply }

	// Abort ends a request whose answer can't be made whole, so that the caller
	// sees it broken.
	Abort struct {
		Number uint64
		Reason call.Reason
	}

	// SendBatch sends a datagram to other entries.
	SendBatch struct {
		Addresses []string
		Batch     input.Batch
	}

	// SetTimer asks for an input after the span.
	SetTimer struct{ After clock.Millis }

	// FetchPublished asks another entry for published state that is newer than what
	// this one has.
	FetchPublished struct {
		Address      string
		PlanVersion  plan.Version
		ListRevision uint64
	}

	// RequestPace asks an endpoint for a report of its pace.
	RequestPace struct {
		Endpoint ident.Endpoint
		Address  string
	}

	// Log is a log line about a change of what the entry believes.
	Log struct {
		Text  string
		Pairs []any
	}
)

func (Send) isOutput()           {}
func (Deliver) isOutput()        {}
func (Reply) isOutput()          {}
func (Abort) isOutput()          {}
func (SendBatch) isOutput()      {}
func (SetTimer) isOutput()       {}
func (FetchPublished) isOutput() {}
func (RequestPace) isOutput()    {}
func (Log) isOutput()            {}
