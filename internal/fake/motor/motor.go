// Package motor is a small model of a model engine's interface: continuous
// batching, chunked prefill by priority, limited memory and a prefix cache. It
// runs in any time, real or virtual, and does no I/O.
package motor

import (
	"cmp"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/route/score"
)

const (
	// DefaultRate is the prefill rate in tokens a second.
	DefaultRate = 20000
	// DefaultMemory is the memory in tokens.
	DefaultMemory = 400_000
	// DefaultStep is the time of one iteration without prefill.
	DefaultStep = 20 * clock.Millis(1)
	// DefaultBatch is how many streams are decoded together.
	DefaultBatch = 64
	// ChunkTokens is how many prompt tokens one iteration prefills.
	ChunkTokens = 2048
	// QueueLimit bounds the jobs that wait.
	QueueLimit = 256
	// EventLimit bounds the cache events that are kept for readers.
	EventLimit = 1024

	microsPerMilli = 1000
)

type (
	// Config are the figures of an engine.
	Config struct {
		Rate   int
		Memory int
		Step   clock.Millis
		Batch  int
		// Lag is how old a report is.
		Lag clock.Millis
	}

	// Job is one attempt.
	Job struct {
		Attempt   ident.Attempt
		Owner     ident.Incarnation
		Tokens    int
		MaxTokens int
		Prefixes  []uint64
		Priority  int
		// Resume is how many tokens were generated elsewhere.
		Resume int
		Lease  clock.Millis
	}

	// Output is one generated token, or the end of a job.
	Output struct {
		Attempt ident.Attempt
		Index   int
		End     bool
		Tokens  int
		Cached  int
		At      clock.Millis
	}

	// FullError says that the engine takes no more jobs.
	FullError struct{}

	// TooLongError says that a prompt does not fit into the whole memory.
	TooLongError struct {
		Tokens int
		Memory int
	}

	// Simulator is the model of one engine. It is not safe for concurrent use.
	Simulator struct {
		config   Config
		now      int64
		jobs     []*running
		used     int
		cache    []cached
		sequence uint64
		events   []event.CacheEvent
		history  []snapshot
	}

	running struct {
		job      Job
		arrived  int64
		left     int
		cached   int
		made     int
		admitted bool
	}

	cached struct {
		prefix uint64
		tokens int
	}

	snapshot struct {
		at     int64
		report event.Report
	}
)

// Error returns the text of the fault.
func (*FullError) Error() string { return "engine queue is full" }

// Error returns the text of the fault.
func (*TooLongError) Error() string { return "prompt is longer than the engine's memory" }

// DefaultConfig returns the figures of an ordinary engine.
func DefaultConfig() Config {
	return Config{Rate: DefaultRate, Memory: DefaultMemory, Step: DefaultStep, Batch: DefaultBatch}
}

// New returns an idle engine at the instant.
func New(config Config, now clock.Millis) *Simulator {
	return &Simulator{config: config, now: int64(now) * microsPerMilli}
}

// Submit adds a job.
func (m *Simulator) Submit(now clock.Millis, job Job) error {
	if len(m.jobs) >= QueueLimit {
		return &FullError{}
	}
	if need := job.Tokens + job.MaxTokens; need > m.config.Memory {
		return &TooLongError{need, m.config.Memory}
	}
	if len(m.jobs) == 0 {
		m.now = max(m.now, int64(now)*microsPerMilli)
	}
	m.jobs = append(m.jobs, &running{job: job, arrived: int64(now) * microsPerMilli, made: job.Resume})
	return nil
}

// Cancel drops a job and frees its memory; it reports whether the job was there.
func (m *Simulator) Cancel(attempt ident.Attempt) bool {
	for _, r := range m.jobs {
		if r.job.Attempt == attempt {
			m.remove(r)
			return true
		}
	}
	return false
}

// Next returns the end of the next iteration, and false when the engine is idle.
func (m *Simulator) Next() (clock.Millis, bool) {
	if len(m.jobs) == 0 {
		return 0, false
	}
	_, end := m.plan()
	return clock.Millis((end + microsPerMilli - 1) / microsPerMilli), true
}

// Advance runs all iterations that end by the instant and returns their output.
func (m *Simulator) Advance(now clock.Millis) []Output {
	limit := int64(now) * microsPerMilli
	var outputs []Output
	for len(m.jobs) > 0 {
		m.expire()
		chunks, end := m.plan()
		if end > limit {
			break
		}
		m.now = end
		outputs = append(outputs, m.finishIteration(chunks)...)
	}
	if len(m.jobs) == 0 {
		m.now = max(m.now, limit)
	}
	m.record(limit)
	return outputs
}

// expire frees the memory of jobs whose lease ran out.
func (m *Simulator) expire() {
	for _, r := range slices.Clone(m.jobs) {
		if r.job.Lease > 0 && m.now-r.arrived > int64(r.job.Lease)*microsPerMilli {
			m.remove(r)
		}
	}
}

type chunk struct {
	of     *running
	tokens int
}

// plan admits waiting jobs by priority and arrival, and divides the iteration's
// prefill tokens among them.
func (m *Simulator) plan() ([]chunk, int64) {
	slices.SortStableFunc(m.jobs, func(a, b *running) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(a.arrived, b.arrived))
	})
	budget := ChunkTokens
	admitted := 0
	decoding := 0
	var chunks []chunk
	for _, r := range m.jobs {
		if !r.admitted && admitted < m.config.Batch {
			m.admit(r)
		}
		if !r.admitted {
			continue
		}
		admitted++
		if r.left == 0 {
			decoding++
			continue
		}
		if tokens := min(budget, r.left); tokens > 0 {
			chunks = append(chunks, chunk{r, tokens})
			budget -= tokens
		}
	}
	prefill := int64(ChunkTokens-budget) * 1000 * microsPerMilli / int64(m.config.Rate)
	span := prefill
	if decoding > 0 {
		span += int64(m.config.Step) * microsPerMilli
	}
	return chunks, m.now + max(span, 1)
}

