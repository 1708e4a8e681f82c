package conns

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/serve/limit"
)

const (
	testMemory = 1 << 20
	// leastMemory is the budget of an entry with the smallest memory setting.
	leastMemory = 4 << 20
)

func withBudget(budget *limit.Budget, limits Limits) func(*testServer) {
	return func(s *testServer) {
		s.tracker = New(WithMemory(budget))
		s.tracker.SetLimits(limits)
	}
}

func fields(count int) string { return strings.Repeat("a:\r\n", count) }

func requireReleased(t *testing.T, budget *limit.Budget) {
	t.Helper()
	require.Eventually(t, func() bool { return budget.Free() == testMemory }, timeout, time.Millisecond, "%d bytes free", budget.Free())
}

// Guards against a head over the limit, whether it ends or not, and against one that is refused
// without an answer.
func TestHeadOverLimitIsRefused(t *testing.T) {
	for name, rest := range map[string]string{"whole": "\r\n", "unfinished": ""} {
		t.Run(name, func(t *testing.T) {
			budget := limit.NewBudget(testMemory)
			server := startServer(t, nil, nil, answerDone, withBudget(budget, Limits{HeadBytes: 16 << 10}))
			client, reader := server.dial()
			send(t, client, "GET / HTTP/1.1\r\nHost: desk.example\r\nA: "+strings.Repeat("x", 30<<10)+"\r\n"+rest)
			response, _ := readAnswer(t, reader)
			require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
			require.Equal(t, int64(1), server.tracker.Refusals().TooLarge)
			requireReleased(t, budget)
		})
	}
}

// Guards against a request that is within the limit and refused, since its body was counted.
func TestBodyIsNoPartOfHead(t *testing.T) {
	budget := limit.NewBudget(leastMemory)
	server := startServer(t, nil, nil, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		answerDone(w, r)
	}, withBudget(budget, Limits{HeadBytes: 16 << 10}))
	client, reader := server.dial()
	body := strings.Repeat("x\n", 100_000)
	head := "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 200000\r\nA: " + strings.Repeat("x", 15<<10) + "\r\n\r\n"
	go func() { _, _ = io.WriteString(client, strings.Repeat(head+body, 3)) }()
	for range 3 {
		response, _ := readAnswer(t, reader)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Eventually(t, func() bool { return budget.Free() == leastMemory }, timeout, time.Millisecond)
}

// Guards against a body that holds memory as fields of the head with which it was read.
func TestBodyReadWithHeadHoldsNoMemory(t *testing.T) {
	const bodyBytes = 3900
	budget := limit.NewBudget(keptMemory)
	held := make(chan int64, 1)
	server := startServer(t, nil, nil, func(w http.ResponseWriter, r *http.Request) {
		held <- keptMemory - budget.Free()
		answerDone(w, r)
	}, withBudget(budget, Limits{HeadBytes: 16 << 10}))
	client, reader := server.dial()
	send(t, client, "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: "+strconv.Itoa(bodyBytes)+"\r\n\r\n"+strings.Repeat("\n", bodyBytes))
	readAnswer(t, reader)
	require.Less(t, <-held, int64(2*RequestBytes))
}

// Guards against many small fields, which take far more than their bytes, and against small
// requests that find no memory beside them.
func TestFieldsTakeMemory(t *testing.T) {
	budget := limit.NewBudget(testMemory)
	server := startServer(t, nil, nil, answerDone, withBudget(budget, Limits{HeadBytes: 64 << 10}))
	client, reader := server.dial()
	send(t, client, "GET / HTTP/1.1\r\nHost: desk.example\r\n"+fields(10_000)+"\r\n")
	response, _ := readAnswer(t, reader)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	requireClosed(t, reader)
	requireReleased(t, budget)
	client, reader = server.dial()
	send(t, client, "GET / HTTP/1.1\r\nHost: desk.example\r\n"+fields(1000)+"\r\n")
	response, _ = readAnswer(t, reader)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, int64(1), server.tracker.Refusals().NoMemory)
	requireReleased(t, budget)
}

// takeAll takes what is left of the budget, but for less than a small share.
func takeAll(budget *limit.Budget) (release func()) {
	var shares []*limit.Share
	for share := budget.NewShare(); share.Take(RequestBytes/2) == nil; share = budget.NewShare() {
		shares = append(shares, share)
	}
	return func() {
		for _, share := range shares {
			share.Release()
		}
	}
}

// Guards against a request that was refused and runs, with a part of its body as its head, once
// memory is free again.
func TestRefusedHeadNeverRuns(t *testing.T) {
	const bodyBytes = 2 * refusalBytes
	budget := limit.NewBudget(32 << 20)
	whole := budget.Free()
	ran := make(chan string, 1)
	writes := newGate()
	server := startServer(t, nil, writes, func(_ http.ResponseWriter, r *http.Request) { ran <- r.URL.Path },
		withBudget(budget, Limits{HeadBytes: 64 << 10}))
	client, reader := server.dial()
	send(t, client, "POST /refused HTTP/1.1\r\nHost: desk.example\r\nA: "+strings.Repeat("x", 2000))
	require.Eventually(t, func() bool { return budget.Free() < whole }, timeout, time.Millisecond)
	release := takeAll(budget)
	go func() {
		_, _ = io.WriteString(client, "x\r\nContent-Length: "+strconv.Itoa(bodyBytes)+"\r\n\r\n"+strings.Repeat("\n", bodyBytes))
	}()
	<-writes.reached
	release()
	close(writes.opened)
	response, _ := readAnswer(t, reader)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	server.eventually(Counts{})
	require.Empty(t, ran)
	require.Equal(t, int64(1), server.tracker.Refusals().NoMemory)
}

