// Package port declares the interfaces through which the relay uses the outside world:
// the dialect of callers and endpoints, and the source of published state. Adapters
// implement them and contain no policy.
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
	"mustardhook/internal/flow/point"
)

// MaxStateBytes is the maximum size of the published state that a Source reads at a time. Over
// it, a read fails with a limit.ExceededError. The client that a Source is given limits each
// response.
const MaxStateBytes = 64 << 20

type (
	// Dialect translates between the protocol of callers and endpoints and the types of
	// the relay.
	Dialect interface {
		// ReadRequest parses the request line and header of a caller's request. It does
		// not read the body.
		ReadRequest(head *http.Request) (call.Request, error)
		// EndpointHeader returns the header to send to an endpoint, based on the caller's
		// header. If after is not empty, it is the id of the last event that the caller
		// received, and the endpoint resumes the stream after it.
		EndpointHeader(from http.Header, send call.Send, after string) http.Header
		// ReadAnswer parses the status and header of an endpoint's answer.
		ReadAnswer(response *http.Response) AnswerHead
		// Order returns the path and body of the HTTP call that carries an order to an
		// endpoint.
		Order(order call.LeaseOrder) (path string, body []byte, err error)
		// ReportPath returns the path at which endpoints serve their reports.
		ReportPath() string
		// ReadPace returns the pace in an endpoint's report: the factor by which its work
		// takes longer than published.
		ReadPace(report []byte) (float64, error)
		// EventID returns the id of one event of a stream, or "" if it has none.
		EventID(event []byte) string
	}

	// AnswerHead is the parsed status and header of an endpoint's answer.
	AnswerHead struct {
		// Request is the name of the answered request; empty if the answer has none.
		Request ident.Request
		// Signed reports whether the answer was made by an endpoint, rather than by an
		// intermediary.
		Signed bool
		// NotRun reports whether the endpoint guarantees that the request did not run.
		NotRun bool
		// Moved reports whether another endpoint now has the address.
		Moved bool
		// FailedAddress is the address of the endpoint that the answer names as the cause
		// of the failure; empty if it names none.
		FailedAddress string
		// Leaving reports whether the endpoint announces that it is leaving.
		Leaving bool
		// RetryAfter is for how long the endpoint asks to be sent nothing; zero if it does not.
		RetryAfter clock.Millis
		// ColdLeft is how much longer the endpoint says that it is cold; zero if it does not.
		ColdLeft clock.Millis
	}

	// Source reads published state: the plan and the list of endpoints.
	Source interface {
		// ReadAll reads all published state. It returns an EraError if an era of the source
		// ended meanwhile. The given era is assumed if the source tells of none.
		ReadAll(ctx context.Context, era uint64) (ReadResult, error)
		// Follow returns the changes after the given revision of the current era. If there are none,
		// it waits for some, for the given time at most. The era of the point is assumed if the
		// source tells of none; if the result is of another era, it lacks changes. Follow returns a
		// CompactedError if the source no longer has those changes, and a CutError if the source
		// ended a read that waited without an answer.
		Follow(ctx context.Context, after point.Point, wait clock.Millis) (ReadResult, error)
		// DecodePlan parses a published plan. Peers forward plans in this encoding.
		DecodePlan(document []byte) (plan.Plan, error)
	}

	// ReadResult is the result of a read: the changes in the order in which the source
	// made them, and the point of its history that they lead to.
	ReadResult struct {
		Inputs []input.Input
		// Invalid lists the published records that can't be decoded. Endpoints among them
		// must not be used.
		Invalid []InvalidRecord
		At      point.Point
	}

	// InvalidRecord is a published record that can't be decoded.
	InvalidRecord struct {
		Key string
		Err error
	}

	// CompactedError reports that the source no longer has the changes after a point.
	CompactedError struct{ After point.Point }

	// EraError reports that the source answered in another era than the known one.
	EraError struct{ Known, Found uint64 }

	// CutError reports that the source ended the connection of a read that waited for
	// changes. It may do so at any time, so this doesn't show that it can't be read.
	CutError struct{ Err error }
)

// Error returns a message with the cause.
func (e *CutError) Error() string { return "the source ended a read that waited: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Err }

// Error returns a message with the revision.
func (e *CompactedError) Error() string {
	return "changes after revision " + strconv.FormatUint(e.After.Revision, 10) + " are no longer available"
}

// Error returns a message with the eras.
func (e *EraError) Error() string {
	return "the source answered in era " + strconv.FormatUint(e.Found, 10) + ", known is " + strconv.FormatUint(e.Known, 10)
}
