package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	plainRequest = "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n"
	timeout      = 5 * time.Second
)

type (
	// gate holds reads that have bytes, or writes, of the server until it is opened.
	gate struct {
		reached chan struct{}
		opened  chan struct{}
	}

	gatedListener struct {
		net.Listener
		reads, writes *gate
	}

	gatedConn struct {
		*net.TCPConn
		reads, writes *gate
	}

	testServer struct {
		t       *testing.T
		tracker *Tracker
		server  *http.Server
		address string
		maxOpen int
		// listener is that of the tracker.
		listener net.Listener
	}
)

func newGate() *gate { return &gate{make(chan struct{}, 16), make(chan struct{})} }

func (g *gate) pass() {
	if g != nil {
		g.reached <- struct{}{}
		<-g.opened
	}
}

func (l gatedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{inner.(*net.TCPConn), l.reads, l.writes}, nil
}

func (c gatedConn) Read(buffer []byte) (int, error) {
	count, err := c.TCPConn.Read(buffer)
	if count > 0 {
		c.reads.pass()
	}
	return count, err
}

func (c gatedConn) Write(text []byte) (int, error) {
	c.writes.pass()
	return c.TCPConn.Write(text)
}

func startServer(t *testing.T, reads, writes *gate, handler http.HandlerFunc, configure ...func(*testServer)) *testServer {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &testServer{t: t, tracker: New(), server: &http.Server{Handler: handler, IdleTimeout: timeout}, address: inner.Addr().String()}
	for _, set := range configure {
		set(s)
	}
	s.tracker.Attach(s.server)
	if s.maxOpen == 0 {
		s.maxOpen = 1000
	}
	s.listener = s.tracker.Listen(gatedListener{inner, reads, writes}, s.maxOpen)
	var group sync.WaitGroup
	group.Go(func() { _ = s.server.Serve(s.listener) })
	t.Cleanup(func() {
		_ = s.server.Close()
		group.Wait()
	})
	return s
}

func (s *testServer) dial() (net.Conn, *bufio.Reader) {
	client, err := net.Dial("tcp4", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = client.Close() })
	require.NoError(s.t, client.SetDeadline(time.Now().Add(timeout)))
	return client, bufio.NewReader(client)
}

func send(t *testing.T, client net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(client, text)
	require.NoError(t, err)
}

// readAnswer reads one answer and returns its body.
func readAnswer(t *testing.T, reader *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response, string(body)
}

func requireClosed(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// finish starts to shut the server down.
func (s *testServer) finish() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var open *OpenError
	require.ErrorAs(s.t, s.tracker.Shutdown(ctx, s.listener), &open)
}

// wait reports whether all connections are closed within the duration.
func (s *testServer) wait(within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return s.tracker.wait(ctx)
}

// requireWaitsForWrite checks that a shutdown waits for the end of the answer, which the gate
// holds.
func (s *testServer) requireWaitsForWrite(writes *gate, reader *bufio.Reader) {
	s.t.Helper()
	<-writes.reached
	s.finish()
	require.False(s.t, s.wait(50*time.Millisecond))
	close(writes.opened)
	_, body := readAnswer(s.t, reader)
	require.Equal(s.t, "done", body)
	require.True(s.t, s.wait(timeout))
}

func (s *testServer) eventually(counts Counts) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.tracker.Open() == counts }, timeout, time.Millisecond, "%+v", counts)
}

func answerDone(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }

// Guards against a connection that is closed as idle when its next request was read but
// not parsed.
func TestRequestReadAsStopBeginsIsAnswered(t *testing.T) {
	reads := newGate()
	server := startServer(t, reads, nil, answerDone)
	client, reader := server.dial()
	send(t, client, plainRequest)
	<-reads.reached
	reads.opened <- struct{}{}
	readAnswer(t, reader)
	server.eventually(Counts{Idle: 1})
	send(t, client, plainRequest)
	<-reads.reached
	server.tracker.Retire()
	close(reads.opened)
	response, body := readAnswer(t, reader)
	require.Equal(t, "done", body)
	require.True(t, response.Close)
	requireClosed(t, reader)
	require.True(t, server.wait(timeout))
}

// Guards against a request that is dropped because it was parsed after the stop began.
func TestFirstRequestReadAsServerFinishesIsAnswered(t *testing.T) {
	reads := newGate()
	server := startServer(t, reads, nil, answerDone)
	client, reader := server.dial()
	send(t, client, plainRequest)
	<-reads.reached
	server.finish()
	close(reads.opened)
	_, body := readAnswer(t, reader)
	require.Equal(t, "done", body)
	require.True(t, server.wait(timeout))
}

// Guards against a process that exits between the end of a handler and the flush of its
// answer.
func TestWaitCoversAnswerThatIsNotFlushed(t *testing.T) {
	writes := newGate()
	handled := make(chan struct{})
	server := startServer(t, nil, writes, func(w http.ResponseWriter, r *http.Request) {
		answerDone(w, r)
		close(handled)
	})
	client, reader := server.dial()
	send(t, client, plainRequest)
	<-handled
	server.requireWaitsForWrite(writes, reader)
}

