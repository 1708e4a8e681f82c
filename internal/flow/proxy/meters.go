package proxy

import (
	"io"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"mustardhook/internal/serve/conns"
)

type (
	// entryMetrics holds the metrics of one entry.
	entryMetrics struct {
		registry metrics.Registry
		requests metrics.Counter
		answered metrics.Counter
		refused  metrics.Counter
		// overShare counts the refused requests of organisations over their share.
		overShare metrics.Counter
		aborted   metrics.Counter
		sends     metrics.Counter
		// coldSends counts the sends to cold endpoints.
		coldSends metrics.Counter
		// leaving and pauses count the answers in which endpoints announced that they leave, and
		// those in which they asked for a pause.
		leaving metrics.Counter
		pauses  metrics.Counter
		// withdrawn counts the sends that were given up because an endpoint was evacuated first.
		withdrawn metrics.Counter
		// failedReads counts the reads of published state that failed.
		failedReads metrics.Counter
		// timeToFirstEvent measures the time until the first event of a stream, and
		// duration the time until the whole answer was delivered.
		timeToFirstEvent metrics.Timer
		duration         metrics.Timer
		// predictionError measures by how much the duration of a send to a plain service differs from the
		// predicted one.
		predictionError metrics.Timer
	}
)

func newEntryMetrics(callers *conns.Tracker) *entryMetrics {
	r := metrics.NewRegistry()
	refused := func(name string, count func(conns.Refusals) int64) {
		metrics.NewRegisteredFunctionalGauge(name, r, func() int64 { return count(callers.Refusals()) })
	}
	refused("callers.headsTooLarge", func(refusals conns.Refusals) int64 { return refusals.TooLarge })
	refused("callers.headsWithoutMemory", func(refusals conns.Refusals) int64 { return refusals.NoMemory })
	refused("callers.gaveWay", func(refusals conns.Refusals) int64 { return refusals.GaveWay })
	return &entryMetrics{
		registry:         r,
		requests:         metrics.NewRegisteredCounter("requests.asked", r),
		answered:         metrics.NewRegisteredCounter("requests.answered", r),
		refused:          metrics.NewRegisteredCounter("requests.refused", r),
		overShare:        metrics.NewRegisteredCounter("requests.overShare", r),
		aborted:          metrics.NewRegisteredCounter("requests.aborted", r),
		sends:            metrics.NewRegisteredCounter("sends.started", r),
		coldSends:        metrics.NewRegisteredCounter("sends.cold", r),
		leaving:          metrics.NewRegisteredCounter("endpoints.leaving", r),
		pauses:           metrics.NewRegisteredCounter("endpoints.pauses", r),
		withdrawn:        metrics.NewRegisteredCounter("sends.withdrawn", r),
		failedReads:      metrics.NewRegisteredCounter("published.failedReads", r),
		timeToFirstEvent: metrics.NewRegisteredTimer("requests.firstEvent", r),
		duration:         metrics.NewRegisteredTimer("requests.total", r),
		predictionError:  metrics.NewRegisteredTimer("sends.predictionError", r),
	}
}

// registerGauge registers a gauge that is read when the metrics are written.
func (m *entryMetrics) registerGauge(name string, read func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, m.registry, read)
}

// write writes all metrics as text, one per line.
func (m *entryMetrics) write(to io.Writer) { metrics.WriteOnce(m.registry, to) }

func itoa(count int) string { return strconv.Itoa(count) }
