package conns

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/serve/limit"
)

const (
	keptRequests = 200
	keptMemory   = 64 << 20
)

var keptRequest = "GET / HTTP/1.1\r\nHost: desk.example\r\nA: " + strings.Repeat("x", 500) + "\r\n\r\n"

// Guards against requests that are refused as too large since those before them, which were
// pipelined, still count as buffered.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	server := startServer(t, nil, nil, answerDone, withBudget(limit.NewBudget(keptMemory), Limits{HeadBytes: 16 << 10}))
	client, reader := server.dial()
	go func() { _, _ = io.WriteString(client, strings.Repeat(keptRequest, keptRequests)) }()
	for number := range keptRequests {
		response, _ := readAnswer(t, reader)
		require.Equal(t, http.StatusOK, response.StatusCode, "answer %d", number)
	}
}

// Guards against requests that are refused as too large since their first bytes were read during
// the answers before them.
func TestRequestsBegunDuringAnswersAreAnswered(t *testing.T) {
	server := startServer(t, nil, nil, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "4")
		_, _ = io.WriteString(w, "done")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(3 * time.Millisecond)
	}, withBudget(limit.NewBudget(keptMemory), Limits{HeadBytes: 16 << 10}))
	client, reader := server.dial()
	for number := range keptRequests {
		send(t, client, keptRequest)
		response, _ := readAnswer(t, reader)
		require.Equal(t, http.StatusOK, response.StatusCode, "answer %d", number)
	}
}

// Guards against the time of a head that goes on after an answer which no handler of the program gave.
func TestOptionsOfServerEndHead(t *testing.T) {
	const headTime = 100 * time.Millisecond
	budget := limit.NewBudget(testMemory)
	server := startServer(t, nil, nil, answerDone, withBudget(budget, Limits{HeadTime: headTime, IdleTime: timeout}))
	client, reader := server.dial()
	for range 2 {
		send(t, client, "OPTIONS * HTTP/1.1\r\nHost: desk.example\r\n\r\n")
		response, body := readAnswer(t, reader)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Empty(t, body)
		requireReleased(t, budget)
		server.eventually(Counts{Idle: 1})
		time.Sleep(2 * headTime)
	}
	send(t, client, plainRequest)
	_, body := readAnswer(t, reader)
	require.Equal(t, "done", body)
}

// Guards against an idle connection that ends at a full port though its caller may still reuse it.
func TestIdleConnectionAtFullPortIsReused(t *testing.T) {
	const idleTime = 3 * time.Second
	server := startServer(t, nil, nil, answerDone, func(s *testServer) {
		s.maxOpen = 2
		s.tracker.SetLimits(Limits{IdleTime: idleTime})
	})
	first, firstReader := server.dial()
	send(t, first, plainRequest)
	readAnswer(t, firstReader)
	second, secondReader := server.dial()
	send(t, second, plainRequest)
	readAnswer(t, secondReader)
	server.eventually(Counts{Idle: 2})
	waiting, waitingReader := server.dial()
	send(t, waiting, plainRequest)
	time.Sleep(idleTime / 2)
	send(t, first, plainRequest)
	response, body := readAnswer(t, firstReader)
	require.Equal(t, "done", body)
	require.True(t, response.Close, "a new connection waits for a place")
	readAnswer(t, waitingReader)
	send(t, second, plainRequest)
	response, body = readAnswer(t, secondReader)
	require.Equal(t, "done", body)
	require.False(t, response.Close)
	require.Zero(t, server.tracker.Refusals().GaveWay)
}

// Guards against an idle connection that gives way before its caller may no longer reuse it, or never.
func TestIdleConnectionGivesWayAfterItsReuse(t *testing.T) {
	const idleTime = 15 * time.Second
	tracker := New()
	tracker.SetLimits(Limits{IdleTime: idleTime})
	idleFor := func(duration time.Duration) *conn {
		return &conn{tracker: tracker, state: stateIdle, usedAt: time.Now().Add(-duration)}
	}
	require.False(t, idleFor(idleTime*4/5).isEndable())
	require.True(t, idleFor(idleTime*9/10).isEndable())
}

// Guards against a request that has arrived, but was not read since the process was paused, and whose
// connection ends in favour of others.
func TestArrivedRequestIsReadThoughConnectionGivesWay(t *testing.T) {
	const begin = 10
	for name, first := range map[string]int{"unused": 0, "head": begin} {
		t.Run(name, func(t *testing.T) {
			c, client := acceptOne(t)
			buffer := make([]byte, serverBufferBytes)
			if first > 0 {
				send(t, client, plainRequest[:first])
				_, err := io.ReadFull(c, buffer[:first])
				require.NoError(t, err)
			}
			send(t, client, plainRequest[first:])
			c.tracker.mutex.Lock()
			require.True(t, c.tracker.giveWay(c))
			c.tracker.mutex.Unlock()
			_, err := io.ReadFull(c, buffer[first:len(plainRequest)])
			require.NoError(t, err)
			require.True(t, c.endHead(headSize{len(plainRequest), 2}))
			time.Sleep(2 * arrivedTimeout)
			send(t, client, "x")
			_, err = c.Read(buffer[:1])
			require.NoError(t, err)
		})
	}
}

// Guards against a head that keeps its memory since its bytes come one by one.
func TestDribbledHeadGivesWay(t *testing.T) {
	c, client := acceptOne(t)
	go func() {
		for err := error(nil); err == nil; time.Sleep(arrivedTimeout / 10) {
			_, err = io.WriteString(client, "x")
		}
	}()
	buffer := make([]byte, serverBufferBytes)
	_, err := c.Read(buffer)
	require.NoError(t, err)
	c.tracker.mutex.Lock()
	require.True(t, c.tracker.giveWay(c))
	c.tracker.mutex.Unlock()
	startedAt := time.Now()
	for err == nil && time.Since(startedAt) < timeout {
		_, err = c.Read(buffer)
	}
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// acceptOne returns both ends of a tracked connection.
func acceptOne(t *testing.T) (*conn, net.Conn) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := New(WithMemory(limit.NewBudget(testMemory))).Listen(inner, 1)
	client, err := net.Dial("tcp4", inner.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _, _ = client.Close(), accepted.Close(), listener.Close() })
	return accepted.(*conn), client
}
