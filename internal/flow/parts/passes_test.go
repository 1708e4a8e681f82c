package parts

import (
	"cmp"
	"math"
	"slices"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/cost"
	"mustardhook/internal/flow/plan"
)

type (
	// passEngine simulates an engine that works in passes. A pass with answers in progress makes
	// StepsPerPass steps and prefills up to a chunk in each; any other pass prefills one chunk. Times
	// are in milliseconds.
	passEngine struct {
		name  ident.Endpoint
		model *plan.Engine
		// waiting are the jobs that have no slot or memory yet, leads those that have.
		waiting []*passJob
		leads   []*passJob
		// shards wait for prefill or are in the running pass.
		shards []*passShard
		// leased is the memory that helpers hold for jobs of other engines, in tokens.
		leased int
		// endsAt is when the running pass ends; it is not running if that is zero. chunks are what it
		// prefills of the shards.
		endsAt float64
		chunks []passChunk
		// writers are the jobs whose answers the running pass continues.
		writers []*passJob
	}

	passEngines []*passEngine

	// passJob is a prompt that was sent to an engine and its helpers.
	passJob struct {
		entry    *fleetEntry
		number   uint64
		prompt   *prompt
		urgency  int
		lead     *passEngine
		helpers  []*passEngine
		leases   []int
		silentAt clock.Millis
		// memory is what the job holds at its lead, in tokens.
		memory     int
		shardsLeft int
		stepsLeft  int
		// firstAt is the end of the last shard, endedAt the end of the answer; zero before.
		firstAt, endedAt      float64
		isSilent, isFirstTold bool
	}

	// passChunk is the part of a shard that one pass prefills.
	passChunk struct {
		shard  *passShard
		tokens float64
	}

	// passShard is the part of a prompt that one engine prefills.
	passShard struct {
		job *passJob
		// tokensLeft and millisLeft are what is not prefilled yet.
		tokensLeft float64
		millisLeft float64
		isHelped   bool
	}
)

func (e *passEngine) memoryInUse() int {
	used := e.leased
	for _, job := range e.leads {
		used += job.memory
	}
	return used
}

// admit gives waiting jobs a slot and memory in the order of their urgency.
func (e *passEngine) admit(now float64) {
	slices.SortStableFunc(e.waiting, func(a, b *passJob) int { return cmp.Compare(a.urgency, b.urgency) })
	for len(e.waiting) > 0 && len(e.leads) < e.model.Slots && e.memoryInUse()+e.waiting[0].memory <= e.model.MemoryTokens {
		job := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.leads = append(e.leads, job)
		job.beginPrefill(now)
	}
}

// beginPrefill hands each engine of the job its shard.
func (j *passJob) beginPrefill(now float64) {
	engines := append([]*passEngine{j.lead}, j.helpers...)
	j.shardsLeft = len(engines)
	tokens := float64(j.prompt.tokens)
	work := cost.PrefillMillis(j.lead.model, j.prompt.tokens, 1)
	for _, engine := range engines {
		shard := &passShard{
			job: j, tokensLeft: tokens / float64(len(engines)), millisLeft: work / float64(len(engines)), isHelped: len(engines) > 1,
		}
		engine.shards = append(engine.shards, shard)
		if engine != j.lead && engine.endsAt == 0 {
			engine.beginPass(now)
		}
	}
}

// wake starts a pass of an idle engine whose waiting jobs may have memory by now.
func (e *passEngine) wake(now clock.Millis) {
	if e.endsAt == 0 && len(e.waiting) > 0 {
		e.beginPass(float64(now))
	}
}

// beginPass starts a pass if there is work.
func (e *passEngine) beginPass(now float64) {
	e.admit(now)
	e.writers = e.writers[:0]
	context := 0
	for _, job := range e.leads {
		if job.firstAt > 0 && job.firstAt <= now {
			e.writers = append(e.writers, job)
			context += job.memory
		}
	}
	if len(e.writers) == 0 && len(e.shards) == 0 {
		e.endsAt = 0
		return
	}
	steps := 1.0
	decode := 0.0
	if len(e.writers) > 0 {
		steps = float64(e.model.StepsPerPass)
		decode = cost.DecodeMillis(e.model, cost.EngineLoad{Decoding: len(e.writers), ContextTokens: context})
	}
	budget := steps * float64(e.model.ChunkTokens)
	prefill := 0.0
	e.chunks = nil
	for _, helped := range []bool{true, false} {
		for _, shard := range e.shards {
			if tokens := min(budget, shard.tokensLeft); shard.isHelped == helped && tokens > 0 {
				e.chunks = append(e.chunks, passChunk{shard, tokens})
				prefill += shard.millisLeft * tokens / shard.tokensLeft
				budget -= tokens
			}
		}
	}
	e.endsAt = now + max(decode+prefill, 1)
}

