package mustardhook_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/fake/stack"
	"mustardhook/internal/tool/client"
	"mustardhook/internal/tool/demo"
	"mustardhook/internal/wire/admin"
	"mustardhook/internal/wire/caller"
	"mustardhook/internal/wire/faults"
	"mustardhook/internal/wire/setup"
)

const (
	// callDelay is the time that the service takes for a call in the tests of planned work.
	callDelay = 1500
	// answerTimeout is the time after which a caller gives up.
	answerTimeout = 40 * time.Second
)

type (
	// rawCaller is a connection of a caller to one entry, written byte by byte.
	rawCaller struct {
		t      *testing.T
		conn   net.Conn
		reader *bufio.Reader
	}

	// received is the answer that a caller got. err is set if the connection ended before
	// the answer was complete.
	received struct {
		status  int
		header  http.Header
		body    string
		problem string
		notSent bool
		// closes reports that the entry announced the end of the connection.
		closes bool
		err    error
	}

	// plannedRequest is a request that has been accepted when planned work begins. finish
	// sends what is left of it and returns its answer.
	plannedRequest struct {
		row    string
		finish func() received
	}

	// plannedWork is one kind of planned work. outcomes holds the allowed outcomes of the
	// rows that do not end with a complete answer.
	plannedWork struct {
		name     string
		begin    func(t *testing.T, s *stack.Cluster)
		outcomes map[string][]string
	}
)

func dialEntry(t *testing.T, entry *stack.Entry) *rawCaller {
	conn, err := net.Dial("tcp", entry.Settings.Callers.Address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(answerTimeout)))
	return &rawCaller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// send writes bytes. A write error shows when the answer is read.
func (c *rawCaller) send(text string) { _, _ = io.WriteString(c.conn, text) }

