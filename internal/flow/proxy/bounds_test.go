package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"mustardhook/internal/fake/ports"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/newspb"
	"mustardhook/internal/flow/port"
	"mustardhook/internal/flow/setup"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/serve/logs"
)

const (
	testMemoryMegabytes = 16
	// testTimeout is shorter than a read to the end of an endless body would take.
	testTimeout = 20 * time.Second
)

// testDialect is a dialect for orders and reports. It can't read the requests of callers.
type testDialect struct{ port.Dialect }

func (testDialect) ReadRequest(*http.Request) (call.Request, error) {
	return call.Request{}, http.ErrNotSupported
}

func (testDialect) Order(call.LeaseOrder) (string, []byte, error) { return "/order", nil, nil }
func (testDialect) ReportPath() string                            { return "/report" }
func (testDialect) ReadPace([]byte) (float64, error)              { return 1, nil }

func newTestProxy(t *testing.T) *Proxy {
	p := New(Config{
		Settings: setup.Settings{Limits: setup.Limits{MemoryMegabytes: testMemoryMegabytes, Descriptors: 400}},
		Dialect:  testDialect{}, Logger: logs.Discard(),
	})
	t.Cleanup(func() {
		p.cancel()
		p.goroutines.Wait()
	})
	return p
}

// listenForTest opens a port of the proxy and returns its address.
func listenForTest(t *testing.T, p *Proxy, name string, handler http.Handler) string {
	addresses, err := ports.Allocate(1)
	require.NoError(t, err)
	server, _, err := p.listen(name, addresses[0], handler)
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return addresses[0]
}

// startEndless starts a server whose response bodies have no end, and returns its address.
func startEndless(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		for piece := strings.Repeat(" ", 1<<16); ; {
			if _, err := io.WriteString(w, piece); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against an answer to an order without end that counts as the grant of a lease.
func TestEndlessAnswerToOrderIsNoGrant(t *testing.T) {
	t.Parallel()
	s := &session{proxy: newTestProxy(t)}
	err := s.sendOrder(t.Context(), call.Helper{Address: startEndless(t), Lease: "l1"}, 100)
	var exceeded *limit.ExceededError
	require.ErrorAs(t, err, &exceeded)
}

// Guards against a report without end whose first part is read as the whole.
func TestEndlessReportIsRejected(t *testing.T) {
	t.Parallel()
	_, err := newTestProxy(t).fetchPace(startEndless(t))
	var exceeded *limit.ExceededError
	require.ErrorAs(t, err, &exceeded)
}

// Guards against published state without end that is read into memory until the timeout.
func TestEndlessPublishedStateIsRejected(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	client := newspb.NewShareProtobufClient("http://"+startEndless(t), NewClient())
	_, err := client.GetPublished(ctx, &newspb.PublishedAsk{})
	var exceeded *limit.ExceededError
	require.ErrorAs(t, err, &exceeded)
}

// Guards against a head of a response without end: the call fails long before the default
// limit of net/http.
func TestEndlessHeadOfResponseIsRejected(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("A", strings.Repeat("x", 200<<10))
	}))
	t.Cleanup(server.Close)
	_, err := NewClient().Get(server.URL)
	require.ErrorContains(t, err, "exceeded")
}

// Guards against a message from another entry without end that is read into memory.
func TestEndlessPeerRequestIsRejected(t *testing.T) {
	t.Parallel()
	p := newTestProxy(t)
	address := listenForTest(t, p, "control", p.peerHandler())
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	go func() {
		_, err := io.WriteString(conn, "POST "+newspb.SharePathPrefix+"GetPublished HTTP/1.1\r\nHost: e\r\n"+
			"Content-Type: application/protobuf\r\nTransfer-Encoding: chunked\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(conn, "400\r\n"+strings.Repeat("x", 1024)+"\r\n")
		}
	}()
	requireRejected(t, conn)
}

// Guards against a message from another entry that arrives byte by byte and occupies its
// connection without end.
func TestDribbledPeerRequestIsRejected(t *testing.T) {
	t.Parallel()
	p := newTestProxy(t)
	address := listenForTest(t, p, "control", p.peerHandler())
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(2*controlTimeout)))
	go func() {
		_, err := io.WriteString(conn, "POST "+newspb.SharePathPrefix+"GetPublished HTTP/1.1\r\nHost: e\r\n"+
			"Content-Type: application/protobuf\r\nContent-Length: 10000\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(conn, "x")
			time.Sleep(100 * time.Millisecond)
		}
	}()
	requireRejected(t, conn)
}

// Guards against a receive buffer so small that uploads over a long way are slow, and against one
// without a bound.
func TestReceiveBufferIsBounded(t *testing.T) {
	config := net.ListenConfig{Control: boundReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	text, err := os.ReadFile("/proc/sys/net/core/rmem_max")
	require.NoError(t, err)
	most, err := strconv.Atoi(strings.TrimSpace(string(text)))
	require.NoError(t, err)
	raw, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	var set int
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		set, err = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF)
	}))
	require.NoError(t, err)
	require.Equal(t, 2*min(256<<10, most), set, "Linux doubles it")
}

