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
		// Lag is the age of the load values in a report.
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
func (s *Simulator) Submit(now clock.Millis, job Job) error {
	if len(s.jobs) >= QueueLimit {
		return &FullError{}
	}
	if need := job.Tokens + job.MaxTokens; need > s.config.Memory {
		return &TooLongError{need, s.config.Memory}
	}
	if len(s.jobs) == 0 {
		s.now = max(s.now, int64(now)*microsPerMilli)
	}
	s.jobs = append(s.jobs, &activeJob{job: job, arrivedAt: int64(now) * microsPerMilli, generated: job.Resume})
	return nil
}

// Cancel removes the job of an attempt and frees its memory. It reports whether the
// engine had such a job.
func (s *Simulator) Cancel(attempt ident.Attempt) bool {
	for _, j := range s.jobs {
		if j.job.Attempt == attempt {
			s.remove(j)
			return true
		}
	}
	return false
}

// NextIterationEnd returns the end time of the next iteration, or false when the engine is
// idle.
func (s *Simulator) NextIterationEnd() (clock.Millis, bool) {
	if len(s.jobs) == 0 {
		return 0, false
	}
	_, end := s.planIteration()
	return clock.Millis((end + microsPerMilli - 1) / microsPerMilli), true
}

// Advance runs all iterations that end at or before now and returns their output.
func (s *Simulator) Advance(now clock.Millis) []Output {
	limit := int64(now) * microsPerMilli
	var outputs []Output
	for len(s.jobs) > 0 {
		s.expire()
		chunks, end := s.planIteration()
		if end > limit {
			break
		}
		s.now = end
		outputs = append(outputs, s.finishIteration(chunks)...)
	}
	if len(s.jobs) == 0 {
		s.now = max(s.now, limit)
	}
	s.takeSnapshot(limit)
	return outputs
}

