// Package bench is a load generator. It sends prompts of mixed lengths to entries and
// reports the time to first token by band of prompt lengths.
package bench

import (
	"math"
	"math/rand/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/wire/strict"
)

const (
	maxRate    = 10_000
	maxSeconds = 3600
	maxTokens  = 1_000_000
)

type (
	// Workload describes the load to generate. Its file format is JSON with comments.
	Workload struct {
		Name string
		// Rate is the mean number of prompts per second. Arrivals form a Poisson process.
		Rate float64
		// Duration is the time during which prompts are sent.
		Duration clock.Millis
		// AnswerTokens is the number of tokens requested per answer.
		AnswerTokens int
		Deadline     clock.Millis
		// SharedRatio is the fraction of prompts that start with one of a few long texts.
		SharedRatio float64
		Bands       []Band
		Seed        uint64
	}

	// Band is a range of prompt lengths in tokens. Weight is its relative share of the
	// prompts.
	Band struct {
		Name       string
		LowTokens  int
		HighTokens int
		Weight     float64
	}
)

// Mixed returns the default workload. One in fifty prompts has 64,000 to 256,000 tokens;
// about two in three of these exceed 100,000 tokens.
func Mixed() Workload {
	return Workload{
		Name: "mixed", Rate: 8, Duration: 20 * clock.Second, AnswerTokens: 40, Deadline: 2 * clock.Minute, SharedRatio: 0.3, Seed: 1,
		Bands: []Band{
			{"1-4k", 1000, 4000, 0.70}, {"4-16k", 4000, 16_000, 0.20}, {"16-64k", 16_000, 64_000, 0.08},
			{"64-256k", 64_000, 256_000, 0.02},
		},
	}
}

// ParseWorkload parses a workload file. The error is a strict.FileErrors that lists every
// error in the file; file is the name that they carry.
func ParseWorkload(file string, text []byte) (Workload, error) {
	doc, top := strict.Parse(file, text)
	if top == nil {
		return Workload{}, doc.Err()
	}
	w := Workload{
		Name:         top.RequiredString("name"),
		Rate:         top.Float("ratePerSecond", 0, maxRate),
		Duration:     clock.Millis(top.Int("seconds", 1, maxSeconds, 0)) * clock.Second,
		AnswerTokens: int(top.Int("answerTokens", 1, maxTokens, 1)),
		Deadline:     clock.Millis(top.Int("deadlineMillis", 1, int64(clock.Hour), int64(clock.Minute))),
		SharedRatio:  top.Float("sharedPrefixes", 0, 1),
		Seed:         uint64(top.Int("seed", 0, math.MaxInt64, 1)),
	}
	for _, item := range top.Items("bands") {
		if o := item.Object(); o != nil {
			w.Bands = append(w.Bands, Band{
				Name: o.RequiredString("name"), LowTokens: int(o.Int("lowTokens", 1, maxTokens, 1)),
				HighTokens: int(o.Int("highTokens", 1, maxTokens, 1)), Weight: o.Float("weight", 0, 1),
			})
			o.ReportUnknown()
		}
	}
	top.ReportUnknown()
	if len(w.Bands) == 0 && doc.Err() == nil {
		top.AddError("bands", strict.ReasonMissing)
	}
	return w, doc.Err()
}

// sample picks a band by weight and a length within it, uniform on a logarithmic scale.
// It returns the index of the band and the length in tokens.
func (w Workload) sample(random *rand.Rand) (int, int) {
	total := 0.0
	for _, band := range w.Bands {
		total += band.Weight
	}
	remaining := random.Float64() * total
	index := 0
	for index < len(w.Bands)-1 && remaining >= w.Bands[index].Weight {
		remaining -= w.Bands[index].Weight
		index++
	}
	low, high := math.Log(float64(w.Bands[index].LowTokens)), math.Log(float64(w.Bands[index].HighTokens))
	return index, int(math.Exp(low + random.Float64()*(high-low)))
}