// Guards against a stream without its last chunk, which is written after its handler has
// returned.
func TestWaitCoversLastChunkOfStream(t *testing.T) {
	writes := newGate()
	server := startServer(t, nil, writes, func(w http.ResponseWriter, r *http.Request) {
		answerDone(w, r)
		_ = http.NewResponseController(w).Flush()
	})
	client, reader := server.dial()
	send(t, client, plainRequest)
	<-writes.reached
	writes.opened <- struct{}{}
	server.requireWaitsForWrite(writes, reader)
}

// Guards against a pipelined request that is cancelled because its connection was ended as
// idle, though the request was in the buffer of the server.
func TestBufferedRequestIsAnswered(t *testing.T) {
	flushed, proceed := make(chan struct{}), make(chan struct{})
	server := startServer(t, nil, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			select {
			case <-r.Context().Done():
			case <-time.After(50 * time.Millisecond):
				answerDone(w, r)
			}
			return
		}
		answerDone(w, r)
		_ = http.NewResponseController(w).Flush()
		close(flushed)
		<-proceed
	})
	client, reader := server.dial()
	send(t, client, plainRequest+"GET /second HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	<-flushed
	server.tracker.Retire()
	close(proceed)
	_, body := readAnswer(t, reader)
	require.Equal(t, "done", body)
	response, body := readAnswer(t, reader)
	require.Equal(t, "done", body)
	require.True(t, response.Close)
	require.True(t, server.wait(timeout))
}

// Guards against an idle connection that is closed while its caller sends the next request.
func TestAnnounceEndsConnectionsAfterTheirNextAnswer(t *testing.T) {
	server := startServer(t, nil, nil, answerDone)
	client, reader := server.dial()
	send(t, client, plainRequest)
	response, _ := readAnswer(t, reader)
	require.False(t, response.Close)
	server.eventually(Counts{Idle: 1})
	server.tracker.Announce()
	require.False(t, server.wait(50*time.Millisecond))
	send(t, client, plainRequest)
	response, body := readAnswer(t, reader)
	require.Equal(t, "done", body)
	require.True(t, response.Close)
	requireClosed(t, reader)
	require.True(t, server.wait(timeout))
}

func TestRetireEndsKeptConnectionsAndServesNewOnes(t *testing.T) {
	server := startServer(t, nil, nil, answerDone)
	kept, keptReader := server.dial()
	send(t, kept, plainRequest)
	response, _ := readAnswer(t, keptReader)
	require.False(t, response.Close)
	unused, unusedReader := server.dial()
	server.eventually(Counts{Unused: 1, Idle: 1})
	server.tracker.Retire()
	requireClosed(t, keptReader)
	server.eventually(Counts{Unused: 1})
	fresh, freshReader := server.dial()
	send(t, fresh, plainRequest)
	response, body := readAnswer(t, freshReader)
	require.Equal(t, "done", body)
	require.True(t, response.Close)
	send(t, unused, plainRequest)
	_, body = readAnswer(t, unusedReader)
	require.Equal(t, "done", body)
	require.True(t, server.wait(timeout))
}

func TestFinishEndsUnusedConnections(t *testing.T) {
	server := startServer(t, nil, nil, answerDone)
	_, reader := server.dial()
	server.eventually(Counts{Unused: 1})
	require.False(t, server.wait(0))
	server.finish()
	requireClosed(t, reader)
	require.True(t, server.wait(timeout))
}

// Guards against a caller that opens a connection early and whose first request is cut off,
// because the time for its head counted from the start of the connection.
func TestTimeForFirstHeadBeginsWithItsFirstByte(t *testing.T) {
	const headTime = 100 * time.Millisecond
	server := startServer(t, nil, nil, answerDone, func(s *testServer) { s.server.ReadHeaderTimeout = headTime })
	early, earlyReader := server.dial()
	slow, slowReader := server.dial()
	time.Sleep(2 * headTime)
	send(t, early, plainRequest[:3])
	time.Sleep(headTime / 2)
	send(t, early, plainRequest[3:])
	_, body := readAnswer(t, earlyReader)
	require.Equal(t, "done", body)
	send(t, slow, plainRequest[:20])
	sentAt := time.Now()
	_, err := io.Copy(io.Discard, slowReader)
	require.NoError(t, err)
	require.InDelta(t, headTime.Seconds(), time.Since(sentAt).Seconds(), headTime.Seconds()/2)
}

// Guards against a caller that sends its next request right after a stream that was open when
// the stop began, and meets a connection that is closed at once.
func TestRequestAfterUnannouncedAnswerIsAnswered(t *testing.T) {
	flushed, proceed := make(chan struct{}), make(chan struct{})
	server := startServer(t, nil, nil, func(w http.ResponseWriter, r *http.Request) {
		answerDone(w, r)
		if r.URL.Path == "/stream" {
			_ = http.NewResponseController(w).Flush()
			close(flushed)
			<-proceed
		}
	})
	client, reader := server.dial()
	send(t, client, "GET /stream HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	<-flushed
	server.tracker.Retire()
	close(proceed)
	readAnswer(t, reader)
	time.Sleep(unannouncedDelay / 4)
	send(t, client, plainRequest)
	response, body := readAnswer(t, reader)
	require.Equal(t, "done", body)
	require.True(t, response.Close)
	require.True(t, server.wait(timeout))
}
