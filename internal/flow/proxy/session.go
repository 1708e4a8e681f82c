package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
)

const (
	// defaultBodyBytes bounds bodies while no configuration is known.
	defaultBodyBytes = 4 << 20
	// readTimeout bounds the time that a caller takes to send a body.
	readTimeout = 10 * time.Second
	// writeTimeout bounds how long a caller may leave an answer unread.
	writeTimeout = 5 * time.Second
	millis       = 1000.0

	headerRetryAfter = "Retry-After"
)

type (
	// session is one request of a caller.
	session struct {
		proxy   *Proxy
		request call.Request
		head    *http.Request
		body    []byte
		writer  http.ResponseWriter
		control *http.ResponseController
		outputs chan output.Output
		began   time.Time

		// answer is the whole answer of the last send, for plain requests.
		answer *answer
		// opened says that the head of a stream was passed on, lastEvent the id of
		// the last event that was.
		opened       bool
		lastEvent    string
		lastEndpoint string
		predicted    clock.Millis
		firstAfter   time.Duration
		// lastAt is when the last event was passed on, longestGap the longest pause
		// between two.
		lastAt     time.Time
		longestGap time.Duration
		sends      int
	}

	// answer is an endpoint's whole answer.
	answer struct {
		status int
		header http.Header
		body   []byte
	}
)

// ServeHTTP serves one request of a caller.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.active.Add(1)
	defer p.active.Add(-1)
	p.metrics.requests.Inc(1)
	s := &session{
		proxy: p, head: r, writer: w, control: http.NewResponseController(w), began: time.Now(),
		outputs: make(chan output.Output, outputBuffer),
	}
	request, err := p.dialect.ReadRequest(r)
	request.Number = p.numbers.Add(1)
	s.request = request
	if err != nil {
		s.reply(call.Reply{Reason: call.ReasonBadRequest, Status: http.StatusBadRequest})
		return
	}
	if !s.readBody() {
		return
	}
	s.request.Fingerprint = fingerprint(s.request, s.body)
	p.sessions.Store(request.Number, s)
	defer p.sessions.Delete(request.Number)
	p.Step(input.RequestReceived{Request: s.request})
	s.run()
}

// fingerprint is equal for requests of one caller with equal path and body.
func fingerprint(request call.Request, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(request.Host + "\x00" + request.Path + "\x00" + request.Key + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

func (s *session) readBody() bool {
	limit := s.proxy.limits().BodyBytes
	if limit == 0 {
		limit = defaultBodyBytes
	}
	_ = s.control.SetReadDeadline(time.Now().Add(readTimeout))
	body, err := io.ReadAll(io.LimitReader(s.head.Body, limit+1))
	_ = s.control.SetReadDeadline(time.Time{})
	if err != nil {
		// The caller left or broke the protocol; nothing was sent on.
		s.proxy.logger.Part("request").Info("Body was not read.", "request", s.request.Name, "err", err)
		panic(http.ErrAbortHandler)
	}
	if int64(len(body)) > limit {
		s.reply(call.Reply{Reason: call.ReasonBodyLimit, Status: http.StatusRequestEntityTooLarge})
		return false
	}
	s.body = body
	return true
}

// run carries out what the core decides until the request has ended.
func (s *session) run() {
	for {
		var wanted output.Output
		select {
		case wanted = <-s.outputs:
		case <-s.head.Context().Done():
			s.proxy.Step(input.CallerDisconnected{Number: s.request.Number})
			s.proxy.finishLog(s, "Caller left.", "", 0)
			return
		}
		switch wanted := wanted.(type) {
		case output.Send:
			s.sends++
			s.lastEndpoint = string(wanted.Send.Endpoint)
			s.predicted = wanted.Send.Predicted
			s.proxy.sendLog(s, wanted.Send)
			result := s.send(wanted.Send)
			s.proxy.Step(input.SendEnded{Result: result})
			if result.End == call.EndDisconnected {
				s.proxy.finishLog(s, "Caller left.", "", 0)
				return
			}
			if result.End != call.EndComplete {
				s.proxy.logger.Part("send").Info("Send failed.", "request", s.request.Name, "end", result.End,
					"endpoint", wanted.Send.Endpoint, "status", result.Status, "err", result.Err)
			}
		case output.Deliver:
			s.deliver()
			return
		case output.Reply:
			s.reply(wanted.Reply)
			return
		case output.Abort:
			s.proxy.finishLog(s, "Answer broken off.", wanted.Reason, 0)
			s.proxy.metrics.aborted.Inc(1)
			panic(http.ErrAbortHandler)
		}
	}
}

// deliver passes a whole answer on, or ends a stream.
func (s *session) deliver() {
	s.proxy.metrics.answered.Inc(1)
	s.proxy.metrics.total.UpdateSince(s.began)
	if s.opened {
		s.proxy.finishLog(s, "Stream delivered.", "", http.StatusOK)
		return
	}
	s.firstAfter = time.Since(s.began)
	header := s.writer.Header()
	copyHeader(header, s.answer.header)
	header.Set("Content-Length", strconv.Itoa(len(s.answer.body)))
	s.writer.WriteHeader(s.answer.status)
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.writer.Write(s.answer.body); err != nil {
		s.proxy.logger.Part("request").Info("Answer was not taken.", "request", s.request.Name, "err", err)
	}
	s.proxy.finishLog(s, "Answer delivered.", "", s.answer.status)
}

// reply ends a request without an endpoint's answer.
func (s *session) reply(reply call.Reply) {
	s.proxy.metrics.refused.Inc(1)
	header := s.writer.Header()
	if reply.RetryAfter > 0 {
		seconds := float64(reply.RetryAfter) / millis
		header.Set(headerRetryAfter, strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain")
	text := string(reply.Reason) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	s.writer.WriteHeader(reply.Status)
	_, err := io.WriteString(s.writer, text)
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		s.proxy.logger.Part("request").Info("Refusal was not taken.", "request", s.request.Name, "err", err)
	}
	basis := reply.Basis
	s.proxy.finishLog(s, "Request refused.", reply.Reason, reply.Status, "retryAfter", reply.RetryAfter,
		"route", basis.Route, "plan", uint64(basis.PlanVersion), "usable", basis.Usable, "entries", basis.Entries,
		"listAge", basis.ListAge)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Te", "Content-Length",
			"Proxy-Connection":
		default:
			to[name] = values
		}
	}
}

// open passes the head of a stream on.
func (s *session) open(header http.Header) {
	s.opened = true
	s.firstAfter = time.Since(s.began)
	s.proxy.metrics.first.UpdateSince(s.began)
	copyHeader(s.writer.Header(), header)
	s.writer.WriteHeader(http.StatusOK)
}

func (s *session) pass(event []byte) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.writer.Write(event); err != nil {
		return err
	}
	if id := s.proxy.dialect.EventID(event); id != "" {
		s.lastEvent = id
	}
	now := time.Now()
	if !s.lastAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
	return s.control.Flush()
}

func isBlank(line []byte) bool { return len(bytes.TrimSpace(line)) == 0 }
