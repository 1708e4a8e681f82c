// Package sched simulates the scheduling of a model engine: continuous batching,
// chunked prefill by priority, bounded memory and a prefix cache. The caller passes
// the time in, so that the simulation runs in real or virtual time. The package
// does no I/O.
package sched

import (
	"cmp"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/route/score"
)

const (
	// DefaultRate is the prefill rate in tokens per second.
	DefaultRate = 20000
	// DefaultMemory is the memory size in tokens.
	DefaultMemory = 400_000
	// DefaultStep is the duration of an iteration that only decodes.
	DefaultStep = 20 * clock.Millis(1)
	// DefaultBatch is the maximum number of jobs in one batch.
	DefaultBatch = 64
	// ChunkTokens is the maximum number of prompt tokens prefilled in one iteration.
	ChunkTokens = 2048
	// QueueLimit is the maximum number of unfinished jobs, running and queued.
	QueueLimit = 256
	// EventLimit is the number of recent cache events kept for reports.
	EventLimit = 1024

	microsPerMilli = 1000
)

type (
	// Config holds the performance parameters of an engine.
	Config struct {
		// Rate is the prefill rate in tokens per second.
		Rate int
		// Memory is the memory size in tokens.
		Memory int
		// Step is the decode time of one iteration.
		Step clock.Millis
		// Batch is the maximum number of jobs in one batch.
		Batch int
		// Lag is the age of the load figures in a report.
		Lag clock.Millis
	}

	// Job is one attempt to generate an answer.
	Job struct {
		Attempt   ident.Attempt
		Owner     ident.Incarnation
		Tokens    int
		MaxTokens int
		Prefixes  []uint64
		Priority  int
		// Resume is the number of answer tokens that another engine has already
		// generated.
		Resume int
		// Lease is the time after which an unfinished job is dropped; zero means never.
		Lease clock.Millis
	}

	// Output is one generated token, or the end of a job. Tokens and Cached, the numbers
	// of generated tokens and of cached prompt tokens, are set only at the end.
	Output struct {
		Attempt ident.Attempt
		Index   int
		End     bool
		Tokens  int
		Cached  int
		At      clock.Millis
	}

	// FullError reports that the engine already has QueueLimit jobs.
	FullError struct{}

	// TooLongError reports that a prompt and its answer exceed the engine's memory.
	// Both sizes are in tokens.
	TooLongError struct {
		Tokens int
		Memory int
	}

	// Simulator simulates one engine. It is not safe for concurrent use.
	Simulator struct {
		config Config
		// now is the end of the last iteration in microseconds.
		now        int64
		jobs       []*activeJob
		usedTokens int
		cache      []cachedPrefix
		sequence   uint64
		events     []event.CacheEvent
		history    []snapshot
	}

	// activeJob is a queued or running job. Times are in microseconds.
	activeJob struct {
		job            Job
		arrivedAt      int64
		pendingPrefill int
		cachedTokens   int
		// generated is the number of answer tokens, including those of Job.Resume.
		generated int
		// admitted reports whether memory is allocated to the job.
		admitted bool
	}

	// cachedPrefix is a block in the prefix cache. Its tokens do not include those of
	// shorter prefixes.
	cachedPrefix struct {
		prefix uint64
		tokens int
	}

	// snapshot is the load at a time in microseconds.
	snapshot struct {
		at     int64
		report event.Report
	}
)

// Error returns the message.
func (*FullError) Error() string { return "engine queue is full" }

// Error returns the message.
func (*TooLongError) Error() string { return "prompt and answer do not fit into the engine's memory" }

// DefaultConfig returns the default parameters, without lag.
func DefaultConfig() Config {
	return Config{Rate: DefaultRate, Memory: DefaultMemory, Step: DefaultStep, Batch: DefaultBatch}
}

// New returns an idle engine whose clock starts at now.
func New(config Config, now clock.Millis) *Simulator {
	return &Simulator{config: config, now: int64(now) * microsPerMilli}
}

// Submit queues a job. It returns a *FullError or a *TooLongError when the engine
// rejects the job.
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
	m.jobs = append(m.jobs, &activeJob{job: job, arrivedAt: int64(now) * microsPerMilli, generated: job.Resume})
	return nil
}

// Cancel removes the job of an attempt and frees its memory. It reports whether the
// engine had such a job.
func (m *Simulator) Cancel(attempt ident.Attempt) bool {
	for _, r := range m.jobs {
		if r.job.Attempt == attempt {
			m.remove(r)
			return true
		}
	}
	return false
}

// Next returns the end time of the next iteration, or false when the engine is idle.
func (m *Simulator) Next() (clock.Millis, bool) {
	if len(m.jobs) == 0 {
		return 0, false
	}
	_, end := m.planIteration()
	return clock.Millis((end + microsPerMilli - 1) / microsPerMilli), true
}

