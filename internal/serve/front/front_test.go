package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/serve/limit"
	"mustardhook/internal/serve/parts"
	"mustardhook/internal/serve/shell"
	"mustardhook/internal/wire/setup"
)

// Guards against an entry that has just started and tells callers that their organisation is
// unknown, before it has read any ticket.
func TestEntryWithoutTicketsIsUnavailable(t *testing.T) {
	settings := setup.Settings{}
	settings.Limits.BodyBytes = 1 << 10
	settings.Limits.CallBytes = 1 << 10
	handler := NewHandler(shell.NewShell(parts.NewCore(), settings), limit.NewBudget(1<<20))
	for _, path := range []string{"/v1/completions", "/services/crew-app/book"} {
		request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("{}"))
		request.Header.Set("Mustardhook-Organisation", "city-north")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		require.Equal(t, http.StatusServiceUnavailable, recorder.Code, recorder.Body.String())
		require.Equal(t, "1", recorder.Header().Get("Retry-After"))
	}
}

// Guards against bodies that together exceed the memory of an entry, or are cut without notice.
func TestBodiesStayWithinMemory(t *testing.T) {
	const total = 90_000
	budget := limit.NewBudget(total)
	read := func(size int, share *limit.Share) (int, string) {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
		body, problem := readBody(recorder, request, 20_000, share)
		if problem != nil {
			return problem.Status, problem.Name
		}
		require.Len(t, body, size)
		return http.StatusOK, ""
	}
	first, second := budget.NewShare(), budget.NewShare()
	status, _ := read(10_000, first)
	require.Equal(t, http.StatusOK, status)
	status, name := read(10_000, second)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, problemMemory, name)
	second.Release()
	first.Release()
	status, _ = read(30_000, second)
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	status, _ = read(10_000, second)
	require.Equal(t, http.StatusOK, status)
	second.Release()
	require.Equal(t, int64(total), budget.Free())
}

// Guards against a request that is admitted by one of two values of a field and runs with the other.
func TestFieldsWithUnlikeValuesAreRejected(t *testing.T) {
	settings := setup.Settings{}
	handler := NewHandler(shell.NewShell(parts.NewCore(), settings), limit.NewBudget(1<<20))
	for _, name := range singularHeaders {
		request := httptest.NewRequest(http.MethodPost, "/services/crew-app/book", strings.NewReader("{}"))
		request.Header[name] = []string{"5", "6"}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		require.Equal(t, http.StatusBadRequest, recorder.Code, name)
		require.Contains(t, recorder.Body.String(), name)
		request.Header[name] = []string{"5", "5"}
		recorder = httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		require.NotEqual(t, http.StatusBadRequest, recorder.Code, recorder.Body.String())
	}
}
