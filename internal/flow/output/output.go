// Package output defines the outputs of the decision core of an entry that relays
// requests: the effects that it asks the shell to carry out.
package output

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
)

type (
	// Output is one of the output types of this package.
	Output interface{ isOutput() }

	// Send sends a request to an endpoint.
	Send struct{ Send call.Send }

	// Deliver ends a request with the answer of its endpoint.
	Deliver struct{ Number uint64 }

	// MoveSend ends the current send of a request, whose endpoint is silent, as one whose
	// answer is lost. It follows an input.EndpointSilent.
	MoveSend struct{ Number uint64 }

	// CancelSend ends the current send of a request early. Its result follows as an
	// input.SendEnded.
	CancelSend struct{ Number uint64 }

	// Reply ends a request without an answer of an endpoint.
	Reply struct{ Reply call.Reply }

	// Abort ends a request whose answer can't be completed, in such a way that the
	// caller notices the truncation.
	Abort struct {
		Number uint64
		Reason call.Reason
	}

	// SendBatch sends a datagram to other entries.
	SendBatch struct {
		Addresses []string
		Batch     input.Batch
	}

	// SetTimer requests an input.TimerFired after the given time.
	SetTimer struct{ After clock.Millis }

	// FetchPublished asks another entry for published state that is newer than the given
	// version and point.
	FetchPublished struct {
		Address     string
		PlanVersion plan.Version
		ListAt      point.Point
	}

	// RequestPace asks an endpoint to report its pace.
	RequestPace struct {
		Endpoint ident.Endpoint
		Address  string
	}

	// ProbeEndpoint asks whether the process of an endpoint accepts connections, and if WantsReport is
	// set, whether it gives its report. The answer follows as an input.EndpointProbed.
	ProbeEndpoint struct {
		Endpoint    ident.Endpoint
		Epoch       uint64
		Address     string
		WantsReport bool
	}

	// Log writes a log line about a change in the state of the entry. Pairs are
	// alternating keys and values.
	Log struct {
		Text  string
		Pairs []any
	}
)

func (Send) isOutput()           {}
func (MoveSend) isOutput()       {}
func (CancelSend) isOutput()     {}
func (Deliver) isOutput()        {}
func (Reply) isOutput()          {}
func (Abort) isOutput()          {}
func (SendBatch) isOutput()      {}
func (SetTimer) isOutput()       {}
func (FetchPublished) isOutput() {}
func (RequestPace) isOutput()    {}
func (ProbeEndpoint) isOutput()  {}
func (Log) isOutput()            {}
