package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"mustardhook/internal/tool/client"
	"mustardhook/internal/tool/demo"
)

const (
	// maxMicros is the upper bound of the histograms, one hour in microseconds.
	maxMicros = 3_600_000_000
	// significantDigits is the precision of the histograms.
	significantDigits = 3
	// sharedPrefixCount is the number of different texts that prompts share as prefixes.
	sharedPrefixCount = 4
	// ticksPerSecond is the unit of processor times in /proc: 100 ticks per second.
	ticksPerSecond = 100
)

type (
	// Target holds the base URLs of the entries under load and the model to request.
	Target struct {
		URLs  []string
		Model string
	}

	// Report is the result of a workload. Tokens is the number of tokens received.
	Report struct {
		Workload string
		Seconds  float64
		Tokens   int
		Rows     []Row
	}

	// Row holds the results of one band. Percentiles are in milliseconds.
	Row struct {
		Band string
		// Prompts is the number of prompts sent. Each is counted in one of the next four
		// fields: completed, refused, past its deadline, or failed in another way.
		Prompts       int
		Completed     int
		Refused       int
		Late          int
		Broken        int
		FirstTokenP50 float64
		FirstTokenP95 float64
		FirstTokenP99 float64
		// TokenGapP95 is the 95th percentile of the mean time between two tokens of a prompt.
		TokenGapP95 float64
	}

	// collector gathers the results of concurrent prompts by band.
	collector struct {
		mutex       sync.Mutex
		rows        []Row
		firstTokens []*hdrhistogram.Histogram
		tokenGaps   []*hdrhistogram.Histogram
		tokens      int
	}
)

// Run sends the prompts of the workload to the target and waits for all answers. It
// calls progress about once per second with the number of prompts sent.
func Run(ctx context.Context, c *client.Client, target Target, w Workload, progress func(sent int)) Report {
	results := newCollector(w)
	random := rand.New(rand.NewPCG(w.Seed, 1))
	var group conc.WaitGroup
	start := time.Now()
	reportedAt := start
	next := start
	for sent := 0; ctx.Err() == nil; sent++ {
		next = next.Add(time.Duration(random.ExpFloat64() / w.Rate * float64(time.Second)))
		if next.Sub(start) > w.Duration.Duration() {
			break
		}
		band, tokens := w.sample(random)
		text := promptText(random, w, tokens, sent)
		url := target.URLs[random.IntN(len(target.URLs))]
		time.Sleep(time.Until(next))
		group.Go(func() {
			answer, err := c.Complete(ctx, url+"/v1/completions", client.Prompt{
				Model: target.Model, Text: text, MaxTokens: w.AnswerTokens, Deadline: w.Deadline,
			})
			results.add(band, answer, err)
		})
		if time.Since(reportedAt) > time.Second {
			reportedAt = time.Now()
			progress(sent)
		}
	}
	group.Wait()
	return results.report(w, time.Since(start))
}

// promptText returns the text of a prompt. With probability Workload.SharedRatio, it
// starts with one of a few texts that other prompts share.
func promptText(random *rand.Rand, w Workload, tokens, sent int) string {
	if random.Float64() >= w.SharedRatio {
		return fmt.Sprintf("%08d ", sent) + demo.MakePrompt(tokens, "own")
	}
	shared := demo.MakePrompt(tokens*3/4, fmt.Sprintf("sh%d", random.IntN(sharedPrefixCount)))
	return shared + fmt.Sprintf("%08d ", sent) + demo.MakePrompt(tokens/4, "own")
}

func newCollector(w Workload) *collector {
	c := &collector{}
	for _, band := range w.Bands {
		c.rows = append(c.rows, Row{Band: band.Name})
		c.firstTokens = append(c.firstTokens, hdrhistogram.New(1, maxMicros, significantDigits))
		c.tokenGaps = append(c.tokenGaps, hdrhistogram.New(1, maxMicros, significantDigits))
	}
	return c
}

func (c *collector) add(band int, answer client.Answer, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	row := &c.rows[band]
	row.Prompts++
	c.tokens += len(answer.Tokens)
	switch {
	case answer.Completed:
		row.Completed++
		// Both values are within the histogram's range, so RecordValue does not fail.
		_ = c.firstTokens[band].RecordValue(max(answer.FirstToken.Microseconds(), 1))
		if count := len(answer.Tokens); count > 1 {
			gap := (answer.Total - answer.FirstToken).Microseconds() / int64(count-1)
			_ = c.tokenGaps[band].RecordValue(max(gap, 1))
		}
	case answer.Problem == "deadlineExceeded":
		row.Late++
	case answer.Problem != "" && err == nil:
		row.Refused++
	default:
		row.Broken++
	}
}

func (c *collector) report(w Workload, elapsed time.Duration) Report {
	report := Report{Workload: w.Name, Seconds: elapsed.Seconds(), Tokens: c.tokens, Rows: c.rows}
	for i := range report.Rows {
		report.Rows[i].FirstTokenP50 = percentileMillis(c.firstTokens[i], 50)
		report.Rows[i].FirstTokenP95 = percentileMillis(c.firstTokens[i], 95)
		report.Rows[i].FirstTokenP99 = percentileMillis(c.firstTokens[i], 99)
		report.Rows[i].TokenGapP95 = percentileMillis(c.tokenGaps[i], 95)
	}
	return report
}

// percentileMillis returns a percentile of a histogram of microseconds in milliseconds.
func percentileMillis(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}

// Table formats the report as a table of plain text.
func (r Report) Table() string {
	var out strings.Builder
	fmt.Fprintf(&out, "workload %s: %.1f s, %d tokens (%.0f a second)\n", r.Workload, r.Seconds, r.Tokens,
		float64(r.Tokens)/r.Seconds)
	fmt.Fprintf(&out, "%-10s %8s %8s %8s %6s %7s %10s %10s %10s %10s\n",
		"band", "prompts", "whole", "refused", "late", "broken", "p50 ms", "p95 ms", "p99 ms", "gap ms")
	for _, row := range r.Rows {
		fmt.Fprintf(&out, "%-10s %8d %8d %8d %6d %7d %10.1f %10.1f %10.1f %10.1f\n", row.Band, row.Prompts,
			row.Completed, row.Refused, row.Late, row.Broken, row.FirstTokenP50, row.FirstTokenP95, row.FirstTokenP99, row.TokenGapP95)
	}
	return out.String()
}
