// Package front serves the callers' port: completions, chat completions and
// calls of plain services.
package front

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"mustardhook/internal/claim/keys"
	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/serve/shell"
	"mustardhook/internal/wire/caller"
)

const (
	bearerPrefix = "Bearer "

	problemOrganisation = "unknownOrganisation"
	problemKey          = "callerKeyWrong"
	problemHeader       = "headerInvalid"
	problemBody         = "bodyInvalid"
	problemBodySize     = "bodyTooLarge"
	problemPath         = "pathUnknown"
	problemMethod       = "methodNotAllowed"
)

type (
	// Front handles the requests of callers.
	Front struct {
		shell  *shell.Shell
		router *httprouter.Router
	}

	// admitted is a request whose caller and deadline are known.
	admitted struct {
		name         ident.Request
		organisation ident.Organisation
		deadline     clock.Millis
	}
)

// NewFront returns the handler of the callers' port.
func NewFront(s *shell.Shell) *Front {
	f := &Front{shell: s, router: httprouter.New()}
	f.router.POST("/v1/completions", f.prompt(false))
	f.router.POST("/v1/chat/completions", f.prompt(true))
	f.router.GET("/v1/models", f.models)
	f.router.POST("/v1/keys", f.mint)
	f.router.GET("/healthz", f.health)
	f.router.GET("/readyz", f.ready)
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	}
	for _, method := range methods {
		f.router.Handle(method, "/services/:service/*path", f.call)
	}
	f.router.NotFound = f.refuseWith(problemPath, http.StatusNotFound)
	f.router.MethodNotAllowed = f.refuseWith(problemMethod, http.StatusMethodNotAllowed)
	return f
}

// ServeHTTP handles one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.router.ServeHTTP(w, r) }

func (f *Front) refuseWith(name string, status int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, caller.Problem{Name: name, Status: status, Detail: r.Method + " " + r.URL.Path})
	})
}

func (f *Front) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.WriteHeader(http.StatusOK)
}

// mint makes an idempotency key whose home is this entry's failure domain, so
// that its calls need no other one.
func (f *Front) mint(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	key := keys.Mint(f.shell.Settings().Domain, f.shell.Now(), rand.Uint64())
	w.Header().Set("Content-Type", caller.TypeJSON)
	_, _ = w.Write(caller.EncodeKey(key))
}

// ready tells the balancer whether new requests may come.
func (f *Front) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	status := http.StatusServiceUnavailable
	f.shell.Look(func(b *board.Board) {
		if !b.Stopping && b.State.Highest() > 0 {
			status = http.StatusOK
		}
	})
	w.WriteHeader(status)
}

func refuse(w http.ResponseWriter, problem caller.Problem) {
	w.Header().Set("Content-Type", caller.TypeProblem)
	if problem.RetryAfter > 0 {
		seconds := (problem.RetryAfter + clock.Second - 1) / clock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(problem.Status)
	// A caller that has gone can't be told.
	_, _ = w.Write(caller.EncodeProblem(problem))
}

// admit finds out who calls and how much time the request has. A nil problem
// means that the request may go on.
func (f *Front) admit(w http.ResponseWriter, r *http.Request, service ident.Service) (admitted, *caller.Problem) {
	name := ident.Request(uuid.NewString())
	w.Header().Set(caller.HeaderRequest, string(name))
	organisation, problem := f.authenticate(r)
	if problem != nil {
		problem.Request = name
		return admitted{}, problem
	}
	deadline, problem := f.deadline(r, organisation, service)
	if problem != nil {
		problem.Request = name
		return admitted{}, problem
	}
	return admitted{name, organisation.Name, deadline}, nil
}

func (f *Front) authenticate(r *http.Request) (fleet.Organisation, *caller.Problem) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	digest := sha256.Sum256([]byte(key))
	wanted := hex.EncodeToString(digest[:])
	named := ident.Organisation(r.Header.Get(caller.HeaderOrganisation))
	var found fleet.Organisation
	f.shell.Look(func(b *board.Board) {
		if named == "" && key != "" {
			named = b.Index.KeyOwners[wanted]
		}
		found, _ = b.State.Organisation(named)
	})
	if found.Name == "" {
		return found, &caller.Problem{
			Name: problemOrganisation, Status: http.StatusUnauthorized, Field: caller.HeaderOrganisation,
			Detail: "name a declared organisation by header, or send its key",
		}
	}
	if found.KeyDigest != "" && found.KeyDigest != wanted {
		return found, &caller.Problem{
			Name: problemKey, Status: http.StatusForbidden, Field: "Authorization",
			Detail: "the key is not the organisation's",
		}
	}
	return found, nil
}

// deadline takes the first of header, organisation, service and settings that
// names a time, and bounds it.
func (f *Front) deadline(
	r *http.Request, organisation fleet.Organisation, name ident.Service,
) (clock.Millis, *caller.Problem) {
	settings := f.shell.Settings().Core
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
	f.shell.Look(func(b *board.Board) { service, _ = b.State.Service(name) })
	for _, span := range []clock.Millis{service.Deadline, organisation.Deadline} {
		if span > 0 {
			return min(span, settings.MaximalDeadline), nil
		}
	}
	return settings.DefaultDeadline, nil
}

// statusOf maps the reason of a failure to an HTTP status.
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