// Guards against requests in progress whose headers are not counted any more, also those that the
// server had read before they began.
func TestRequestHoldsMemoryUntilItsEnd(t *testing.T) {
	const count = 300
	budget := limit.NewBudget(testMemory)
	free := make(chan int64, 2)
	server := startServer(t, nil, nil, func(w http.ResponseWriter, r *http.Request) {
		free <- budget.Free()
		answerDone(w, r)
	}, withBudget(budget, Limits{}))
	client, reader := server.dial()
	request := "GET / HTTP/1.1\r\nHost: desk.example\r\n" + fields(count) + "\r\n"
	send(t, client, request+request)
	for range 2 {
		readAnswer(t, reader)
		require.LessOrEqual(t, <-free, int64(testMemory-RequestBytes-count*headLineBytes))
	}
	requireReleased(t, budget)
}

// Guards against a head that is prolonged by empty lines, or that begins with less than the server
// waits for.
func TestEmptyLinesDoNotProlongHead(t *testing.T) {
	const headTime = 200 * time.Millisecond
	post := "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0\r\n\r\n"
	for name, first := range map[string]string{"first": "", "next": post} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, nil, nil, answerDone, withBudget(limit.NewBudget(testMemory), Limits{HeadTime: headTime}))
			client, reader := server.dial()
			if first != "" {
				send(t, client, first)
				readAnswer(t, reader)
			}
			sentAt := time.Now()
			send(t, client, "\r")
			time.Sleep(headTime / 2)
			send(t, client, "\n")
			_, _ = io.Copy(io.Discard, reader)
			require.Less(t, time.Since(sentAt), timeout/2)
		})
	}
}

// Guards against limits of time that take effect at the next start only.
func TestChangedLimitsAreApplied(t *testing.T) {
	server := startServer(t, nil, nil, answerDone)
	client, reader := server.dial()
	server.tracker.SetLimits(Limits{HeadTime: timeout, IdleTime: 50 * time.Millisecond})
	send(t, client, plainRequest)
	readAnswer(t, reader)
	requireClosed(t, reader)
}

// Guards against a head that is cut off by the timeout of the server, though the limit in force is
// longer.
func TestLongerLimitOfHeadIsApplied(t *testing.T) {
	const serverTime = 50 * time.Millisecond
	server := startServer(t, nil, nil, answerDone, func(s *testServer) {
		s.server.ReadHeaderTimeout = serverTime
		s.tracker.SetLimits(Limits{HeadTime: timeout})
	})
	client, reader := server.dial()
	for range 2 {
		send(t, client, plainRequest[:8])
		time.Sleep(3 * serverTime)
		send(t, client, plainRequest[8:])
		_, body := readAnswer(t, reader)
		require.Equal(t, "done", body)
	}
}

// Guards against silent connections that take all places, and against the end of one that is in use
// in their stead.
func TestSilentConnectionGivesWay(t *testing.T) {
	proceed := make(chan struct{})
	server := startServer(t, nil, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			<-proceed
		}
		answerDone(w, r)
	}, func(s *testServer) { s.maxOpen = 3 })
	used, usedReader := server.dial()
	send(t, used, "GET /long HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	_, silent := server.dial()
	slow, _ := server.dial()
	send(t, slow, plainRequest[:5])
	server.eventually(Counts{Unused: 1, Busy: 2})
	for range 2 {
		client, reader := server.dial()
		send(t, client, plainRequest)
		_, body := readAnswer(t, reader)
		require.Equal(t, "done", body)
	}
	requireClosed(t, silent)
	require.Equal(t, int64(2), server.tracker.Refusals().GaveWay)
	close(proceed)
	_, body := readAnswer(t, usedReader)
	require.Equal(t, "done", body)
}

// Guards against slow heads that hold all memory: the slowest ones give way.
func TestSlowHeadGivesWay(t *testing.T) {
	const (
		fits = 31
		// memory is so large that a head with little text counts as small.
		memory = 8 << 20
	)
	begun := sizeOf([]byte(plainRequest[:5]))
	budget := limit.NewBudget(memory)
	for left := budget.Free() - fits*begun.memory(); left > 0; left -= RequestBytes {
		require.NoError(t, budget.NewShare().Take(min(left, RequestBytes)))
	}
	server := startServer(t, nil, nil, answerDone, withBudget(budget, Limits{}))
	for range fits {
		client, _ := server.dial()
		send(t, client, plainRequest[:5])
	}
	server.eventually(Counts{Busy: fits})
	require.Eventually(t, func() bool { return budget.Free() == 0 }, timeout, time.Millisecond)
	time.Sleep(minPatience)
	ordinary, reader := server.dial()
	send(t, ordinary, plainRequest)
	response, _ := readAnswer(t, reader)
	require.Equal(t, http.StatusOK, response.StatusCode)
	// An ordinary head takes a little more than a slow one holds.
	const ended = 2
	server.eventually(Counts{Busy: fits - ended, Idle: 1})
	require.Equal(t, Refusals{GaveWay: ended}, server.tracker.Refusals())
}
