package proxy

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/port"
	"mustardhook/internal/serve/answer"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/serve/probe"
)

const (
	// maxAnswerBytes is the maximum size of an answer that is buffered before it is
	// forwarded.
	maxAnswerBytes = 16 << 20
	// maxHeadBytes is the maximum size of the status line and the header of an answer.
	maxHeadBytes = 64 << 10
	// headerLineBytes is the memory that a parsed header line takes in addition to its text.
	headerLineBytes = 128
	// answerGrace is the time added to the deadline of a send, so that an answer that
	// the endpoint itself gives at its deadline still arrives.
	answerGrace   = 60 * time.Millisecond
	ioBufferBytes = 8 << 10
	// livenessPollInterval is the time between two checks whether an endpoint that sends
	// no events may be dead.
	livenessPollInterval = 100 * time.Millisecond
)

type (
	// exchange is one send of a request to an endpoint, on a connection of its own.
	exchange struct {
		session  *session
		send     call.Send
		conn     net.Conn
		reader   *bufio.Reader
		deadline time.Time
		// hasHead is set once the head of the answer was read. headBytes is the number of
		// bytes read until then, headMemory what they take of the session's share.
		hasHead    bool
		headBytes  int
		headMemory int64
	}
)

// send sends the request to an endpoint and relays the answer. It uses a new connection
// for each send, so that answers can't be mixed up and no HTTP client repeats a request
// by itself.
func (s *session) send(target call.Send) call.Result {
	s.proxy.metrics.sends.Inc(1)
	if target.IsCold {
		s.proxy.metrics.coldSends.Inc(1)
	}
	result := call.Result{Number: target.Number, End: call.EndNotRun, Unreachable: true}
	deadline := time.Now().Add(target.TimeLeft.Duration() + answerGrace)
	ctx, cancel := context.WithDeadline(s.sending, deadline)
	defer cancel()
	s.stage.Store(stageReserving)
	leases, err := s.reserve(ctx, target)
	defer leases.release()
	var evacuated *EvacuatedError
	if errors.As(err, &evacuated) {
		return s.withdraw(result, err)
	}
	if err != nil {
		result.Err = err
		result.Unreachable = false
		result.LeaseRefused = true
		return s.classifyEnd(result)
	}
	if len(leases.reserved) > 0 && !s.proxy.isUsable(target.Endpoint) {
		result.Err = &WithdrawnError{target.Endpoint}
		result.Unreachable = false
		return s.classifyEnd(result)
	}
	s.stage.Store(stageSent)
	dial := answer.NewDial(newDialer(userTimeoutFor(len(s.body))).DialContext)
	conn, err := dial(ctx, "tcp4", target.Address)
	if err != nil {
		result.Err = err
		result.Exited = errors.Is(err, syscall.ECONNREFUSED)
		return s.classifyEnd(result)
	}
	defer func() { _ = conn.Close() }()
	// Opening the connection may have taken long.
	if err := s.proxy.checkEvacuated(target); err != nil {
		return s.withdraw(result, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	x := &exchange{session: s, send: target, conn: conn, deadline: deadline}
	x.reader = bufio.NewReaderSize(x, ioBufferBytes)
	result = x.run()
	result.Number = target.Number
	result.Delivered = s.streamOpen
	return s.classifyEnd(result)
}

// withdraw returns the result of a send whose request was not sent because of an EvacuatedError.
func (s *session) withdraw(result call.Result, err error) call.Result {
	s.proxy.metrics.withdrawn.Inc(1)
	result.Err = err
	result.Unreachable = false
	result.Withdrawn = true
	return s.classifyEnd(result)
}

// classifyEnd changes the result of a failed send if the caller closed its connection or
// the core cancelled the send, so that the failure is not attributed to the endpoint.
func (s *session) classifyEnd(result call.Result) call.Result {
	var callerErr *CallerWriteError
	switch {
	case result.End == call.EndComplete:
		return result
	case s.head.Context().Err() != nil || errors.As(result.Err, &callerErr):
		result.End = call.EndDisconnected
	case s.sending.Err() == nil:
		return result
	case result.End != call.EndNotRun:
		result.End = call.EndCancelled
	}
	result.Unreachable = false
	return result
}

// run writes the request, reads the head of the answer and relays the answer.
func (x *exchange) run() call.Result {
	// An endpoint may answer before it has read a long body, so write and read
	// concurrently.
	_ = x.conn.SetWriteDeadline(x.deadline)
	writeErr := make(chan error, 1)
	x.session.proxy.spawn(func() { writeErr <- x.writeRequest() })
	x.setReadTimeout(x.send.FirstEventTimeout.Duration())
	response, err := x.readHead()
	if err != nil {
		// Unblock the write if it is still in progress.
		_ = x.conn.Close()
		return x.failedResult(errors.Join(newReadError("head", err), <-writeErr))
	}
	// The body is not closed, since that would read it to its end; send closes the connection.
	if err := x.endHead(response.Header); err != nil {
		return x.failedResult(newReadError("head", err))
	}
	head := x.session.proxy.dialect.ReadAnswer(response)
	x.reportNotice(head)
	switch {
	case head.Request != x.session.request.Name:
		// Not even a refusal is believed: it may be a second copy of an earlier one.
		return x.failedResult(&AnswerError{Reason: "it answers another request"})
	case head.NotRun:
		return call.Result{
			End: call.EndNotRun, Status: response.StatusCode, FailedAddress: head.FailedAddress, Moved: head.Moved,
			Refused: !head.Moved,
		}
	case !head.Signed:
		return x.failedResult(&AnswerError{Reason: "it has no signature"})
	case response.Header.Get("Content-Encoding") != "":
		return x.failedResult(&AnswerError{Reason: "it is encoded"})
	case x.send.Stream && response.StatusCode == http.StatusOK:
		return x.relayStream(response)
	}
	return x.bufferAnswer(response)
}

// readHead reads the head of the final answer and skips informational ones (RFC 9110, section 15.2).
// Together they are limited like one head.
func (x *exchange) readHead() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(x.reader, x.session.head)
		if err != nil {
			return nil, err
		}
		if err := answer.CheckHead(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// checkEnd returns an AnswerError if an answer that ends with its connection is not whole, as far as
// that can be told: nothing followed its head, or the process of its endpoint is gone. The end of such an answer waits
// for that, not its events.
func (x *exchange) checkEnd(response *http.Response, isEmpty bool) error {
	if probe.HasFraming(response) {
		return nil
	}
	if isEmpty {
		return &AnswerError{Reason: "it has neither a length nor a body", Truncated: true}
	}
	ctx, cancel := context.WithTimeout(x.session.sending, probeTimeout.Duration())
	defer cancel()
	if probe.HasExited(ctx, dialProbe, x.send.Address) {
		return &AnswerError{Reason: "its endpoint exited when it ended", Truncated: true}
	}
	return nil
}

// reportNotice passes what the endpoint says of itself to the core, if the answer is its own to
// this request. It does so before the answer is relayed, since a stream may last for long.
func (x *exchange) reportNotice(head port.AnswerHead) {
	if head.Request != x.session.request.Name || !head.Leaving && head.RetryAfter == 0 && head.ColdLeft == 0 {
		return
	}
	if head.Leaving {
		x.session.proxy.metrics.leaving.Inc(1)
	}
	if head.RetryAfter > 0 {
		x.session.proxy.metrics.pauses.Inc(1)
	}
	x.session.proxy.Step(input.EndpointNoticed{
		Endpoint: x.send.Endpoint, Epoch: x.send.Epoch, Request: head.Request, Leaving: head.Leaving, RetryAfter: head.RetryAfter,
		ColdLeft: head.ColdLeft,
	})
}

// failedResult returns the result of a send that failed after the endpoint may have run
// the request: EndTimeout after the deadline of the endpoint, otherwise EndAnswerLost.
func (x *exchange) failedResult(err error) call.Result {
	end := call.EndAnswerLost
	if time.Now().After(x.deadline.Add(-answerGrace)) {
		end = call.EndTimeout
	}
	return call.Result{End: end, Err: err, Closed: isClosedByEndpoint(err)}
}

// isClosedByEndpoint reports whether an answer failed because its connection was closed or reset.
func isClosedByEndpoint(err error) bool {
	var answerErr *AnswerError
	if errors.As(err, &answerErr) {
		return answerErr.Truncated
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// setReadTimeout sets the read deadline of the connection to the given time from now, but
// not later than the deadline of the exchange.
func (x *exchange) setReadTimeout(timeout time.Duration) {
	until := time.Now().Add(timeout)
	if until.After(x.deadline) {
		until = x.deadline
	}
	_ = x.conn.SetReadDeadline(until)
}

// newReadError returns an AnswerError if a part of an answer exceeded a limit. Another
// AnswerError is returned as it is, and any other error with the name of the part.
func newReadError(part string, err error) error {
	var answerErr *AnswerError
	if errors.As(err, &answerErr) {
		return answerErr
	}
	var exceeded *limit.ExceededError
	var exhausted *limit.ExhaustedError
	if errors.As(err, &exceeded) || errors.As(err, &exhausted) {
		return &AnswerError{Reason: "its " + part + ": " + err.Error()}
	}
	return errors.Wrap(err, "read "+part)
}

// Read reads from the connection. Until the head was read it fails after maxHeadBytes, or if
// there is no memory for the head.
func (x *exchange) Read(buffer []byte) (int, error) {
	if x.hasHead {
		return x.readConn(buffer)
	}
	left := maxHeadBytes - x.headBytes
	if left == 0 {
		return 0, &limit.ExceededError{Bytes: maxHeadBytes}
	}
	count, err := x.readConn(buffer[:min(len(buffer), left)])
	x.headBytes += count
	memory := int64(count + headerLineBytes*bytes.Count(buffer[:count], []byte{'\n'}))
	if takeErr := x.session.memory.Take(memory); takeErr != nil {
		return 0, takeErr
	}
	x.headMemory += memory
	return count, err
}

// endHead replaces the memory taken while the head was read by that of the parsed header.
func (x *exchange) endHead(header http.Header) error {
	x.hasHead = true
	x.session.memory.Give(x.headMemory)
	memory := 0
	for name, values := range header {
		for _, value := range values {
			memory += len(name) + len(value) + headerLineBytes
		}
	}
	return x.session.memory.Take(int64(memory))
}

// readConn reads from the connection. After a read timeout it continues unless the request
// should be sent to another endpoint.
func (x *exchange) readConn(buffer []byte) (int, error) {
	for {
		count, err := x.conn.Read(buffer)
		isReadTimeout := errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(x.deadline)
		if count > 0 || !isReadTimeout || x.session.proxy.endSilentSend(x.session) {
			return count, err
		}
		x.setReadTimeout(livenessPollInterval)
	}
}

// writeRequest writes the request to the endpoint.
func (x *exchange) writeRequest() error {
	s := x.session
	header := s.proxy.dialect.EndpointHeader(s.head.Header, x.send, s.lastEventID)
	writer := bufio.NewWriterSize(x.conn, ioBufferBytes)
	requestHead := s.head.Method + " " + s.head.RequestURI + " HTTP/1.1\r\nHost: " + s.head.Host + "\r\n"
	if _, err := writer.WriteString(requestHead); err != nil {
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

// bufferAnswer reads the complete answer and keeps it in the session until the core
// decides to deliver it.
func (x *exchange) bufferAnswer(response *http.Response) call.Result {
	body, err := x.session.memory.ReadAll(response.Body, response.ContentLength, maxAnswerBytes)
	if err != nil {
		return x.failedResult(newReadError("body", err))
	}
	if err := x.checkEnd(response, len(body) == 0); err != nil {
		return x.failedResult(err)
	}
	x.session.answer = &bufferedAnswer{response.StatusCode, response.Header, body}
	return call.Result{End: call.EndComplete, Status: response.StatusCode, Unframed: !probe.HasFraming(response)}
}

// relayStream forwards each event to the caller as soon as it is complete. A stream
// resumed after an earlier send starts after the last event that the caller received. Comments
// are no progress: they are dropped before the first event, and prolong no timeout.
func (x *exchange) relayStream(response *http.Response) call.Result {
	events := newEventReader(response.Body, x.session.memory)
	isFirst := true
	commentBytes := 0
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return x.streamResult(response, isFirst)
		}
		if err != nil {
			return x.failedResult(newReadError("event", err))
		}
		isProgress := !isComment(event)
		commentBytes += len(event)
		if !isProgress && commentBytes > maxCommentBytes {
			return x.failedResult(newReadError("comments", &limit.ExceededError{Bytes: maxCommentBytes}))
		}
		if isProgress {
			commentBytes = 0
			if err := x.checkOrder(event); err != nil {
				return x.failedResult(err)
			}
		}
		if isFirst && !isProgress {
			continue
		}
		if err := x.relayEvent(response, event, isFirst); err != nil {
			return call.Result{End: call.EndDisconnected, Err: &CallerWriteError{err}}
		}
		if !isProgress {
			continue
		}
		if isFirst {
			isFirst = false
			x.session.stage.Store(stageStreaming)
			x.session.proxy.Step(input.FirstEventSent{Number: x.send.Number})
		}
		x.setReadTimeout(x.send.NextEventTimeout.Duration())
	}
}

// relayEvent forwards one event to the caller, and before the first one the header.
func (x *exchange) relayEvent(response *http.Response, event []byte, isFirst bool) error {
	if isFirst && !x.session.streamOpen {
		x.session.openStream(response.Header)
	}
	return x.session.writeEvent(event)
}

// checkOrder returns an AnswerError if the event has no id, or does not follow the last event that
// the caller received. Text that is no event, such as that of another answer, has no id.
func (x *exchange) checkOrder(event []byte) error {
	id := x.session.proxy.dialect.EventID(event)
	if id == "" {
		return &AnswerError{Reason: "an event has no id"}
	}
	next, nextErr := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(x.session.lastEventID, 10, 64)
	if nextErr == nil && lastErr == nil && next <= last {
		return &AnswerError{Reason: "its events are out of order"}
	}
	return nil
}

// streamResult returns the result of a stream that the endpoint has closed after a complete
// event. The stream is broken if it ended before the first one, also if another endpoint sent
// events before.
func (x *exchange) streamResult(response *http.Response, isEmpty bool) call.Result {
	if isEmpty {
		return x.failedResult(&AnswerError{Reason: "it ended without an event", Truncated: true})
	}
	if err := x.checkEnd(response, isEmpty); err != nil {
		return x.failedResult(err)
	}
	return call.Result{End: call.EndComplete, Status: response.StatusCode, Unframed: !probe.HasFraming(response)}
}
