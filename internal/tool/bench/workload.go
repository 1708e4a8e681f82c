// Package bench puts load of mixed prompt lengths on entries and reports the time
// to first token by band of length.
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
	// Workload says what load to make. It is read from JSON with comments.
	Workload struct {
		Name string
		// Rate is the mean count of prompts a second; arrivals are independent.
		Rate     float64
		Duration clock.Millis
		Answer   int
		Deadline clock.Millis
		// Shared is the part of prompts that begin with one of a few long texts.
		Shared float64
		Bands  []Band
		Seed   uint64
	}

	// Band is a range of prompt lengths in tokens and its part of the load.
	Band struct {
		Name   string
		Low    int
		High   int
		Weight float64
	}
)

// Mixed returns a workload of one in fifty prompts over 100,000 tokens.
func Mixed() Workload {
	return Workload{
		Name: "mixed", Rate: 8, Duration: 20 * clock.Second, Answer: 40, Deadline: 2 * clock.Minute, Shared: 0.3, Seed: 1,
		Bands: []Band{
			{"1-4k", 1000, 4000, 0.70}, {"4-16k", 4000, 16_000, 0.20}, {"16-64k", 16_000, 64_000, 0.08},
			{"64-256k", 64_000, 256_000, 0.02},
		},
	}
}

// ParseWorkload reads a workload file.
func ParseWorkload(file string, text []byte) (Workload, error) {
	doc, top := strict.Parse(file, text)
	if top == nil {
		return Workload{}, doc.Err()
	}
	w := Workload{
		Name:     top.RequiredString("name"),
		Rate:     top.Float("ratePerSecond", 0, maxRate),
		Duration: clock.Millis(top.Int("seconds", 1, maxSeconds, 0)) * clock.Second,
		Answer:   int(top.Int("answerTokens", 1, maxTokens, 1)),
		Deadline: clock.Millis(top.Int("deadlineMillis", 1, int64(clock.Hour), int64(clock.Minute))),
		Shared:   top.Float("sharedPrefixes", 0, 1),
		Seed:     uint64(top.Int("seed", 0, math.MaxInt64, 1)),
	}
	for _, item := range top.Items("bands") {
		if o := item.Object(); o != nil {
			w.Bands = append(w.Bands, Band{
				Name: o.RequiredString("name"), Low: int(o.Int("lowTokens", 1, maxTokens, 1)),
				High: int(o.Int("highTokens", 1, maxTokens, 1)), Weight: o.Float("weight", 0, 1),
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

// draw picks a band by weight, and a length in it that is even on a log scale.
func (w Workload) draw(random *rand.Rand) (int, int) {
	total := 0.0
	for _, band := range w.Bands {
		total += band.Weight
	}
	left := random.Float64() * total
	at := 0
	for at < len(w.Bands)-1 && left >= w.Bands[at].Weight {
		left -= w.Bands[at].Weight
		at++
	}
	low, high := math.Log(float64(w.Bands[at].Low)), math.Log(float64(w.Bands[at].High))
	return at, int(math.Exp(low + random.Float64()*(high-low)))
}
