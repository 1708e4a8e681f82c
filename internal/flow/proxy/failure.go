package proxy

import "mustardhook/internal/core/ident"

type (
	// AnswerError reports that an endpoint's answer can't be forwarded to the caller.
	AnswerError struct {
		Reason string
		// Truncated means that the connection ended before the answer did.
		Truncated bool
	}

	// WithdrawnError reports that an endpoint went out of use while memory for the request was being
	// reserved.
	WithdrawnError struct{ Endpoint ident.Endpoint }

	// EvacuatedError reports that an endpoint of a send was evacuated before the request was sent.
	EvacuatedError struct{ Endpoint ident.Endpoint }

	// CallerWriteError reports that writing the answer to the caller failed.
	CallerWriteError struct{ Err error }
)

// Error returns a message with the reason.
func (e *AnswerError) Error() string { return "answer of an endpoint: " + e.Reason }

// Error returns a message with the endpoint.
func (e *WithdrawnError) Error() string {
	return "endpoint " + string(e.Endpoint) + " went out of use while memory was reserved"
}

// Error returns a message with the endpoint.
func (e *EvacuatedError) Error() string {
	return "endpoint " + string(e.Endpoint) + " was evacuated before the request was sent"
}

// Error returns a message with the cause.
func (e *CallerWriteError) Error() string { return "write answer to caller: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallerWriteError) Unwrap() error { return e.Err }