// admit gives a job its memory, taking it from the prefix cache when needed.
func (m *Simulator) admit(r *running) {
	need := r.job.Tokens + r.job.MaxTokens
	hit := m.lookup(r.job.Prefixes)
	for m.used+m.cachedTokens()+need > m.config.Memory && len(m.cache) > 0 {
		m.evict()
	}
	if m.used+need > m.config.Memory {
		return
	}
	m.used += need
	r.admitted = true
	r.cached = min(hit, r.job.Tokens)
	r.left = max(r.job.Tokens-r.cached, 1)
}

func (m *Simulator) cachedTokens() int {
	longest := 0
	for _, entry := range m.cache {
		longest += entry.tokens
	}
	return longest
}

func (m *Simulator) lookup(prefixes []uint64) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		for _, entry := range m.cache {
			if entry.prefix == prefixes[i] {
				return score.PrefixLengths[i]
			}
		}
	}
	return 0
}

func (m *Simulator) evict() {
	gone := m.cache[0]
	m.cache = m.cache[1:]
	m.change(gone.prefix, false)
}

func (m *Simulator) change(prefix uint64, stored bool) {
	m.sequence++
	m.events = append(m.events, event.CacheEvent{Sequence: m.sequence, Prefix: prefix, Stored: stored})
	if len(m.events) > EventLimit {
		m.events = m.events[len(m.events)-EventLimit:]
	}
}

// store keeps the prefixes of a finished prefill; each block counts the tokens
// that the shorter block before it does not hold.
func (m *Simulator) store(prefixes []uint64) {
	before := 0
	for i, prefix := range prefixes {
		tokens := score.PrefixLengths[i] - before
		before = score.PrefixLengths[i]
		at := slices.IndexFunc(m.cache, func(entry cached) bool { return entry.prefix == prefix })
		if at >= 0 {
			entry := m.cache[at]
			m.cache = append(slices.Delete(m.cache, at, at+1), entry)
			continue
		}
		if m.used+m.cachedTokens()+tokens > m.config.Memory {
			return
		}
		m.cache = append(m.cache, cached{prefix, tokens})
		m.change(prefix, true)
	}
}

func (m *Simulator) finishIteration(chunks []chunk) []Output {
	at := clock.Millis(m.now / microsPerMilli)
	var outputs []Output
	prefilled := map[*running]bool{}
	for _, c := range chunks {
		c.of.left -= c.tokens
		prefilled[c.of] = c.of.left > 0
		if c.of.left == 0 {
			m.store(c.of.job.Prefixes)
		}
	}
	for _, r := range slices.Clone(m.jobs) {
		if !r.admitted || r.left > 0 || prefilled[r] {
			continue
		}
		if r.made < r.job.MaxTokens {
			outputs = append(outputs, Output{Attempt: r.job.Attempt, Index: r.made, At: at})
			r.made++
		}
		if r.made >= r.job.MaxTokens {
			outputs = append(outputs, Output{Attempt: r.job.Attempt, End: true, Tokens: r.made, Cached: r.cached, At: at})
			m.remove(r)
		}
	}
	return outputs
}

func (m *Simulator) remove(gone *running) {
	m.jobs = slices.DeleteFunc(m.jobs, func(r *running) bool { return r == gone })
	if gone.admitted {
		m.used -= gone.job.Tokens + gone.job.MaxTokens
	}
}

// record keeps snapshots for lagging reports.
func (m *Simulator) record(now int64) {
	m.history = append(m.history, snapshot{now, m.current(now)})
	oldest := now - int64(m.config.Lag)*microsPerMilli
	for len(m.history) > 1 && m.history[1].at <= oldest {
		m.history = m.history[1:]
	}
}

func (m *Simulator) current(now int64) event.Report {
	report := event.Report{
		FreeTokens: m.config.Memory - m.used, TotalTokens: m.config.Memory, PrefillRate: m.config.Rate,
	}
	for _, r := range m.jobs {
		if r.admitted && r.left == 0 {
			report.Decoding++
		} else if r.admitted {
			report.QueuedTokens += r.left
		} else {
			report.QueuedTokens += r.job.Tokens
		}
		report.Allocations = append(report.Allocations, event.Allocation{
			Name: string(r.job.Attempt), Owner: r.job.Owner, Tokens: r.job.Tokens + r.job.MaxTokens,
			Age: clock.Millis((now - r.arrived) / microsPerMilli),
		})
	}
	return report
}

// Report returns the engine's load as it was one lag ago, and the cache events
// after the sequence number. It does not move the engine on: the output of the
// iterations belongs to whoever calls Advance.
func (m *Simulator) Report(now clock.Millis, since uint64) event.Report {
	m.record(int64(now) * microsPerMilli)
	report := m.history[0].report
	report.Age = now - clock.Millis(m.history[0].at/microsPerMilli)
	report.CacheSequence = m.sequence
	for _, change := range m.events {
		if change.Sequence > since {
			report.CacheEvents = append(report.CacheEvents, change)
		}
	}
	return report
}

// UsedTokens returns the tokens of memory that jobs hold.
func (m *Simulator) UsedTokens() int { return m.used }
