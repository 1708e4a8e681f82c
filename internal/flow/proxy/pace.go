package proxy

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/serve/limit"
)

const (
	// reportTimeout is the timeout of the call for a report. It can be short because
	// engines answer this call without a free slot.
	reportTimeout  = 400 * clock.Millis(1)
	maxReportBytes = 64 << 10
)

// ReportError reports that an endpoint answered the call for a report with the given
// status code instead of 200.
type ReportError struct{ Status int }

// Error returns a message with the status code.
func (e *ReportError) Error() string { return "call for report failed with status " + itoa(e.Status) }

// requestPace fetches the pace of an endpoint and passes it to the core. A failed call
// is only logged: failures of endpoints are detected by the requests sent to them.
func (p *Proxy) requestPace(action output.RequestPace) {
	pace, err := p.fetchPace(action.Address)
	if err != nil {
		p.logger.Part("pace").Info("Endpoint gave no report.", "endpoint", action.Endpoint, "err", err)
		return
	}
	p.Step(input.PaceReported{Endpoint: action.Endpoint, Factor: pace})
}

// fetchPace fetches the report of the endpoint at the address and returns its pace.
func (p *Proxy) fetchPace(address string) (float64, error) {
	ctx, cancel := context.WithTimeout(p.lifetime, reportTimeout.Duration())
	defer cancel()
	url := "http://" + address + p.dialect.ReportPath()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, errors.Wrap(err, "create request for report")
	}
	request.Header.Set("Connection", "close")
	response, err := p.peers.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, &ReportError{response.StatusCode}
	}
	report, err := limit.ReadAll(response.Body, maxReportBytes)
	if err != nil {
		return 0, errors.Wrap(err, "read report")
	}
	return p.dialect.ReadPace(report)
}