// receive reads one answer to its end.
func (c *rawCaller) receive() received {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return received{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	got := received{status: response.StatusCode, header: response.Header, body: string(body), closes: response.Close, err: err}
	if response.Header.Get("Content-Type") == caller.TypeProblem {
		problem := caller.DecodeProblem(body)
		got.problem, got.notSent = problem.Name, problem.NotSent
	}
	return got
}

// ask sends a request and reads its answer.
func (c *rawCaller) ask(text string) received {
	c.send(text)
	return c.receive()
}

// outcome describes the answer in one word: complete, done, notRun, unknown, the name of a
// problem, or cut if the connection ended before the end of an answer.
func (r received) outcome() string {
	streamed := r.header.Get("Content-Type") == caller.TypeEvents
	switch outcome := r.header.Get(caller.HeaderOutcome); {
	case r.err != nil:
		return "cut: " + r.err.Error()
	case outcome != "":
		return outcome
	case r.problem != "":
		return r.problem
	case streamed && strings.HasSuffix(r.body, "data: [DONE]\n\n"):
		return "complete"
	case streamed:
		return streamProblem(r.body)
	case r.status == http.StatusOK:
		return "complete"
	}
	return fmt.Sprintf("status %d", r.status)
}

// streamProblem returns the name of the problem that ends a stream.
func streamProblem(body string) string {
	lines := strings.Split(strings.TrimSpace(body), "\n")
	data, isData := strings.CutPrefix(lines[len(lines)-1], "data: ")
	chunk, err := caller.DecodeChunk([]byte(data))
	if !isData || err != nil || chunk.Problem == "" {
		return "cut: stream without an end"
	}
	return chunk.Problem
}

func requestText(method, path, body string, headers ...string) string {
	lines := append([]string{
		method + " " + path + " HTTP/1.1", "Host: entry", caller.HeaderOrganisation + ": " + stack.OrganisationName,
		fmt.Sprintf("Content-Length: %d", len(body)),
	}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func promptText(t *testing.T, tokens, answer int, stream bool, word string, headers ...string) string {
	body, err := json.Marshal(map[string]any{
		"model": stack.ModelName, "prompt": demo.MakePrompt(tokens, word), "max_tokens": answer, "stream": stream,
	})
	require.NoError(t, err)
	return requestText(http.MethodPost, "/v1/completions", string(body), headers...)
}

func callText(method, key string) string {
	headers := []string{}
	if key != "" {
		headers = append(headers, caller.HeaderIdempotencyKey+": "+key)
	}
	return requestText(method, "/services/"+stack.ServiceName+"/book", "body of "+key, headers...)
}

// startRequests brings one request into each state in which an accepted request can be at
// an entry. Every connection but that of the row "head of a new connection" has already
// carried an answer.
func startRequests(t *testing.T, s *stack.Cluster) []plannedRequest {
	var all []plannedRequest
	add := func(row string, entry int, now, later string) {
		c := dialEntry(t, s.Entries[entry])
		if row != "head of a new connection" {
			require.Equal(t, http.StatusOK, c.ask(requestText(http.MethodGet, "/healthz", "")).status)
		}
		c.send(now)
		all = append(all, plannedRequest{row: row, finish: func() received { return c.ask(later) }})
	}
	split := func(row, text, at string) {
		index := strings.Index(text, at)
		add(row, 0, text[:index], text[index:])
	}
	split("head of a new connection", promptText(t, 100, 3, false, "head"), "Host:")
	split("head of a kept connection", promptText(t, 100, 3, false, "kept"), "Host:")
	split("body of a prompt", promptText(t, 100, 3, true, "body"), "max_tokens")
	split("body of a call", callText(http.MethodPost, "half"), "of half")
	add("prompt in prefill", 0, promptText(t, 30_000, 3, false, "long"), "")
	add("prompt being answered", 0, promptText(t, 100, 40, false, "decode"), "")
	add("open stream", 0, promptText(t, 100, 40, true, "stream"), "")
	add("call with a key", 0, callText(http.MethodPost, "keyed"), "")
	add("call without a key", 0, callText(http.MethodPost, ""), "")
	add("call that may be repeated", 0, callText(http.MethodGet, ""), "")
	add("call forwarded here", 1, callText(http.MethodPost, "forwarded"), "")
	waitForRuns(t, s, 4)
	require.Eventually(t, func() bool { return s.Engines[0].Server.Runs() == 3 }, 5*time.Second, 5*time.Millisecond)
	s.Engines[0].Server.SetFaults(faults.Engine{Refuse: true})
	add("prompt waiting for an engine", 0, promptText(t, 100, 3, false, "wait", caller.HeaderDeadline+": 6000"), "")
	require.Eventually(t, func() bool { return statusOf(t, s, 0).Prompts == 4 }, 5*time.Second, 5*time.Millisecond)
	return all
}

// waitForRuns waits until the service has run a number of calls.
func waitForRuns(t *testing.T, s *stack.Cluster, runs int) {
	before := 1 // the call that shows that bookings work
	require.Eventually(t, func() bool { return s.Ledger.TotalRuns() == before+runs }, 5*time.Second, 5*time.Millisecond)
}

func statusOf(t *testing.T, s *stack.Cluster, i int) admin.Status {
	response, err := http.Get("http://" + s.Entries[i].Settings.Operators.Address + admin.PathStatus)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	status, err := admin.DecodeStatus(text)
	require.NoError(t, err)
	return status
}

// startPlanned starts a cluster with two entries, of which the first one dispatches all
// calls, and waits until both can book.
func startPlanned(t *testing.T, spec stack.Spec) *stack.Cluster {
	spec.Entries, spec.Engines, spec.Services = 2, 1, 1
	s := startCluster(t, spec)
	c := client.New(stack.OrganisationName)
	require.Eventually(t, func() bool {
		reply, err := c.SendCall(context.Background(), s.Entries[1].URL(""),
			client.Call{Method: http.MethodPost, Path: "/services/" + stack.ServiceName + "/book", Key: "probe", Body: "probe", Deadline: 2000})
		return err == nil && reply.Outcome == "done"
	}, 20*time.Second, 50*time.Millisecond)
	s.Services[0].Server.SetFaults(faults.Service{Delay: callDelay})
	return s
}

func stopInBackground(t *testing.T, entry *stack.Entry) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		entry.Stop()
	}()
	t.Cleanup(func() { <-stopped })
	return stopped
}

// stopEntry stops the entry with the index in the background, and returns once it refuses
// new requests.
func stopEntry(t *testing.T, s *stack.Cluster, i int) <-chan struct{} {
	stopped := stopInBackground(t, s.Entries[i])
	require.Eventually(t, func() bool { return statusOf(t, s, i).Stopping }, 5*time.Second, time.Millisecond)
	return stopped
}

func drainEntry(t *testing.T, entry *stack.Entry) {
	response, err := http.Post("http://"+entry.Settings.Operators.Address+admin.PathDrain, "", nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusAccepted, response.StatusCode)
}

func removal(kind, name string) string {
	return fmt.Sprintf(`"removed": [{"kind": %q, "name": %q}]`, kind, name)
}

func publishAndWait(body func(*stack.Cluster) string) func(*testing.T, *stack.Cluster) {
	return func(t *testing.T, s *stack.Cluster) {
		number := s.PublishTicket(body(s))
		for i := range s.Entries {
			require.Eventually(t, func() bool { return statusOf(t, s, i).HighestTicket >= number }, 11*time.Second, 5*time.Millisecond)
		}
	}
}

// Planned work that interrupts an accepted request ends it without an answer (LOST). Each
// request must get its complete answer or a typed outcome, wherever it was when the planned
// work began.
func TestPlannedWorkAnswersAcceptedRequests(t *testing.T) {
	late := []string{"entryStopping"}
	lateRows := map[string][]string{
		"head of a new connection": late, "head of a kept connection": late, "body of a prompt": late,
		"body of a call": {"unknown"},
	}
	rejected := func(problem string) map[string][]string {
		return map[string][]string{
			"head of a new connection": {problem}, "head of a kept connection": {problem},
		}
	}
	removed := func(kind, name string) func(*testing.T, *stack.Cluster) {
		return publishAndWait(func(*stack.Cluster) string { return removal(kind, name) })
	}
	kinds := []plannedWork{
		{"stop", func(t *testing.T, s *stack.Cluster) { stopEntry(t, s, 0) }, lateRows},
		{"drain request", func(t *testing.T, s *stack.Cluster) { drainEntry(t, s.Entries[0]) }, lateRows},
		{"drain request and stop", func(t *testing.T, s *stack.Cluster) {
			drainEntry(t, s.Entries[0])
			stopInBackground(t, s.Entries[0])
		}, lateRows},
		{"stop of the entry that forwarded a call", func(t *testing.T, s *stack.Cluster) { stopEntry(t, s, 1) }, nil},
		{"stop of both entries", func(t *testing.T, s *stack.Cluster) {
			stopEntry(t, s, 0)
			stopEntry(t, s, 1)
		}, lateRows},
		{"engine listed as leaving", func(t *testing.T, s *stack.Cluster) {
			s.Platform.SetInstance(event.Instance{Name: string(s.Engines[0].Name), Domain: s.Engines[0].Domain, Leaving: true})
			require.Eventually(t, func() bool { return statusOf(t, s, 0).Endpoints[0].Leaving }, 11*time.Second, 5*time.Millisecond)
		}, map[string][]string{
			"head of a new connection": {"noEndpoint"}, "head of a kept connection": {"noEndpoint"},
			"body of a prompt": {"noEndpoint"}, "prompt waiting for an engine": {"deadlineExceeded"},
		}},
		{"engine leaves", publishAndWait(func(s *stack.Cluster) string {
			return `"endpoints": [` + s.Engines[0].Declaration(fleet.PhaseLeaving) + `]`
		}), map[string][]string{
			"head of a new connection": {"noEndpoint"}, "head of a kept connection": {"noEndpoint"},
			"body of a prompt": {"noEndpoint"}, "prompt waiting for an engine": {"deadlineExceeded"},
		}},
		{"engine removed", removed("endpoint", "engine-0"), map[string][]string{
			"head of a new connection": {"noEndpoint"}, "head of a kept connection": {"noEndpoint"},
			"body of a prompt": {"noEndpoint"}, "prompt waiting for an engine": {"deadlineExceeded"},
		}},
		{"model removed", removed("model", stack.ModelName), map[string][]string{
			"head of a new connection": {"unknownModel"}, "head of a kept connection": {"unknownModel"},
			"body of a prompt": {"unknownModel"}, "prompt waiting for an engine": {"unknownModel"},
		}},
		{"service removed", removed("service", stack.ServiceName), map[string][]string{"body of a call": {"unknown"}}},
		{"service endpoint removed", removed("endpoint", "service-0"), map[string][]string{"body of a call": {"unknown"}}},
		{"organisation removed", removed("organisation", stack.OrganisationName), rejected("unknownOrganisation")},
		{"key changed", publishAndWait(func(*stack.Cluster) string {
			return fmt.Sprintf(`"organisations": [{"name": %q, "share": 0.5, "keyDigest": %q}]`,
				stack.OrganisationName, strings.Repeat("ab", 32))
		}), rejected("callerKeyWrong")},
	}
	for _, work := range kinds {
		t.Run(work.name, func(t *testing.T) {
			t.Parallel()
			s := startPlanned(t, stack.Spec{})
			requests := startRequests(t, s)
			work.begin(t, s)
			if work.outcomes["prompt waiting for an engine"] == nil {
				s.Engines[0].Server.SetFaults(faults.Engine{})
			}
			finishRequests(t, requests, work.outcomes)
		})
	}
}

// finishRequests finishes all requests at once and checks what their callers got.
func finishRequests(t *testing.T, requests []plannedRequest, outcomes map[string][]string) {
	answers := make([]received, len(requests))
	var group sync.WaitGroup
	for i, request := range requests {
		group.Go(func() { answers[i] = request.finish() })
	}
	group.Wait()
	for i, request := range requests {
		allowed := outcomes[request.row]
		if allowed == nil {
			allowed = []string{"complete", "done"}
		}
		t.Logf("%s: %s", request.row, answers[i].outcome())
		if !slices.Contains(allowed, answers[i].outcome()) {
			t.Errorf("%s: got %s, want %v", request.row, answers[i].outcome(), allowed)
		}
		if request.row == "body of a call" && answers[i].outcome() == "unknown" && !answers[i].notSent {
			t.Errorf("%s: the problem does not say that the attempt was not sent", request.row)
		}
	}
}

// stopIdle stops the first entry of a cluster and waits until it accepts no connections.
func stopIdle(t *testing.T, s *stack.Cluster) {
	stopInBackground(t, s.Entries[0])
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", s.Entries[0].Settings.Callers.Address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, 5*time.Second, time.Millisecond)
}

// A stopping entry dropped a request whose last byte it read after it had begun to close its
// ports, without an answer (LOST).
func TestStopAnswersRequestReadWhileClosing(t *testing.T) {
	text := promptText(t, 100, 3, false, "late")
	for _, kept := range []bool{false, true} {
		for _, part := range []string{"Host:", "max_tokens"} {
			t.Run(fmt.Sprintf("kept=%t part=%s", kept, part), func(t *testing.T) {
				t.Parallel()
				s := startCluster(t, stack.Spec{Entries: 1, Engines: 1})
				c := dialEntry(t, s.Entries[0])
				if kept {
					require.Equal(t, http.StatusOK, c.ask(requestText(http.MethodGet, "/healthz", "")).status)
				}
				index := strings.Index(text, part)
				c.send(text[:index])
				time.Sleep(50 * time.Millisecond)
				stopIdle(t, s)
				time.Sleep(50 * time.Millisecond)
				got := c.ask(text[index:])
				require.Equal(t, "entryStopping", got.outcome())
				require.Equal(t, http.StatusServiceUnavailable, got.status)
			})
		}
	}
}

// A stopping entry closed kept connections that net/http counted as idle although the next
// request on them had been read, without an answer (LOST).
func TestStopAnswersRequestsOnKeptConnections(t *testing.T) {
	const callers = 64
	s := startCluster(t, stack.Spec{Entries: 1, Engines: 1})
	text := requestText(http.MethodGet, "/v1/models", "")
	var mutex sync.Mutex
	var lost []error
	var answered atomic.Int64
	var group sync.WaitGroup
	for range callers {
		c := dialEntry(t, s.Entries[0])
		group.Go(func() {
			for {
				got := c.ask(text)
				if got.err != nil {
					mutex.Lock()
					defer mutex.Unlock()
					lost = append(lost, got.err)
					return
				}
				answered.Add(1)
				if got.closes {
					return
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	stopped := stopInBackground(t, s.Entries[0])
	group.Wait()
	<-stopped
	t.Logf("%d requests answered", answered.Load())
	require.Empty(t, lost, "callers without an answer")
}

// A stop had no limit, so that a platform which kills a process after a grace period cut off
// the requests that were still in flight, without an answer (LOST).
func TestStopTimeoutAnswersAcceptedRequests(t *testing.T) {
	const limit = 300 * time.Millisecond
	s := startPlanned(t, stack.Spec{EditSettings: func(settings *setup.Settings) {
		settings.Core.StopTimeout = clock.FromDuration(limit)
	}})
	requests := startRequests(t, s)
	began := time.Now()
	stopped := stopEntry(t, s, 0)
	outcomes := map[string][]string{
		"body of a call": {"unknown"}, "call with a key": {"unknown"}, "call without a key": {"unknown"},
		"call that may be repeated": {"unknown"}, "call forwarded here": {"unknown"},
	}
	for _, request := range requests {
		if outcomes[request.row] == nil {
			outcomes[request.row] = []string{"entryStopping"}
		}
	}
	finishRequests(t, requests, outcomes)
	<-stopped
	require.Less(t, time.Since(began), limit+7*time.Second)
}

// An answer without a length to a caller of HTTP/1.0 looked complete when its connection was
// cut off.
func TestAnswersDeclareTheirLength(t *testing.T) {
	s := startPlanned(t, stack.Spec{})
	for _, text := range []string{promptText(t, 100, 3, false, "length"), callText(http.MethodPost, "length")} {
		got := dialEntry(t, s.Entries[0]).ask(strings.Replace(text, "HTTP/1.1", "HTTP/1.0", 1))
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, strconv.Itoa(len(got.body)), got.header.Get("Content-Length"))
	}
}

// A call that had run was reported as notRun when its resend came after a ticket had removed
// the organisation, or changed its key.
func TestRejectedResendIsNotReportedAsNotRun(t *testing.T) {
	s := startPlanned(t, stack.Spec{})
	ask := func(text string) received { return dialEntry(t, s.Entries[0]).ask(text) }
	require.Equal(t, "done", ask(callText(http.MethodPost, "resent")).outcome())
	require.Equal(t, 1, s.Ledger.Runs("resent"))
	publishAndWait(func(*stack.Cluster) string { return removal("organisation", stack.OrganisationName) })(t, s)
	got := ask(callText(http.MethodPost, "resent"))
	require.Equal(t, "unknownOrganisation", got.problem)
	require.Equal(t, "unknown", got.outcome())
	require.True(t, got.notSent)
	got = ask(callText(http.MethodPost, ""))
	require.Equal(t, "notRun", got.outcome(), "without a key there is no earlier attempt")
}
