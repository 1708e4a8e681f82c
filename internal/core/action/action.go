// Package action defines the outputs of the decision core. The shell executes them and
// makes no policy decisions of its own.
package action

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
)

// Reasons why a request failed. Callers may rely on these values; they do not change.
const (
	ReasonNone                Reason = ""
	ReasonUnknownModel        Reason = "unknownModel"
	ReasonUnknownAdapter      Reason = "unknownAdapter"
	ReasonUnknownService      Reason = "unknownService"
	ReasonUnknownOrganisation Reason = "unknownOrganisation"
	ReasonPromptTooLong       Reason = "promptTooLong"
	ReasonOverloaded          Reason = "overloaded"
	ReasonNoEndpoint          Reason = "noEndpoint"
	ReasonDeadline            Reason = "deadlineExceeded"
	ReasonEndpointFailed      Reason = "endpointFailed"
	ReasonQuarantined         Reason = "promptQuarantined"
	ReasonStopping            Reason = "entryStopping"
	ReasonKeyMismatch         Reason = "keyMismatch"
	ReasonKeyBusy             Reason = "keyBusy"
	ReasonKeyExpired          Reason = "keyExpired"
	ReasonHomeUnreachable     Reason = "homeUnreachable"
	ReasonClaimRefused        Reason = "claimRefused"
	ReasonClaimDoubtful       Reason = "claimDoubtful"
	ReasonAnswerLost          Reason = "answerLost"
	ReasonCallerGone          Reason = "callerGone"
)

// Subjects of audit records.
const (
	AuditTicket    AuditKind = "ticket"
	AuditEndpoint  AuditKind = "endpoint"
	AuditOrder     AuditKind = "order"
	AuditSuspect   AuditKind = "suspect"
	AuditClaim     AuditKind = "claim"
	AuditEntry     AuditKind = "entry"
	AuditPlatform  AuditKind = "platform"
	AuditAllocated AuditKind = "allocation"
)

type (
	// Reason identifies why a request failed.
	Reason string

	// AuditKind identifies the subject of an audit record.
	AuditKind string

	// Action is an output of the decision core. Its implementations are the types of
	// this package.
	Action interface{ isAction() }

	// StartAttempt runs a prompt at an engine and relays the generated tokens to the
	// caller.
	StartAttempt struct {
		Request  ident.Request
		Attempt  ident.Attempt
		Endpoint ident.Endpoint
		Address  string
		Owner    ident.Incarnation
		Model    ident.Model
		Adapter  ident.Adapter
		// ResumeAfter is the number of tokens already delivered to the caller.
		ResumeAfter int
		// Priority is the scheduling priority at the engine; lower values come first.
		Priority int
		// Lease is how long the engine may hold memory for the attempt.
		Lease clock.Millis
	}

	// CancelAttempt stops an attempt at an engine and frees its memory.
	CancelAttempt struct {
		Attempt  ident.Attempt
		Endpoint ident.Endpoint
		Address  string
	}

	// FinishCompletion completes a prompt and reports the outcome to its caller.
	FinishCompletion struct {
		Request ident.Request
		Reason  Reason
		// RetryAfter is the retry delay suggested to the caller, or zero for none.
		RetryAfter clock.Millis
	}

	// SendCall sends a call to a service endpoint.
	SendCall struct {
		Attempt  ident.Attempt
		Endpoint ident.Endpoint
		Address  string
		Key      string
		Content  msgs.Content
		Timeout  clock.Millis
	}

	// FinishCall completes a service call and returns the result to its caller.
	FinishCall struct {
		Request ident.Request
		Result  msgs.Result
	}

	// SendMessage sends a message to another entry.
	SendMessage struct {
		Address string
		Message msgs.Message
	}

	// ReadReport requests the load report of an engine.
	ReadReport struct {
		Endpoint ident.Endpoint
		Address  string
		// Since is the sequence number of the last cache event received. The report
		// lists newer ones only.
		Since       uint64
		RequestedAt clock.Millis
	}

	// WatchPlatform starts a long poll, of at most Wait, for tickets and instances newer
	// than AfterRevision of the era. Zero stands for all of any era.
	WatchPlatform struct {
		Era           uint64
		AfterRevision uint64
		Wait          clock.Millis
	}

	// SendOrder sends an engine its desired models and role.
	SendOrder struct {
		Endpoint ident.Endpoint
		Address  string
		Order    Order
	}

	// Order is the complete desired state of one engine.
	Order struct {
		// Fence is the fencing token: an engine that checks it refuses an order with a
		// lower number than that of an earlier order.
		Fence  fleet.Number
		Role   fleet.Role
		Models []fleet.Model
	}

	// FreeAllocation frees engine memory whose owner no longer exists.
	FreeAllocation struct {
		Endpoint ident.Endpoint
		Address  string
		Name     string
	}

	// WriteAudit appends a record to the audit trail.
	WriteAudit struct {
		Kind   AuditKind
		Object string
		Number fleet.Number
		Text   string
	}

	// Exit ends the process. It is emitted after StopAsked, once nothing is in flight.
	Exit struct{}
)

func (StartAttempt) isAction()     {}
func (CancelAttempt) isAction()    {}
func (FinishCompletion) isAction() {}
func (SendCall) isAction()         {}
func (FinishCall) isAction()       {}
func (SendMessage) isAction()      {}
func (ReadReport) isAction()       {}
func (WatchPlatform) isAction()    {}
func (SendOrder) isAction()        {}
func (FreeAllocation) isAction()   {}
func (WriteAudit) isAction()       {}
func (Exit) isAction()             {}
