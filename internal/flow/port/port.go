// Package port declares what the relay needs of the outside: the manner of
// speech of callers and endpoints, and a source of published state. An adapter
// implements these interfaces and decides nothing.
package port

import (
	"context"
	"net/http"
	"strconv"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/plan"
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
		Order(order call.LeaseOrder) (path string, body []byte, err error)
		// ReportPath returns the path at which endpoints report on themselves.
		ReportPath() string
		// ReadPace reads the pace out of an endpoint's report: how many times as long as
		// published its work takes.
		ReadPace(report []byte) (float64, error)
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
		// FailedAddress is the address of an endpoint that is the cause; may be empty.
		FailedAddress string
	}

	// Source reads published state.
	Source interface {
		// ReadAll reads everything that is published.
		ReadAll(ctx context.Context) (ReadResult, error)
		// Follow waits for changes after the revision, for the span at most. It fails
		// with a ForgottenError when they can't be read any more.
		Follow(ctx context.Context, after uint64, wait clock.Millis) (ReadResult, error)
		// DecodePlan reads a published configuration; peers pass it on as it is.
		DecodePlan(document []byte) (plan.Plan, error)
	}

	// ReadResult is what a source read, in its order.
	ReadResult struct {
		Inputs []input.Input
		// Invalid are published entries that can't be read; they name nothing to use.
		Invalid  []InvalidEntry
		Revision uint64
	}

	// InvalidEntry is an entry that can't be read.
	InvalidEntry struct {
		Key string
		Err error
	}

	// CompactedError says that the source has dropped the history after a revision.
	CompactedError struct{ After uint64 }
)

// Error names the revision.
func (e *CompactedError) Error() string {
	return "changes after revision " + strconv.FormatUint(e.After, 10) + " are gone"
}
