package front

import (
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/wire/caller"
)

const (
	maxKeyLength = 255
)

// forwardedHeaders are the headers of the caller that are forwarded to a service.
var forwardedHeaders = []string{"Accept", "Accept-Language", "If-Match", "If-None-Match"}

// handleCall serves one call to a plain service.
func (h *Handler) handleCall(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	service := ident.Service(params.ByName("service"))
	request, problem := h.admit(w, r, service)
	if problem != nil {
		rejectCall(w, r, *problem)
		return
	}
	memory := h.bodies.NewShare()
	defer memory.Release()
	body, problem := readBody(w, r, h.shell.Settings().Limits.CallBytes, memory)
	if problem != nil {
		problem.Request = request.name
		rejectCall(w, r, *problem)
		return
	}
	key := r.Header.Get(caller.HeaderIdempotencyKey)
	if len(key) > maxKeyLength {
		rejectCall(w, r, caller.Problem{
			Name: problemHeader, Status: http.StatusBadRequest, Request: request.name, Field: caller.HeaderIdempotencyKey,
			Detail: "must have at most " + strconv.Itoa(maxKeyLength) + " characters",
		})
		return
	}
	result := h.shell.SubmitCall(event.CallAsked{
		Request: request.name, Organisation: request.organisation, Service: service, Key: key,
		Content: readContent(r, params.ByName("path"), body), Deadline: request.deadline,
	})
	writeResult(w, request, result)
}

// rejectCall answers a call that was rejected before it reached the core, so it was
// not sent to any endpoint. An earlier attempt with its key may have run.
func rejectCall(w http.ResponseWriter, r *http.Request, problem caller.Problem) {
	problem.Outcome = string(msgs.OutcomeNotRun)
	if r.Header.Get(caller.HeaderIdempotencyKey) != "" {
		problem.Outcome = string(msgs.OutcomeUnknown)
	}
	problem.NotSent = true
	w.Header().Set(caller.HeaderOutcome, problem.Outcome)
	writeProblem(w, problem)
}

func readContent(r *http.Request, path string, body []byte) msgs.Content {
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	content := msgs.Content{Method: r.Method, Path: path, Type: r.Header.Get("Content-Type"), Body: body}
	for _, name := range forwardedHeaders {
		if value := r.Header.Get(name); value != "" {
			content.Headers = append(content.Headers, msgs.Header{Name: name, Value: value})
		}
	}
	return content
}

func writeResult(w http.ResponseWriter, request admittedRequest, result msgs.Result) {
	w.Header().Set(caller.HeaderOutcome, string(result.Outcome))
	if result.Outcome != msgs.OutcomeDone {
		reason := action.Reason(result.Reason)
		writeProblem(w, caller.Problem{
			Name: result.Reason, Status: statusOf(reason), Request: request.name,
			Outcome: string(result.Outcome), NotSent: result.NotSent,
		})
		return
	}
	if result.Replayed {
		w.Header().Set(caller.HeaderReplayed, "true")
	}
	if result.Answer.Type != "" {
		w.Header().Set("Content-Type", result.Answer.Type)
	}
	setLength(w, result.Answer.Body)
	w.WriteHeader(result.Answer.Status)
	// A caller that has disconnected can retry with its idempotency key.
	_, _ = w.Write(result.Answer.Body)
}