// Advance runs all iterations that end at or before now and returns their output.
func (m *Simulator) Advance(now clock.Millis) []Output {
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

// expire removes jobs whose lease has expired.
func (m *Simulator) expire() {
	for _, r := range slices.Clone(m.jobs) {
		if r.job.Lease > 0 && m.now-r.arrivedAt > int64(r.job.Lease)*microsPerMilli {
			m.remove(r)
		}
	}
}

// chunk is the part of a prompt that one iteration prefills.
type chunk struct {
	target *activeJob
	tokens int
}

// planIteration admits queued jobs in order of priority and arrival, and divides the
// prefill tokens of the iteration among the admitted jobs. It returns the chunks and
// the end time of the iteration.
func (m *Simulator) planIteration() ([]chunk, int64) {
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
	prefillTime := int64(ChunkTokens-budget) * 1000 * microsPerMilli / int64(m.config.Rate)
	duration := prefillTime
	if decoding > 0 {
		duration += int64(m.config.Step) * microsPerMilli
	}
	return chunks, m.now + max(duration, 1)
}

// admit allocates memory to a job and evicts cached prefixes to make room. The job
// stays queued when the memory is still insufficient.
func (m *Simulator) admit(r *activeJob) {
	needed := r.job.Tokens + r.job.MaxTokens
	hitTokens := m.cachedPrefixTokens(r.job.Prefixes)
	for m.usedTokens+m.cacheSize()+needed > m.config.Memory && len(m.cache) > 0 {
		m.evict()
	}
	if m.usedTokens+needed > m.config.Memory {
		return
	}
	m.usedTokens += needed
	r.admitted = true
	r.cachedTokens = min(hitTokens, r.job.Tokens)
	r.pendingPrefill = max(r.job.Tokens-r.cachedTokens, 1)
}

// cacheSize returns the number of tokens in the prefix cache.
func (m *Simulator) cacheSize() int {
	total := 0
	for _, entry := range m.cache {
		total += entry.tokens
	}
	return total
}

// cachedPrefixTokens returns the length of the longest cached prefix in tokens.
func (m *Simulator) cachedPrefixTokens(prefixes []uint64) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		for _, entry := range m.cache {
			if entry.prefix == prefixes[i] {
				return score.PrefixLengths[i]
			}
		}
	}
	return 0
}

// evict removes the least recently used prefix from the cache.
func (m *Simulator) evict() {
	evicted := m.cache[0]
	m.cache = m.cache[1:]
	m.addCacheEvent(evicted.prefix, false)
}

// addCacheEvent records that a prefix was stored or evicted.
func (m *Simulator) addCacheEvent(prefix uint64, stored bool) {
	m.sequence++
	m.events = append(m.events, event.CacheEvent{Sequence: m.sequence, Prefix: prefix, Stored: stored})
	if len(m.events) > EventLimit {
		m.events = m.events[len(m.events)-EventLimit:]
	}
}

// storePrefixes caches the prefixes of a prompt whose prefill is complete, or marks
// them as recently used. Each block counts only the tokens beyond the previous,
// shorter block.
func (m *Simulator) storePrefixes(prefixes []uint64) {
	previous := 0
	for i, prefix := range prefixes {
		tokens := score.PrefixLengths[i] - previous
		previous = score.PrefixLengths[i]
		index := slices.IndexFunc(m.cache, func(entry cachedPrefix) bool { return entry.prefix == prefix })
		if index >= 0 {
			entry := m.cache[index]
			m.cache = append(slices.Delete(m.cache, index, index+1), entry)
			continue
		}
		if m.usedTokens+m.cacheSize()+tokens > m.config.Memory {
			return
		}
		m.cache = append(m.cache, cachedPrefix{prefix, tokens})
		m.addCacheEvent(prefix, true)
	}
}

// finishIteration applies the chunks, then generates one token for each admitted job
// whose prefill is complete.
func (m *Simulator) finishIteration(chunks []chunk) []Output {
	at := clock.Millis(m.now / microsPerMilli)
	var outputs []Output
	unfinished := map[*activeJob]bool{}
	for _, c := range chunks {
		c.target.pendingPrefill -= c.tokens
		unfinished[c.target] = c.target.pendingPrefill > 0
		if c.target.pendingPrefill == 0 {
			m.storePrefixes(c.target.job.Prefixes)
		}
	}
	for _, r := range slices.Clone(m.jobs) {
		if !r.admitted || r.pendingPrefill > 0 || unfinished[r] {
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

func (m *Simulator) remove(removed *activeJob) {
	m.jobs = slices.DeleteFunc(m.jobs, func(r *activeJob) bool { return r == removed })
	if removed.admitted {
		m.usedTokens -= removed.job.Tokens + removed.job.MaxTokens
	}
}

// takeSnapshot records the current load and drops snapshots that are too old for any
// further report.
func (m *Simulator) takeSnapshot(now int64) {
	m.history = append(m.history, snapshot{now, m.currentReport(now)})
	oldest := now - int64(m.config.Lag)*microsPerMilli
	for len(m.history) > 1 && m.history[1].at <= oldest {
		m.history = m.history[1:]
	}
}

func (m *Simulator) currentReport(now int64) event.Report {
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

// Report returns the load as it was Config.Lag ago, and the cache events after the
// sequence number since. It does not run iterations, because only the caller of
// Advance may receive their output.
func (m *Simulator) Report(now clock.Millis, since uint64) event.Report {
	m.takeSnapshot(int64(now) * microsPerMilli)
	report := m.history[0].report
	report.Age = now - clock.Millis(m.history[0].at/microsPerMilli)
	report.CacheSequence = m.sequence
	for _, cacheEvent := range m.events {
		if cacheEvent.Sequence > since {
			report.CacheEvents = append(report.CacheEvents, cacheEvent)
		}
	}
	return report
}

// UsedTokens returns the number of memory tokens allocated to jobs.
func (m *Simulator) UsedTokens() int { return m.usedTokens }