// expire removes jobs whose lease has expired.
func (s *Simulator) expire() {
	for _, j := range slices.Clone(s.jobs) {
		if j.job.Lease > 0 && s.now-j.arrivedAt > int64(j.job.Lease)*microsPerMilli {
			s.remove(j)
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
func (s *Simulator) planIteration() ([]chunk, int64) {
	slices.SortStableFunc(s.jobs, func(a, b *activeJob) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(a.arrivedAt, b.arrivedAt))
	})
	budget := ChunkTokens
	admitted := 0
	decoding := 0
	var chunks []chunk
	for _, j := range s.jobs {
		if !j.admitted && admitted < s.config.Batch {
			s.admit(j)
		}
		if !j.admitted {
			continue
		}
		admitted++
		if j.pendingPrefill == 0 {
			decoding++
			continue
		}
		if tokens := min(budget, j.pendingPrefill); tokens > 0 {
			chunks = append(chunks, chunk{j, tokens})
			budget -= tokens
		}
	}
	prefillTime := int64(ChunkTokens-budget) * 1000 * microsPerMilli / int64(s.config.Rate)
	duration := prefillTime
	if decoding > 0 {
		duration += int64(s.config.Step) * microsPerMilli
	}
	return chunks, s.now + max(duration, 1)
}

// admit allocates memory to a job and evicts cached prefixes to make room. The job
// stays queued when the memory is still insufficient.
func (s *Simulator) admit(j *activeJob) {
	needed := j.job.Tokens + j.job.MaxTokens
	hitTokens := s.cachedPrefixTokens(j.job.Prefixes)
	for s.usedTokens+s.cacheSize()+needed > s.config.Memory && len(s.cache) > 0 {
		s.evict()
	}
	if s.usedTokens+needed > s.config.Memory {
		return
	}
	s.usedTokens += needed
	j.admitted = true
	j.cachedTokens = min(hitTokens, j.job.Tokens)
	j.pendingPrefill = max(j.job.Tokens-j.cachedTokens, 1)
}

// cacheSize returns the number of tokens in the prefix cache.
func (s *Simulator) cacheSize() int {
	total := 0
	for _, entry := range s.cache {
		total += entry.tokens
	}
	return total
}

// cachedPrefixTokens returns the length of the longest cached prefix in tokens.
func (s *Simulator) cachedPrefixTokens(prefixes []uint64) int {
	for i := len(prefixes) - 1; i >= 0; i-- {
		for _, entry := range s.cache {
			if entry.prefix == prefixes[i] {
				return score.PrefixLengths[i]
			}
		}
	}
	return 0
}

// evict removes the least recently used prefix from the cache.
func (s *Simulator) evict() {
	evicted := s.cache[0]
	s.cache = s.cache[1:]
	s.addCacheEvent(evicted.prefix, false)
}

// addCacheEvent records that a prefix was stored or evicted.
func (s *Simulator) addCacheEvent(prefix uint64, stored bool) {
	s.sequence++
	s.events = append(s.events, event.CacheEvent{Sequence: s.sequence, Prefix: prefix, Stored: stored})
	if len(s.events) > EventLimit {
		s.events = s.events[len(s.events)-EventLimit:]
	}
}

// storePrefixes caches the prefixes of a prompt whose prefill is complete, or marks
// them as recently used. Each block counts only the tokens beyond the previous,
// shorter block.
func (s *Simulator) storePrefixes(prefixes []uint64) {
	previous := 0
	for i, prefix := range prefixes {
		tokens := score.PrefixLengths[i] - previous
		previous = score.PrefixLengths[i]
		index := slices.IndexFunc(s.cache, func(entry cachedPrefix) bool { return entry.prefix == prefix })
		if index >= 0 {
			entry := s.cache[index]
			s.cache = append(slices.Delete(s.cache, index, index+1), entry)
			continue
		}
		if s.usedTokens+s.cacheSize()+tokens > s.config.Memory {
			return
		}
		s.cache = append(s.cache, cachedPrefix{prefix, tokens})
		s.addCacheEvent(prefix, true)
	}
}

// finishIteration applies the chunks, then generates one token for each admitted job
// whose prefill is complete.
func (s *Simulator) finishIteration(chunks []chunk) []Output {
	at := clock.Millis(s.now / microsPerMilli)
	var outputs []Output
	unfinished := map[*activeJob]bool{}
	for _, c := range chunks {
		c.target.pendingPrefill -= c.tokens
		unfinished[c.target] = c.target.pendingPrefill > 0
		if c.target.pendingPrefill == 0 {
			s.storePrefixes(c.target.job.Prefixes)
		}
	}
	for _, j := range slices.Clone(s.jobs) {
		if !j.admitted || j.pendingPrefill > 0 || unfinished[j] {
			continue
		}
		if j.generated < j.job.MaxTokens {
			outputs = append(outputs, Output{Attempt: j.job.Attempt, Index: j.generated, At: at})
			j.generated++
		}
		if j.generated >= j.job.MaxTokens {
			outputs = append(outputs, Output{Attempt: j.job.Attempt, End: true, Tokens: j.generated, Cached: j.cachedTokens, At: at})
			s.remove(j)
		}
	}
	return outputs
}

func (s *Simulator) remove(removed *activeJob) {
	s.jobs = slices.DeleteFunc(s.jobs, func(j *activeJob) bool { return j == removed })
	if removed.admitted {
		s.usedTokens -= removed.job.Tokens + removed.job.MaxTokens
	}
}

// takeSnapshot records the current load and drops snapshots that are too old for any
// further report.
func (s *Simulator) takeSnapshot(now int64) {
	s.history = append(s.history, snapshot{now, s.currentReport(now)})
	oldest := now - int64(s.config.Lag)*microsPerMilli
	for len(s.history) > 1 && s.history[1].at <= oldest {
		s.history = s.history[1:]
	}
}

func (s *Simulator) currentReport(now int64) event.Report {
	report := event.Report{
		FreeTokens: s.config.Memory - s.usedTokens, TotalTokens: s.config.Memory, PrefillRate: s.config.Rate,
	}
	for _, j := range s.jobs {
		if j.admitted && j.pendingPrefill == 0 {
			report.Decoding++
		} else if j.admitted {
			report.QueuedTokens += j.pendingPrefill
		} else {
			report.QueuedTokens += j.job.Tokens
		}
		report.Allocations = append(report.Allocations, event.Allocation{
			Name: string(j.job.Attempt), Owner: j.job.Owner, Tokens: j.job.Tokens + j.job.MaxTokens,
			Age: clock.Millis((now - j.arrivedAt) / microsPerMilli),
		})
	}
	return report
}

// Report returns the load as it was Config.Lag ago, and the cache events after the
// sequence number since. It does not run iterations, because only the caller of
// Advance may receive their output.
func (s *Simulator) Report(now clock.Millis, since uint64) event.Report {
	s.takeSnapshot(int64(now) * microsPerMilli)
	report := s.history[0].report
	report.Age = now - clock.Millis(s.history[0].at/microsPerMilli)
	report.CacheSequence = s.sequence
	for _, cacheEvent := range s.events {
		if cacheEvent.Sequence > since {
			report.CacheEvents = append(report.CacheEvents, cacheEvent)
		}
	}
	return report
}

// UsedTokens returns the number of memory tokens allocated to jobs.
func (s *Simulator) UsedTokens() int { return s.usedTokens }