// endPass ends the running pass and starts the next one.
func (e *passEngine) endPass() {
	now := e.endsAt
	for _, chunk := range e.chunks {
		shard, tokens := chunk.shard, chunk.tokens
		prefill := shard.millisLeft * tokens / shard.tokensLeft
		shard.job.prompt.prefillMillis += prefill
		shard.millisLeft -= prefill
		shard.tokensLeft -= tokens
		if shard.tokensLeft >= 1 {
			continue
		}
		e.shards = slices.DeleteFunc(e.shards, func(other *passShard) bool { return other == shard })
		shard.job.shardsLeft--
		if shard.job.shardsLeft == 0 {
			shard.job.firstAt = now
			if lead := shard.job.lead; lead != e && lead.endsAt == 0 {
				lead.beginPass(now)
			}
		}
	}
	for _, job := range e.writers {
		job.stepsLeft -= e.model.StepsPerPass
		if job.stepsLeft <= 0 && job.endedAt == 0 {
			job.endedAt = now
			job.leave()
		}
	}
	e.beginPass(now)
}

// leave removes the job from all its engines.
func (j *passJob) leave() {
	isOfJob := func(other *passJob) bool { return other == j }
	j.lead.waiting = slices.DeleteFunc(j.lead.waiting, isOfJob)
	j.lead.leads = slices.DeleteFunc(j.lead.leads, isOfJob)
	for i, helper := range j.helpers {
		helper.leased -= j.leases[i]
	}
	for _, engine := range append([]*passEngine{j.lead}, j.helpers...) {
		engine.shards = slices.DeleteFunc(engine.shards, func(s *passShard) bool { return s.job == j })
		engine.chunks = slices.DeleteFunc(slices.Clone(engine.chunks), func(c passChunk) bool { return c.shard.job == j })
		engine.writers = slices.DeleteFunc(slices.Clone(engine.writers), isOfJob)
	}
}

// newPassJob puts a prompt at the engines of a send. It returns nil if an engine has no memory for a lease.
func newPassJob(engines passEngines, entry *fleetEntry, send call.Send, sent *prompt, now clock.Millis) *passJob {
	lead := engines.find(send.Endpoint)
	job := &passJob{
		entry: entry, number: send.Number, prompt: sent, urgency: send.Urgency, lead: lead,
		silentAt: now + send.FirstEventTimeout, memory: sent.tokens + sent.answerTokens, stepsLeft: sent.answerTokens,
	}
	for _, helper := range send.Helpers {
		engine := engines.find(helper.Endpoint)
		if engine.memoryInUse()+helper.LeaseTokens > engine.model.MemoryTokens {
			return nil
		}
		job.helpers = append(job.helpers, engine)
		job.leases = append(job.leases, helper.LeaseTokens)
		job.memory -= helper.LeaseTokens
	}
	for i, helper := range job.helpers {
		helper.leased += job.leases[i]
	}
	lead.waiting = append(lead.waiting, job)
	if lead.endsAt == 0 {
		lead.beginPass(float64(now))
	}
	return job
}

func (p passEngines) find(name ident.Endpoint) *passEngine {
	return p[slices.IndexFunc(p, func(e *passEngine) bool { return e.name == name })]
}

// run ends all passes that end by the given time, in their order.
func (p passEngines) run(now clock.Millis) {
	for next := p.nextPassEnd(); next != nil && next.endsAt <= float64(now); next = p.nextPassEnd() {
		next.endPass()
	}
	for _, engine := range p {
		engine.wake(now)
	}
}

// nextPassEnd returns the engine whose pass ends first, or nil if none is running.
func (p passEngines) nextPassEnd() *passEngine {
	var next *passEngine
	first := math.Inf(1)
	for _, engine := range p {
		if engine.endsAt > 0 && engine.endsAt < first {
			first, next = engine.endsAt, engine
		}
	}
	return next
}
