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

	// Motor is the model of one engine. It is not safe for concurrent use.
	Motor struct {
		config     Config
		now        int64
		jobs       []*activeJob
		usedTokens int
		cache      []cachedPrefix
		sequence   uint64
		events     []event.CacheEvent
		history    []snapshot
	}

	activeJob struct {
		job            Job
		arrivedAt      int64
		pendingPrefill int
		cachedTokens   int
		generated      int
		admitted       bool
	}

	cachedPrefix struct {
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
func New(config Config, now clock.Millis) *Motor {
	return &Motor{config: config, now: int64(now) * microsPerMilli}
}

// Submit adds a job.
func (m *Motor) Submit(now clock.Millis, job Job) error {
	if len(m.jobs) >= QueueLimit {
		return &FullError{}
	}
	if need := job.Tokens + job.MaxTokens; need > m.config.Memory {
		return &TooLongError{need, m.config.Memory}
	}
	if len(m.jobs) == 0 {
		m.now = max(m.now, int64(now)*microsPerMilli)
	}
	m.jobs = append(m.jobs, &activeJob{job: job, arrivedAt: int64(now) * microsPerMilli, generated: job.Resume})
	return nil
}

// Cancel drops a job and frees its memory; it reports whether the job was there.
func (m *Motor) Cancel(attempt ident.Attempt) bool {
	for _, r := range m.jobs {
		if r.job.Attempt == attempt {
			m.remove(r)
			return true
		}
	}
	return false
}

// Next returns the end of the next iteration, and false when the engine is idle.
func (m *Motor) Next() (clock.Millis, bool) {
	if len(m.jobs) == 0 {
		return 0, false
	}
	_, end := m.planIteration()
	return clock.Millis((end + microsPerMilli - 1) / microsPerMilli), true
}

// Advance runs all iterations that end by the instant and returns their output.
func (m *Motor) Advance(now clock.Millis) []Output {
	limit := int64(now) * microsPerMilli
	var outputs []Output
	for len(m.jobs) > 0 {
		m.expire()
		chunks, end := m.planIteration()
		if end > limit {
			break
		}
		m.now = end
		outputs = append(outputs, m.finishIteration(chunks)...)
	}
	if len(m.jobs) == 0 {
		m.now = max(m.now, limit)
	}
	m.takeSnapshot(limit)
	return outputs
}

// expire frees the memory of jobs whose lease ran out.
func (m *Motor) expire() {
	for _, r := range slices.Clone(m.jobs) {
		if r.job.Lease > 0 && m.now-r.arrivedAt > int64(r.job.Lease)*microsPerMilli {
			m.remove(r)
		}
	}
}

type chunk struct {
	target *activeJob
	tokens int
}

// planIteration admits waiting jobs by priority and arrival, and divides the iteration's
// prefill tokens among them.
func (m *Motor) planIteration() ([]chunk, int64) {
	slices.SortStableFunc(m.jobs, func(a, b *activeJob) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(a.arrivedAt, b.arrivedAt))
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
		if r.pendingPrefill == 0 {
			decoding++
			continue
		}
		if tokens := min(budget, r.pendingPrefill); tokens > 0 {
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
func (m *Motor) admit(r *activeJob) {
	need := r.job.Tokens + r.job.MaxTokens
	hit := m.cachedPrefixTokens(r.job.Prefixes)
	for m.usedTokens+m.cacheSize()+need > m.config.Memory && len(m.cache) > 0 {
		m.evict()
	}
	if m.usedTokens+need > m.config.Memory {
		return
	}
	m.usedTokens += need
	r.admitted = true
	r.cachedTokens = min(hit, r.job.Tokens)
	r.pendingPrefill = max(r.job.Tokens-r.cachedTokens, 1)
}

func (m *Motor) cacheSize() int {
	longest := 0
	for _, entry := range m.cache {
		longest += entry.tokens
	}
	return longest
}

func (m *Motor) cachedPrefixTokens(prefixes []uint64) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		for _, entry := range m.cache {
			if entry.prefix == prefixes[i] {
				return score.BlockTokens[i]
			}
		}
	}
	return 0
}

func (m *Motor) evict() {
	gone := m.cache[0]
	m.cache = m.cache[1:]
	m.addCacheEvent(gone.prefix, false)
}

func (m *Motor) addCacheEvent(prefix uint64, stored bool) {
	m.sequence++
	m.events = append(m.events, event.CacheEvent{Sequence: m.sequence, Prefix: prefix, Stored: stored})
	if len(m.events) > EventLimit {
		m.events = m.events[len(m.events)-EventLimit:]
	}
}

// storePrefixes keeps the prefixes of a finished prefill; each block counts the tokens
// that the shorter block before it does not hold.
func (m *Motor) storePrefixes(prefixes []uint64) {
	before := 0
	for i, prefix := range prefixes {
		tokens := score.BlockTokens[i] - before
		before = score.BlockTokens[i]
		at := slices.IndexFunc(m.cache, func(entry cachedPrefix) bool { return entry.prefix == prefix })
		if at >= 0 {
			entry := m.cache[at]
			m.cache = append(slices.Delete(m.cache, at, at+1), entry)
			continue
		}
		if m.usedTokens+m.cacheSize()+tokens > m.config.Memory {
			return
		}
		m.cache = append(m.cache, cachedPrefix{prefix, tokens})
		m.addCacheEvent(prefix, true)
	}
}

func (m *Motor) finishIteration(chunks []chunk) []Output {
	at := clock.Millis(m.now / microsPerMilli)
	var outputs []Output
	prefilled := map[*activeJob]bool{}
	for _, c := range chunks {
		c.target.pendingPrefill -= c.tokens
		prefilled[c.target] = c.target.pendingPrefill > 0
		if c.target.pendingPrefill == 0 {
			m.storePrefixes(c.target.job.Prefixes)
		}
	}
	for _, r := range slices.Clone(m.jobs) {
		if !r.admitted || r.pendingPrefill > 0 || prefilled[r] {
			continue
		}
		if r.generated < r.job.MaxTokens {
			outputs = append(outputs, Output{Attempt: r.job.Attempt, Index: r.generated, At: at})
			r.generated++
		}
		if r.generated >= r.job.MaxTokens {
			outputs = append(outputs, Output{Attempt: r.job.Attempt, End: true, Tokens: r.generated, Cached: r.cachedTokens, At: at})
			m.remove(r)
		}
	}
	return outputs
}

func (m *Motor) remove(gone *activeJob) {
	m.jobs = slices.DeleteFunc(m.jobs, func(r *activeJob) bool { return r == gone })
	if gone.admitted {
		m.usedTokens -= gone.job.Tokens + gone.job.MaxTokens
	}
}

// takeSnapshot keeps snapshots for lagging reports.
func (m *Motor) takeSnapshot(now int64) {
	m.history = append(m.history, snapshot{now, m.currentReport(now)})
	oldest := now - int64(m.config.Lag)*microsPerMilli
	for len(m.history) > 1 && m.history[1].at <= oldest {
		m.history = m.history[1:]
	}
}

func (m *Motor) currentReport(now int64) event.Report {
	report := event.Report{
		FreeTokens: m.config.Memory - m.usedTokens, TotalTokens: m.config.Memory, PrefillRate: m.config.Rate,
	}
	for _, r := range m.jobs {
		if r.admitted && r.pendingPrefill == 0 {
			report.Decoding++
		} else if r.admitted {
			report.QueuedTokens += r.pendingPrefill
		} else {
			report.QueuedTokens += r.job.Tokens
		}
		report.Allocations = append(report.Allocations, event.Allocation{
			Name: string(r.job.Attempt), Owner: r.job.Owner, Tokens: r.job.Tokens + r.job.MaxTokens,
			Age: clock.Millis((now - r.arrivedAt) / microsPerMilli),
		})
	}
	return report
}

// Report returns the engine's load as it was one lag ago, and the cache events
// after the sequence number. It does not move the engine on: the output of the
// iterations belongs to whoever calls Advance.
func (m *Motor) Report(now clock.Millis, since uint64) event.Report {
	m.takeSnapshot(int64(now) * microsPerMilli)
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

// Used returns the tokens of memory that jobs hold.
func (m *Motor) Used() int { return m.usedTokens }
