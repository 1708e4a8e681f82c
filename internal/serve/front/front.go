// Package front serves the callers' port: completions, chat completions and calls to
// plain services.
package front

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"mustardhook/internal/claim/keys"
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/serve/conns"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/serve/shell"
	"mustardhook/internal/wire/caller"
	"mustardhook/internal/wire/field"
)

const (
	bearerPrefix = "Bearer "
	// noTicketRetryAfter is the delay after which a caller should retry at an entry that has
	// no ticket yet.
	noTicketRetryAfter = 1 * clock.Second
	// noMemoryRetryAfter is the delay after which a caller should retry whose body found no memory.
	noMemoryRetryAfter = 1 * clock.Second
	// bodyCopies is how many times a request holds its body: as it came, decoded, and as it is sent.
	bodyCopies = 3

	problemNoTicket     = "noTicket"
	problemOrganisation = "unknownOrganisation"
	problemWrongKey     = "callerKeyWrong"
	problemHeader       = "headerInvalid"
	problemBody         = "bodyInvalid"
	problemBodySize     = "bodyTooLarge"
	problemMemory       = "noMemory"
	problemPath         = "pathUnknown"
	problemMethod       = "methodNotAllowed"
)

// singularHeaders are the fields that a request has once.
var singularHeaders = []string{"Authorization", caller.HeaderOrganisation, caller.HeaderDeadline, caller.HeaderIdempotencyKey}

type (
	// Handler is the HTTP handler of the callers' port.
	Handler struct {
		shell  *shell.Shell
		router *httprouter.Router
		// bodies bounds the bodies of all requests together.
		bodies *limit.Budget
	}

	// admittedRequest is a request from an authenticated caller with a valid deadline, which
	// is the time that the request may take.
	admittedRequest struct {
		name         ident.Request
		organisation ident.Organisation
		deadline     clock.Millis
	}
)

// NewHandler returns the handler of the callers' port for a shell. Requests take the memory of their
// bodies from the budget.
func NewHandler(s *shell.Shell, bodies *limit.Budget) *Handler {
	h := &Handler{shell: s, router: httprouter.New(), bodies: bodies}
	h.router.POST("/v1/completions", h.handlePrompt(false))
	h.router.POST("/v1/chat/completions", h.handlePrompt(true))
	h.router.GET("/v1/models", h.listModels)
	h.router.POST("/v1/keys", h.mintKey)
	h.router.GET("/healthz", h.health)
	h.router.GET("/readyz", h.ready)
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	}
	for _, method := range methods {
		h.router.Handle(method, "/services/:service/*path", h.handleCall)
	}
	h.router.NotFound = h.problemHandler(problemPath, http.StatusNotFound)
	h.router.MethodNotAllowed = h.problemHandler(problemMethod, http.StatusMethodNotAllowed)
	return h
}

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

func (h *Handler) problemHandler(name string, status int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conns.DropBody(w, r)
		writeProblem(w, caller.Problem{Name: name, Status: status, Detail: r.Method + " " + r.URL.Path})
	})
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusOK)
}

// mintKey answers with a new idempotency key whose home is the failure domain of this
// entry, so that calls with the key depend on no other failure domain.
func (h *Handler) mintKey(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	conns.DropBody(w, r)
	key := keys.Mint(h.shell.Settings().Domain, h.shell.Now(), rand.Uint64())
	w.Header().Set("Content-Type", caller.TypeJSON)
	_, _ = w.Write(caller.EncodeKey(key))
}

// ready reports to the load balancer whether the entry accepts new requests: it has a
// ticket and is not stopping.
func (h *Handler) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	status := http.StatusServiceUnavailable
	h.shell.ReadBoard(func(b *board.Board) {
		if !b.Stopping && b.State.Highest() > 0 {
			status = http.StatusOK
		}
	})
	w.WriteHeader(status)
}

