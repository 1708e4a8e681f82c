package proxy

import (
	"io"
	"strconv"

	"github.com/rcrowley/go-metrics"
)

type (
	// meters are the metrics of one entry.
	meters struct {
		registry metrics.Registry
		requests metrics.Counter
		answered metrics.Counter
		refused  metrics.Counter
		aborted  metrics.Counter
		sends    metrics.Counter
		first    metrics.Timer
		total    metrics.Timer
	}
)

func newMeters() *meters {
	r := metrics.NewRegistry()
	return &meters{
		registry: r,
		requests: metrics.NewRegisteredCounter("requests.asked", r),
		answered: metrics.NewRegisteredCounter("requests.answered", r),
		refused:  metrics.NewRegisteredCounter("requests.refused", r),
		aborted:  metrics.NewRegisteredCounter("requests.aborted", r),
		sends:    metrics.NewRegisteredCounter("sends.started", r),
		first:    metrics.NewRegisteredTimer("requests.firstEvent", r),
		total:    metrics.NewRegisteredTimer("requests.total", r),
	}
}

// write writes all metrics as text, one a line.
func (m *meters) write(to io.Writer) { metrics.WriteOnce(m.registry, to) }

func itoa(count int) string { return strconv.Itoa(count) }
