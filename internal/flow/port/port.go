// Package port declares what the relay needs of the outside: the manner of
// speech of callers and endpoints, and a source of published state. An adapter
// implements these interfaces and decides nothing.
package port

import (
	"context"
	"net/http"

	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/pool"
)

type (
	// Dialect translates requests of callers and answers of endpoints.
	Dialect interface {
		// ReadRequest reads the head of a caller's request.
		ReadRequest(head *http.Request) (call.Request, error)
		// SendHeader returns the header for a send, from the caller's header.
		SendHeader(from http.Header, send call.Send, after string) http.Header
		// ReadAnswer says what the head of an endpoint's answer means.
		ReadAnswer(response *http.Response) AnswerHead
		// Order returns the call that carries an order to an endpoint.
		Order(order call.Order) (path string, body []byte, err error)
		// EventID returns the id of one event of a stream; empty if it has none.
		EventID(event []byte) string
	}

	// AnswerHead is what the head of an endpoint's answer says.
	AnswerHead struct {
		// Request is the name of the request that is answered.
		Request ident.Request
		// Signed says that an endpoint made the answer.
		Signed bool
		// NotRun is the endpoint's word that the request has not run.
		NotRun bool
		// Moved says that another endpoint has the address.
		Moved bool
		// Blamed is the address of an endpoint that is the cause; may be empty.
		Blamed string
	}

	// Source reads published state until the context ends.
	Source interface {
		Run(ctx context.Context, sink Sink)
		// DecodePlan reads a published configuration; peers pass it on as it is.
		DecodePlan(document []byte) (plan.Plan, error)
	}

	// Sink takes published state.
	Sink interface {
		// PlanRead brings a configuration and the document that it was read from.
		PlanRead(read plan.Plan, document []byte)
		// ListRead brings the whole list of endpoints.
		ListRead(list []pool.Listed)
		// EndpointRead brings one changed entry of the list.
		EndpointRead(entry pool.Listed)
		// EndpointGone says that an entry was removed from the list.
		EndpointGone(name ident.Endpoint)
		// IsLookout reports whether the entry reads often for the others.
		IsLookout() bool
		// SourceLost says that a read failed, SourceBack that reads succeed again.
		SourceLost(err error)
		SourceBack()
		// BadEntry reports an unreadable entry.
		BadEntry(key string, err error)
	}
)
