package proxy

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/serve/conns"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/wire/field"
)

const (
	// defaultMaxBodyBytes is the maximum size of a request body until a plan sets one.
	defaultMaxBodyBytes = 4 << 20
	// bodyReadTimeout is how long a caller may take to send a request body.
	bodyReadTimeout = 10 * time.Second
	// answerWriteTimeout is how long one write to a caller that does not read may block. A
	// write has at most answerPieceBytes or one event.
	answerWriteTimeout = 5 * time.Second
	answerPieceBytes   = 64 << 10
	// bodyMemoryRetryAfter is the delay after which a caller should retry whose request body
	// found no memory.
	bodyMemoryRetryAfter = 500 * clock.Millis(1)
	millisPerSecond      = 1000.0

	headerRetryAfter = "Retry-After"
)

// The stages of a request, which the log names if the entry exits before its end.
const (
	stageReading   stage = "reading"
	stageWaiting   stage = "waiting"
	stageReserving stage = "reserving"
	stageSent      stage = "sent"
	stageStreaming stage = "streaming"
	stageAnswering stage = "answering"
)

type (
	// stage is how far a request has got.
	stage string

	// session handles one request of a caller.
	session struct {
		proxy *Proxy
		// stage is the current stage; the goroutine that stops the entry reads it too.
		stage   atomic.Value
		request call.Request
		// head is the caller's HTTP request. Its body is read into body.
		head      *http.Request
		body      []byte
		writer    http.ResponseWriter
		control   *http.ResponseController
		outputs   chan output.Output
		startedAt time.Time
		// isMoving is set once the core has decided to end the current send because its
		// endpoint is silent.
		isMoving atomic.Bool
		// sending ends with the caller's connection, or earlier if the core cancels the
		// sends of the request.
		sending context.Context
		cancel  context.CancelFunc

		// bodyMemory holds the body of the request.
		bodyMemory *limit.Share
		// memory holds what the session has buffered of answers.
		memory *limit.Share
		// answer is the last complete answer that was not streamed.
		answer *bufferedAnswer
		// streamOpen is set once the header of a stream was forwarded to the caller.
		// lastEventID is the id of the last event that was.
		streamOpen   bool
		lastEventID  string
		lastEndpoint string
		predicted    clock.Millis
		timeToFirst  time.Duration
		// lastEventAt is when the last event was forwarded, and longestEventGap the longest
		// time between two events.
		lastEventAt     time.Time
		longestEventGap time.Duration
		sends           int
		// refusal is what a refusal was based on; nil if the request was not refused.
		refusal *call.Basis
	}

	// bufferedAnswer is a complete answer of an endpoint.
	bufferedAnswer struct {
		status int
		header http.Header
		body   []byte
	}
)

// ServeHTTP relays one request of a caller. It panics with http.ErrAbortHandler to abort
// an answer that can't be completed.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.active.Add(1)
	defer p.active.Add(-1)
	p.metrics.requests.Inc(1)
	s := &session{
		proxy: p, head: r, writer: w, control: http.NewResponseController(w), startedAt: time.Now(),
		outputs: make(chan output.Output, sessionOutputBuffer), bodyMemory: p.bodyMemory.NewShare(),
		memory: p.answerMemory.NewShare(),
	}
	defer s.bodyMemory.Release()
	defer s.memory.Release()
	s.sending, s.cancel = context.WithCancel(r.Context())
	defer s.cancel()
	r.RequestURI = originForm(r)
	request, err := p.dialect.ReadRequest(r)
	request.Number = p.lastNumber.Add(1)
	s.request = request
	s.stage.Store(stageReading)
	p.sessions.Store(request.Number, s)
	defer p.sessions.Delete(request.Number)
	if err != nil {
		s.replyUnread(call.Reply{Reason: call.ReasonBadRequest, Status: http.StatusBadRequest})
		return
	}
	if !s.readBody() {
		return
	}
	s.request.Fingerprint = fingerprint(s.request, s.body)
	s.request.BodyBytes = len(s.body)
	s.stage.Store(stageWaiting)
	p.Step(input.RequestReceived{Request: s.request})
	s.run()
}

