package proxy

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
)

const (
	// reportTimeout bounds the call for a report, which engines answer without a slot.
	reportTimeout = 400 * clock.Millis(1)
	reportBytes   = 64 << 10
)

// ReportError is an endpoint's refusal to report on itself.
type ReportError struct{ Status int }

// Error names the status.
func (e *ReportError) Error() string { return "report was answered with status " + itoa(e.Status) }

// askPace asks an endpoint for its pace. Without an answer nothing is known of it:
// failures of endpoints show by the requests there.
func (p *Proxy) askPace(wanted output.RequestPace) {
	pace, err := p.readPace(wanted.Address)
	if err != nil {
		p.logger.Part("pace").Info("Endpoint gave no report.", "endpoint", wanted.Endpoint, "err", err)
		return
	}
	p.Step(input.PaceReported{Endpoint: wanted.Endpoint, Factor: pace})
}

func (p *Proxy) readPace(address string) (float64, error) {
	ctx, cancel := context.WithTimeout(p.lifetime, reportTimeout.Duration())
	defer cancel()
	url := "http://" + address + p.dialect.ReportPath()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, errors.Wrap(err, "make call")
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
	report, err := io.ReadAll(io.LimitReader(response.Body, reportBytes))
	if err != nil {
		return 0, errors.Wrap(err, "read report")
	}
	return p.dialect.ReadPace(report)
}