// takeAll takes the memory of a budget in small shares.
func takeAll(budget *limit.Budget) {
	isFull := false
	for !isFull {
		isFull = budget.NewShare().Take(1<<10) != nil
	}
}

// Guards against bodies that leave no memory to the heads of other requests.
func TestBodiesLeaveMemoryToHeads(t *testing.T) {
	p := newTestProxy(t)
	takeAll(p.bodyMemory)
	address := listenForTest(t, p, callersPort, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	response, err := http.Get("http://" + address)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against a body of the default limit that finds no memory though no other request is there.
func TestLargestBodyIsReadWithLittleMemory(t *testing.T) {
	const bodyBytes = 4 << 20
	p := New(Config{Settings: setup.Settings{Limits: setup.Limits{MemoryMegabytes: 64, Descriptors: 2400}}, Logger: logs.Discard()})
	defer p.cancel()
	share := p.bodyMemory.NewShare()
	defer share.Release()
	content, err := share.ReadAll(strings.NewReader(strings.Repeat("x", bodyBytes)), bodyBytes, bodyBytes)
	require.NoError(t, err)
	require.Len(t, content, bodyBytes)
}

// Guards against a crowd at the port of peers that makes the readiness check fail.
func TestReadinessHasItsOwnMemory(t *testing.T) {
	p := newTestProxy(t)
	takeAll(p.controlMemory)
	for name, status := range map[string]int{readyPort: http.StatusOK, peersPort: http.StatusServiceUnavailable} {
		response, err := http.Get("http://" + listenForTest(t, p, name, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, status, response.StatusCode, name)
	}
}

// Guards against requests whose bodies can't be read since their connections were unused before.
func TestPeerRequestOnUnusedConnectionIsRead(t *testing.T) {
	t.Parallel()
	const head = "POST / HTTP/1.1\r\nHost: e2.example\r\nContent-Length: 4\r\n\r\n"
	read := make(chan error, 1)
	address := listenForTest(t, newTestProxy(t), peersPort, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		read <- err
	}))
	client, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	time.Sleep(controlTimeout + 100*time.Millisecond)
	_, err = io.WriteString(client, head)
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(client, "news")
	require.NoError(t, err)
	require.NoError(t, <-read)
}

// Guards against the head of a request that is accepted up to the default limit of net/http,
// a megabyte on each connection.
func TestLargeHeadOfRequestIsRejected(t *testing.T) {
	t.Parallel()
	p := newTestProxy(t)
	address := listenForTest(t, p, callersPort, p)
	for size, status := range map[int]int{
		16 << 10: http.StatusBadRequest, 200 << 10: http.StatusRequestHeaderFieldsTooLarge,
	} {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
		go func() {
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: e\r\nA: "+strings.Repeat("x", size)+"\r\n\r\n")
		}()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, status, response.StatusCode)
		require.NoError(t, conn.Close())
	}
}

// Guards against request bodies that together exceed the memory of the instance: those that
// find no memory are refused with status 503, which is true since nothing was sent.
func TestRequestBodiesStayWithinMemory(t *testing.T) {
	t.Parallel()
	const bodyBytes = 1 << 20
	p := newTestProxy(t)
	read := func(size int) (*session, bool, int) {
		recorder := httptest.NewRecorder()
		s := &session{
			proxy: p, writer: recorder, control: http.NewResponseController(recorder), bodyMemory: p.bodyMemory.NewShare(),
			head: httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size))),
		}
		isRead := s.readBody()
		return s, isRead, recorder.Code
	}
	var sessions []*session
	total := 0
	for range 2 * testMemoryMegabytes {
		s, isRead, status := read(bodyBytes)
		if isRead {
			sessions = append(sessions, s)
			total += len(s.body)
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, status)
		s.bodyMemory.Release()
	}
	require.NotEmpty(t, sessions)
	require.Less(t, total, testMemoryMegabytes<<20/2)
	_, isRead, _ := read(1000)
	require.True(t, isRead, "a small body found no memory")
	for _, s := range sessions {
		s.bodyMemory.Release()
	}
	_, isRead, _ = read(bodyBytes)
	require.True(t, isRead, "memory was not released")
}

// Guards against a caller that sends requests and never reads the refusals: it occupies its
// connection for answerWriteTimeout at most.
func TestUnreadRefusalsEndTheConnection(t *testing.T) {
	t.Parallel()
	p := newTestProxy(t)
	conn, err := net.Dial("tcp", listenForTest(t, p, callersPort, p))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(3*answerWriteTimeout)))
	requests := strings.Repeat("GET / HTTP/1.1\r\nHost: e\r\n\r\n", 100)
	for err == nil {
		_, err = io.WriteString(conn, requests)
	}
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// requireRejected fails unless the server answers with a failure or closes the connection,
// within the deadline of the connection.
func requireRejected(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
		return
	}
	defer func() { _ = response.Body.Close() }()
	require.GreaterOrEqual(t, response.StatusCode, http.StatusBadRequest)
}