// fingerprint returns a hash of the request's host, path, caller's key and body. The core
// uses it to recognise a repeated request.
func fingerprint(request call.Request, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(request.Host + "\x00" + request.Path + "\x00" + request.Key + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// readBody reads the body of the request. It reports false if the body exceeds the limit or
// there is no memory for it, after it has answered the caller.
func (s *session) readBody() bool {
	maxBytes := s.proxy.limits().BodyBytes
	if maxBytes == 0 {
		maxBytes = defaultMaxBodyBytes
	}
	_ = s.control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := s.bodyMemory.ReadAll(s.head.Body, s.head.ContentLength, maxBytes)
	var exceeded *limit.ExceededError
	var exhausted *limit.ExhaustedError
	switch {
	case errors.As(err, &exceeded):
		s.replyUnread(call.Reply{Reason: call.ReasonBodyLimit, Status: http.StatusRequestEntityTooLarge})
		return false
	case errors.As(err, &exhausted):
		s.replyUnread(call.Reply{
			Reason: call.ReasonOverload, Status: http.StatusServiceUnavailable, RetryAfter: bodyMemoryRetryAfter,
		})
		return false
	case err != nil:
		// The caller closed the connection, was too slow or violated the protocol. Nothing
		// was sent to an endpoint yet.
		s.proxy.logger.Part("request").Info("Request body could not be read.", "request", s.request.Name, "err", err)
		panic(http.ErrAbortHandler)
	}
	_ = s.control.SetReadDeadline(time.Time{})
	s.body = body
	return true
}

// run executes the outputs of the core for this request until the request has ended.
func (s *session) run() {
	for {
		var action output.Output
		select {
		case action = <-s.outputs:
		case <-s.head.Context().Done():
			s.proxy.Step(input.CallerDisconnected{Number: s.request.Number})
			s.abandon()
		}
		switch action := action.(type) {
		case output.Send:
			s.sends++
			s.lastEndpoint = string(action.Send.Endpoint)
			s.predicted = action.Send.Predicted
			s.proxy.logSend(s, action.Send)
			sentAt := time.Now()
			result := s.send(action.Send)
			s.stage.Store(stageWaiting)
			if !action.Send.Stream && action.Send.Predicted > 0 && result.End == call.EndComplete {
				s.proxy.metrics.predictionError.Update((time.Since(sentAt) - action.Send.Predicted.Duration()).Abs())
			}
			s.proxy.Step(input.SendEnded{Result: result})
			if result.End == call.EndDisconnected {
				s.abandon()
			}
			if result.End != call.EndComplete {
				s.proxy.logger.Part("send").Info("Send failed.", "request", s.request.Name, "end", result.End,
					"endpoint", action.Send.Endpoint, "status", result.Status, "millis", time.Since(sentAt).Milliseconds(),
					"predicted", action.Send.Predicted, "helpers", len(action.Send.Helpers), "failedAddress", result.FailedAddress,
					"err", result.Err)
			}
		case output.Deliver:
			s.deliver()
			return
		case output.Reply:
			s.reply(action.Reply)
			return
		case output.Abort:
			s.proxy.logFinish(s, "Answer broken off.", action.Reason, 0)
			s.proxy.metrics.aborted.Inc(1)
			conns.Abort(s.writer, s.head)
		}
	}
}

// abandon ends a request whose caller has closed its connection. The caller may have closed one
// direction only, so the connection is aborted: net/http would write the end of an answer.
func (s *session) abandon() {
	s.proxy.logFinish(s, "Caller disconnected.", "", 0)
	conns.Abort(s.writer, s.head)
}

// deliver writes the answer to the caller, or records the end of a stream that was
// already forwarded.
func (s *session) deliver() {
	s.stage.Store(stageAnswering)
	s.proxy.metrics.answered.Inc(1)
	s.proxy.metrics.duration.UpdateSince(s.startedAt)
	if s.streamOpen {
		// net/http writes the last chunk after the handler has returned.
		_ = s.control.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
		s.proxy.logFinish(s, "Stream delivered.", "", http.StatusOK)
		return
	}
	s.timeToFirst = time.Since(s.startedAt)
	header := s.writer.Header()
	copyHeader(header, s.answer.header)
	header.Set("Content-Length", strconv.Itoa(len(s.answer.body)))
	s.writer.WriteHeader(s.answer.status)
	if err := s.writeBody(s.answer.body); err != nil {
		s.proxy.logger.Part("request").Info("Answer could not be written to the caller.", "request", s.request.Name, "err", err)
	}
	s.proxy.logFinish(s, "Answer delivered.", "", s.answer.status)
}

// writeBody writes the body of an answer in pieces, so that a caller that reads slowly is not
// cut off.
func (s *session) writeBody(body []byte) error {
	// Without a body, the timeout is that of the header.
	_ = s.control.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	for piece := range slices.Chunk(body, answerPieceBytes) {
		_ = s.control.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
		if _, err := s.writer.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// replyUnread refuses a request whose body has not been read.
func (s *session) replyUnread(reply call.Reply) {
	conns.DropBody(s.writer, s.head)
	s.reply(reply)
}

// reply refuses the request or reports its failure, with the reason as plain text.
func (s *session) reply(reply call.Reply) {
	s.stage.Store(stageAnswering)
	s.proxy.metrics.refused.Inc(1)
	if reply.Reason == call.ReasonOverShare {
		s.proxy.metrics.overShare.Inc(1)
	}
	header := s.writer.Header()
	if reply.RetryAfter > 0 {
		seconds := float64(reply.RetryAfter) / millisPerSecond
		header.Set(headerRetryAfter, strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain")
	text := string(reply.Reason) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	_ = s.control.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	s.writer.WriteHeader(reply.Status)
	_, err := io.WriteString(s.writer, text)
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		s.proxy.logger.Part("request").Info("Refusal could not be written to the caller.", "request", s.request.Name, "err", err)
	}
	basis := reply.Basis
	s.refusal = &basis
	s.proxy.logFinish(s, "Request refused.", reply.Reason, reply.Status, "retryAfter", reply.RetryAfter,
		"waitCause", basis.Wait, "callerRetry", basis.IsCallerRetry, "left", basis.TimeLeft, "startsIn", basis.StartsIn, "share", basis.Share, "use", basis.Use, "route", basis.Route, "organisation", basis.Organisation, "usable", basis.Usable, "entries", basis.Entries,
		"listAge", basis.ListAge, "loadsDeferred", basis.LoadsDeferred)
}

// copyHeader copies all header fields except hop-by-hop fields and Content-Length.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !field.IsHopByHop(name) && name != "Content-Length" {
			to[name] = values
		}
	}
}

// openStream writes status 200 and the header of a stream to the caller.
func (s *session) openStream(header http.Header) {
	s.streamOpen = true
	s.timeToFirst = time.Since(s.startedAt)
	s.proxy.metrics.timeToFirstEvent.UpdateSince(s.startedAt)
	copyHeader(s.writer.Header(), header)
	s.writer.WriteHeader(http.StatusOK)
}

// writeEvent writes one event to the caller and flushes it.
func (s *session) writeEvent(event []byte) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	if _, err := s.writer.Write(event); err != nil {
		return err
	}
	if id := s.proxy.dialect.EventID(event); id != "" {
		s.lastEventID = id
	}
	now := time.Now()
	if !s.lastEventAt.IsZero() {
		s.longestEventGap = max(s.longestEventGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	return s.control.Flush()
}
