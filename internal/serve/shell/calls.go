package shell

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/wire/caller"
	"mustardhook/internal/wire/engine"
	"mustardhook/internal/wire/watch"
)

const (
	controlBytes = 16 << 20
)

type (
	// statusError says that an answer had a status that is no success.
	statusError struct{ status int }

	// cutError says that an answer was shorter or longer than allowed.
	cutError struct{}
)

// Error returns the text of the fault.
func (e *statusError) Error() string { return "status " + strconv.Itoa(e.status) }

// Error returns the text of the fault.
func (*cutError) Error() string { return "answer is over the limit" }

func dialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// isNotSent reports whether a call failed before a connection was open.
func isNotSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// sendCall makes one call to a service endpoint. The endpoint must echo the name
// of the attempt, so that an answer to another call is never taken for it.
func (s *Shell) sendCall(wanted action.SendCall) {
	ctx, cancel := context.WithTimeout(s.lifetime, wanted.Timeout.Duration())
	defer cancel()
	address := "http://" + wanted.Address + wanted.Content.Path
	request, err := http.NewRequestWithContext(ctx, wanted.Content.Method, address, bytes.NewReader(wanted.Content.Body))
	if err != nil {
		s.Step(event.CallFailed{Attempt: wanted.Attempt, NotSent: true})
		return
	}
	for _, header := range wanted.Content.Headers {
		request.Header.Set(header.Name, header.Value)
	}
	if wanted.Content.Type != "" {
		request.Header.Set("Content-Type", wanted.Content.Type)
	}
	request.Header.Set(caller.HeaderAttempt, string(wanted.Attempt))
	if wanted.Key != "" {
		request.Header.Set(caller.HeaderIdempotencyKey, wanted.Key)
	}
	answer, err := s.readAnswer(request, string(wanted.Attempt))
	if err != nil {
		s.logger.Part("calls").Debug("Call failed.", "endpoint", wanted.Endpoint, "err", err)
		s.Step(event.CallFailed{Attempt: wanted.Attempt, NotSent: isNotSent(err)})
		return
	}
	s.Step(event.CallAnswered{Attempt: wanted.Attempt, Answer: answer})
}

func (s *Shell) readAnswer(request *http.Request, attempt string) (msgs.Answer, error) {
	response, err := s.services.Do(request)
	if err != nil {
		return msgs.Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get(caller.HeaderAttempt) != attempt {
		return msgs.Answer{}, &crossedError{"attempt"}
	}
	limit := s.settings.Limits.CallBytes
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return msgs.Answer{}, errors.Wrap(err, "read answer")
	}
	if int64(len(body)) > limit {
		return msgs.Answer{}, &cutError{}
	}
	return msgs.Answer{Status: response.StatusCode, Type: response.Header.Get("Content-Type"), Body: body}, nil
}

func (s *Shell) cancelAttempt(address, name string) {
	if _, err := s.post("http://"+address+engine.PathCancel, engine.EncodeCancel(name)); err != nil {
		s.logger.Part("cancel").Debug("Cancel failed.", "attempt", name, "err", err)
	}
}

func (s *Shell) sendOrder(wanted action.SendOrder) {
	_, err := s.post("http://"+wanted.Address+engine.PathOrder, engine.EncodeOrder(wanted.Order))
	s.Step(event.OrderEnded{Endpoint: wanted.Endpoint, Number: wanted.Order.Fence, Taken: err == nil})
}

func (s *Shell) readReport(wanted action.ReadReport) {
	query := "?since=" + strconv.FormatUint(wanted.Since, 10)
	text, err := s.get("http://"+wanted.Address+engine.PathReport+query, controlTimeout)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		s.Step(event.ReportFailed{Endpoint: wanted.Endpoint, Refused: refused})
		return
	}
	report, err := engine.DecodeReport(text)
	if err != nil {
		s.logger.Part("reports").Warn("Unreadable report.", "endpoint", wanted.Endpoint, "err", err)
		s.Step(event.ReportFailed{Endpoint: wanted.Endpoint})
		return
	}
	s.metrics.Reports.Inc(1)
	s.Step(event.ReportRead{Endpoint: wanted.Endpoint, Report: report})
}

func (s *Shell) watchPlatform(wanted action.WatchPlatform) {
	query := "?" + watch.Query(wanted.AfterRevision, wanted.Wait)
	timeout := wanted.Wait.Duration() + controlTimeout
	text, err := s.get("http://"+s.settings.Platform+watch.Path+query, timeout)
	if err != nil {
		s.Step(event.PlatformFailed{Reason: err.Error()})
		return
	}
	page, err := watch.DecodePage(text)
	if err != nil {
		s.Step(event.PlatformFailed{Reason: err.Error()})
		return
	}
	if s.instances.Apply(page) || wanted.AfterRevision == 0 {
		s.Step(event.InstancesRead{Instances: s.instances.List(), Revision: page.Revision})
	}
	tickets, refusals := page.Tickets()
	for _, refusal := range refusals {
		s.Step(event.TicketRefused{Place: refusal.Key, Reason: refusal.Err.Error()})
	}
	s.Step(event.TicketsRead{Tickets: tickets, Revision: page.Revision})
}

func (s *Shell) get(address string, timeout time.Duration) ([]byte, error) {
	return s.exchange(http.MethodGet, address, nil, timeout)
}

func (s *Shell) post(address string, body []byte) ([]byte, error) {
	return s.exchange(http.MethodPost, address, body, controlTimeout)
}

func (s *Shell) exchange(method, address string, body []byte, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(s.lifetime, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	response, err := s.control.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, &statusError{response.StatusCode}
	}
	return io.ReadAll(io.LimitReader(response.Body, controlBytes))
}
