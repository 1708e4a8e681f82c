package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
)

const (
	// answerBytes bounds an answer that is held whole.
	answerBytes = 16 << 20
	// timeoutSlack lets an endpoint's own answer at its deadline come through.
	timeoutSlack = 60 * time.Millisecond
	readBuffer   = 8 << 10
	// silencePoll is the time between two looks for signs that a silent endpoint is
	// dead.
	silencePoll = 100 * time.Millisecond
)

type (
	// AnswerError says why an endpoint's answer can't be passed on.
	AnswerError struct{ Fault string }

	// CallerError says that the caller took no more of its answer.
	CallerError struct{ Err error }

	// exchange is one send on its own connection.
	exchange struct {
		session *session
		send    call.Send
		conn    net.Conn
		reader  *bufio.Reader
		timeout time.Time
		// isStreaming says that events are read; silence alone does not end them.
		isStreaming bool
	}
)

// Error names the fault.
func (e *AnswerError) Error() string { return "answer of an endpoint: " + e.Fault }

// Error names the cause.
func (e *CallerError) Error() string { return "caller took no more: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error { return e.Err }

// send runs one send on a connection of its own, so that an answer is never
// another request's and nothing is repeated unasked.
func (s *session) send(wanted call.Send) call.Result {
	s.proxy.metrics.sends.Inc(1)
	result := call.Result{Number: wanted.Number, End: call.EndNotRun, Unreachable: true}
	timeout := time.Now().Add(wanted.TimeLeft.Duration() + timeoutSlack)
	ctx, cancel := context.WithDeadline(s.head.Context(), timeout)
	defer cancel()
	leases, err := s.reserve(ctx, wanted.Helpers)
	defer leases.end()
	if err != nil {
		result.Err = err
		result.Unreachable = false
		result.LeaseRefused = true
		return s.blameCaller(result)
	}
	conn, err := dialer().DialContext(ctx, "tcp4", wanted.Address)
	if err != nil {
		result.Err = err
		result.Dead = errors.Is(err, syscall.ECONNREFUSED)
		return s.blameCaller(result)
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	x := &exchange{session: s, send: wanted, conn: conn, timeout: timeout}
	x.reader = bufio.NewReaderSize(x, readBuffer)
	result = x.run()
	result.Number = wanted.Number
	result.Delivered = s.opened
	return s.blameCaller(result)
}

// blameCaller tells a send that ended by the caller's leave from one that failed.
func (s *session) blameCaller(result call.Result) call.Result {
	var caller *CallerError
	if result.End != call.EndComplete && (s.head.Context().Err() != nil || errors.As(result.Err, &caller)) {
		result.End = call.EndDisconnected
		result.Unreachable = false
	}
	return result
}

func (x *exchange) run() call.Result {
	// An endpoint may answer before it has read a long body, so both go on at once.
	written := make(chan error, 1)
	x.session.proxy.spawn(func() { written <- x.write() })
	x.silence(x.send.FirstEventTimeout.Duration())
	response, err := http.ReadResponse(x.reader, x.session.head)
	if err != nil {
		// Ends a write that still waits.
		_ = x.conn.Close()
		return x.broken(errors.Join(err, <-written))
	}
	defer func() { _ = response.Body.Close() }()
	head := x.session.proxy.dialect.ReadAnswer(response)
	switch {
	case head.NotRun:
		return call.Result{
			End: call.EndNotRun, Status: response.StatusCode, FailedAddress: head.FailedAddress, Moved: head.Moved,
			Refused: !head.Moved,
		}
	case head.Request != "" && head.Request != x.session.request.Name:
		return x.broken(&AnswerError{"it answers another request"})
	case !head.Signed:
		return x.broken(&AnswerError{"it has no signature"})
	case response.Header.Get("Content-Encoding") != "":
		return x.broken(&AnswerError{"it is encoded"})
	case x.send.Stream && response.StatusCode == http.StatusOK:
		return x.stream(response)
	}
	return x.whole(response)
}

// broken is the end of a send that may have run.
func (x *exchange) broken(err error) call.Result {
	end := call.EndAnswerLost
	if time.Now().After(x.timeout.Add(-timeoutSlack)) {
		end = call.EndTimeout
	}
	return call.Result{End: end, Err: err}
}

// silence bounds the time until the next byte of the endpoint.
func (x *exchange) silence(span time.Duration) {
	next := time.Now().Add(span)
	if next.After(x.timeout) {
		next = x.timeout
	}
	_ = x.conn.SetReadDeadline(next)
}

// Read reads from the connection. Once events have come, it goes on after a
// silence unless there are signs that the endpoint is dead.
func (x *exchange) Read(buffer []byte) (int, error) {
	for {
		count, err := x.conn.Read(buffer)
		isSilence := errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(x.timeout)
		if count > 0 || !isSilence || !x.isStreaming || x.session.proxy.isDoubtful(x.send.Endpoint) {
			return count, err
		}
		x.silence(silencePoll)
	}
}

func (x *exchange) write() error {
	s := x.session
	header := s.proxy.dialect.SendHeader(s.head.Header, x.send, s.lastEvent)
	_ = x.conn.SetWriteDeadline(x.timeout)
	writer := bufio.NewWriterSize(x.conn, readBuffer)
	line := s.head.Method + " " + s.head.RequestURI + " HTTP/1.1\r\nHost: " + s.head.Host + "\r\n"
	if _, err := writer.WriteString(line); err != nil {
		return err
	}
	if len(s.body) > 0 || s.head.Method != http.MethodGet && s.head.Method != http.MethodHead {
		header.Set("Content-Length", itoa(len(s.body)))
	}
	if err := header.Write(writer); err != nil {
		return err
	}
	if _, err := writer.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := writer.Write(s.body); err != nil {
		return err
	}
	return writer.Flush()
}

// whole holds an answer until it is complete.
func (x *exchange) whole(response *http.Response) call.Result {
	body, err := io.ReadAll(io.LimitReader(response.Body, answerBytes))
	if err != nil {
		return x.broken(errors.Wrap(err, "read answer"))
	}
	x.session.answer = &answer{response.StatusCode, response.Header, body}
	return call.Result{End: call.EndComplete, Status: response.StatusCode}
}

// stream passes whole events on as they come. Events that the caller has, from an
// earlier send, are never passed again.
func (x *exchange) stream(response *http.Response) call.Result {
	events := bufio.NewReaderSize(response.Body, readBuffer)
	var event []byte
	isFirst := true
	for {
		line, err := events.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return x.streamEnded(response, event)
		}
		if err != nil {
			return x.broken(errors.Wrap(err, "read event"))
		}
		if !isBlank(line) {
			continue
		}
		if err := x.passEvent(response, event, isFirst); err != nil {
			return call.Result{End: call.EndDisconnected, Err: &CallerError{err}}
		}
		if isFirst {
			isFirst = false
			x.isStreaming = true
			x.session.proxy.Step(input.FirstEventSent{Number: x.send.Number})
		}
		event = event[:0]
		x.silence(x.send.NextEventTimeout.Duration())
	}
}

func (x *exchange) passEvent(response *http.Response, event []byte, isFirst bool) error {
	if isFirst && !x.session.opened {
		x.session.open(response.Header)
	}
	return x.session.pass(event)
}

// streamEnded tells a complete stream from one that ended early.
func (x *exchange) streamEnded(response *http.Response, rest []byte) call.Result {
	if len(strings.TrimSpace(string(rest))) > 0 {
		return x.broken(&AnswerError{"it ended inside an event"})
	}
	if !x.session.opened {
		return x.broken(&AnswerError{"it ended without an event"})
	}
	return call.Result{End: call.EndComplete, Status: response.StatusCode}
}
