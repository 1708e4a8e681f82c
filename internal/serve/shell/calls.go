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
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/serve/probe"
	"mustardhook/internal/wire/caller"
	"mustardhook/internal/wire/engine"
	"mustardhook/internal/wire/watch"
)

const (
	// maxControlBytes is the maximum size of a response to a control call, and
	// maxResponseHeadBytes that of the head of any response.
	maxControlBytes      = 16 << 20
	maxResponseHeadBytes = 64 << 10
)

type (
	// statusError is returned for a response with a status other than 200.
	statusError struct{ status int }

	// truncatedError is returned for an answer that ended early.
	truncatedError struct{ reason string }
)

// Error returns the status code as text.
func (e *statusError) Error() string { return "status " + strconv.Itoa(e.status) }

func dialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// Error returns the reason.
func (e *truncatedError) Error() string { return "answer is not whole: " + e.reason }

// isNotSent reports whether a call failed before a connection was established.
func isNotSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// sendCall makes one call to a service endpoint. The endpoint must echo the name of
// the attempt in a header, so that an answer to another call is never mistaken for
// the answer to this one.
func (s *Shell) sendCall(act action.SendCall) {
	ctx, cancel := context.WithTimeout(s.lifetime, act.Timeout.Duration())
	defer cancel()
	address := "http://" + act.Address + act.Content.Path
	request, err := http.NewRequestWithContext(ctx, act.Content.Method, address, bytes.NewReader(act.Content.Body))
	if err != nil {
		s.Step(event.CallFailed{Attempt: act.Attempt, NotSent: true})
		return
	}
	for _, header := range act.Content.Headers {
		request.Header.Set(header.Name, header.Value)
	}
	if act.Content.Type != "" {
		request.Header.Set("Content-Type", act.Content.Type)
	}
	request.Header.Set(caller.HeaderAttempt, string(act.Attempt))
	if act.Key != "" {
		request.Header.Set(caller.HeaderIdempotencyKey, act.Key)
	}
	answer, err := s.readAnswer(request, string(act.Attempt))
	if err != nil {
		s.logger.Part("calls").Debug("Call failed.", "endpoint", act.Endpoint, "err", err)
		s.Step(event.CallFailed{Attempt: act.Attempt, NotSent: isNotSent(err)})
		return
	}
	s.Step(event.CallAnswered{Attempt: act.Attempt, Answer: answer})
}

func (s *Shell) readAnswer(request *http.Request, attempt string) (msgs.Answer, error) {
	response, err := s.services.Do(request)
	if err != nil {
		return msgs.Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get(caller.HeaderAttempt) != attempt {
		return msgs.Answer{}, &mismatchError{"attempt"}
	}
	body, err := limit.ReadAll(response.Body, s.settings.Limits.CallBytes)
	if err != nil {
		return msgs.Answer{}, errors.Wrap(err, "read answer")
	}
	if err := checkEnd(request.Context(), response, len(body)); err != nil {
		return msgs.Answer{}, err
	}
	return msgs.Answer{Status: response.StatusCode, Type: response.Header.Get("Content-Type"), Body: body}, nil
}

// checkEnd returns a truncatedError if an answer that ends with its connection is not whole, as far as that can be
// told: nothing followed its head, or the process of its endpoint is gone.
func checkEnd(ctx context.Context, response *http.Response, size int) error {
	if probe.HasFraming(response) || response.Uncompressed {
		return nil
	}
	if size == 0 {
		return &truncatedError{"it has neither a length nor a body"}
	}
	if probe.HasExited(ctx, (&net.Dialer{Timeout: controlTimeout}).DialContext, response.Request.URL.Host) {
		return &truncatedError{"its endpoint exited when it ended"}
	}
	return nil
}

func (s *Shell) cancelAttempt(address, name string) {
	if _, err := s.post("http://"+address+engine.PathCancel, engine.EncodeCancel(name)); err != nil {
		s.logger.Part("cancel").Debug("Cancel failed.", "attempt", name, "err", err)
	}
}

func (s *Shell) sendOrder(act action.SendOrder) {
	_, err := s.post("http://"+act.Address+engine.PathOrder, engine.EncodeOrder(act.Order))
	s.Step(event.OrderEnded{Endpoint: act.Endpoint, Number: act.Order.Fence, Taken: err == nil})
}

func (s *Shell) readReport(act action.ReadReport) {
	query := "?since=" + strconv.FormatUint(act.Since, 10)
	text, err := s.get("http://"+act.Address+engine.PathReport+query, controlTimeout)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		s.Step(event.ReportFailed{Endpoint: act.Endpoint, Refused: refused, RequestedAt: act.RequestedAt})
		return
	}
	report, err := engine.DecodeReport(text)
	if err != nil {
		s.logger.Part("reports").Warn("Report of endpoint can't be decoded.", "endpoint", act.Endpoint, "err", err)
		s.Step(event.ReportFailed{Endpoint: act.Endpoint, RequestedAt: act.RequestedAt})
		return
	}
	s.metrics.Reports.Inc(1)
	s.Step(event.ReportRead{Endpoint: act.Endpoint, Report: report, RequestedAt: act.RequestedAt})
}

func (s *Shell) watchPlatform(act action.WatchPlatform) {
	query := "?" + watch.Query(watch.Poll{Era: act.Era, After: act.AfterRevision, Wait: act.Wait, NamesEra: true})
	timeout := act.Wait.Duration() + controlTimeout
	text, err := s.get("http://"+s.settings.Platform+watch.Path+query, timeout)
	if err != nil {
		s.logger.Part("platform").Info("Platform can't be read.", "after", act.AfterRevision, "wait", act.Wait, "err", err)
		s.Step(event.PlatformFailed{Reason: err.Error()})
		return
	}
	page, err := watch.DecodePage(text)
	if err != nil {
		s.logger.Part("platform").Warn("Answer of the platform can't be decoded.", "after", act.AfterRevision, "err", err)
		s.Step(event.PlatformFailed{Reason: err.Error()})
		return
	}
	for _, read := range s.reader.Events(act, page) {
		s.Step(read)
	}
}

func (s *Shell) get(address string, timeout time.Duration) ([]byte, error) {
	return s.sendControl(http.MethodGet, address, nil, timeout)
}

func (s *Shell) post(address string, body []byte) ([]byte, error) {
	return s.sendControl(http.MethodPost, address, body, controlTimeout)
}

// sendControl sends a request with the control client and returns the response body. A
// status other than 200 is a *statusError.
func (s *Shell) sendControl(method, address string, body []byte, timeout time.Duration) ([]byte, error) {
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
	return io.ReadAll(response.Body)
}