func writeProblem(w http.ResponseWriter, problem caller.Problem) {
	w.Header().Set("Content-Type", caller.TypeProblem)
	if problem.RetryAfter > 0 {
		seconds := (problem.RetryAfter + clock.Second - 1) / clock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(problem.Status)
	// A write error only means that the caller has disconnected.
	_, _ = w.Write(caller.EncodeProblem(problem))
}

// setLength declares the length of an answer, without which a caller of HTTP/1.0 can't tell
// an answer that is cut off from a complete one.
func setLength(w http.ResponseWriter, body []byte) {
	if len(body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
}

// admit authenticates the caller and reads the deadline of the request. The problem is
// nil if the request is admitted.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, service ident.Service) (admittedRequest, *caller.Problem) {
	name := ident.Request(uuid.NewString())
	w.Header().Set(caller.HeaderRequest, string(name))
	if problem := checkSingular(r); problem != nil {
		conns.DropBody(w, r)
		problem.Request = name
		return admittedRequest{}, problem
	}
	organisation, problem := h.authenticate(r)
	if problem != nil {
		conns.DropBody(w, r)
		problem.Request = name
		return admittedRequest{}, problem
	}
	deadline, problem := h.readDeadline(r, organisation, service)
	if problem != nil {
		conns.DropBody(w, r)
		problem.Request = name
		return admittedRequest{}, problem
	}
	return admittedRequest{name, organisation.Name, deadline}, nil
}

// checkSingular returns a problem if a field that names or bounds the request has unlike values.
func checkSingular(r *http.Request) *caller.Problem {
	err := field.CheckSingular(r.Header, singularHeaders...)
	var ambiguous *field.AmbiguousError
	if !errors.As(err, &ambiguous) {
		return nil
	}
	return &caller.Problem{Name: problemHeader, Status: http.StatusBadRequest, Field: ambiguous.Name, Detail: "must not have several values"}
}

// authenticate returns the organisation that the request names in its header, or else
// the owner of its key. If the organisation has a key, the request must carry it.
func (h *Handler) authenticate(r *http.Request) (fleet.Organisation, *caller.Problem) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	digest := sha256.Sum256([]byte(key))
	hexDigest := hex.EncodeToString(digest[:])
	name := ident.Organisation(r.Header.Get(caller.HeaderOrganisation))
	var organisation fleet.Organisation
	hasTickets := false
	h.shell.ReadBoard(func(b *board.Board) {
		hasTickets = b.State.Highest() > 0
		if name == "" && key != "" {
			name = b.Index.KeyOwners[hexDigest]
		}
		organisation, _ = b.State.Organisation(name)
	})
	if !hasTickets {
		return organisation, &caller.Problem{
			Name: problemNoTicket, Status: http.StatusServiceUnavailable, RetryAfter: noTicketRetryAfter,
			Detail: "the entry has not read a ticket yet",
		}
	}
	if organisation.Name == "" {
		return organisation, &caller.Problem{
			Name: problemOrganisation, Status: http.StatusUnauthorized, Field: caller.HeaderOrganisation,
			Detail: "name a declared organisation by header, or send its key",
		}
	}
	if organisation.KeyDigest != "" && organisation.KeyDigest != hexDigest {
		return organisation, &caller.Problem{
			Name: problemWrongKey, Status: http.StatusForbidden, Field: "Authorization",
			Detail: "the key is not the organisation's",
		}
	}
	return organisation, nil
}

// readDeadline returns the time that the request may take. The header has precedence; a
// value over the maximum is rejected. Next come the deadlines of the service and of the
// organisation, capped at the maximum, and then the default of the settings.
func (h *Handler) readDeadline(
	r *http.Request, organisation fleet.Organisation, name ident.Service,
) (clock.Millis, *caller.Problem) {
	settings := h.shell.Settings().Core
	if text := r.Header.Get(caller.HeaderDeadline); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis < 1 || clock.Millis(millis) > settings.MaximalDeadline {
			return 0, &caller.Problem{
				Name: problemHeader, Status: http.StatusBadRequest, Field: caller.HeaderDeadline,
				Detail: "must be a whole number of milliseconds from 1 to " +
					strconv.FormatInt(int64(settings.MaximalDeadline), 10),
			}
		}
		return clock.Millis(millis), nil
	}
	var service fleet.Service
	h.shell.ReadBoard(func(b *board.Board) { service, _ = b.State.Service(name) })
	for _, timeout := range []clock.Millis{service.Deadline, organisation.Deadline} {
		if timeout > 0 {
			return min(timeout, settings.MaximalDeadline), nil
		}
	}
	return settings.DefaultDeadline, nil
}

// statusOf returns the HTTP status for the reason of a failure. The default is 503.
func statusOf(reason action.Reason) int {
	switch reason {
	case action.ReasonUnknownModel, action.ReasonUnknownAdapter, action.ReasonUnknownService:
		return http.StatusNotFound
	case action.ReasonPromptTooLong:
		return http.StatusRequestEntityTooLarge
	case action.ReasonDeadline:
		return http.StatusGatewayTimeout
	case action.ReasonEndpointFailed, action.ReasonAnswerLost:
		return http.StatusBadGateway
	case action.ReasonQuarantined, action.ReasonKeyMismatch:
		return http.StatusUnprocessableEntity
	case action.ReasonKeyBusy, action.ReasonClaimRefused, action.ReasonClaimDoubtful:
		return http.StatusConflict
	case action.ReasonKeyExpired:
		return http.StatusGone
	}
	return http.StatusServiceUnavailable
}
