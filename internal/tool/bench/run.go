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
	highestMicros = 3_600_000_000
	figures       = 3
	sharedTexts   = 4
	wholePercent  = 100
)

type (
	// Target says where the load goes.
	Target struct {
		URLs  []string
		Model string
	}

	// Report is what came of a workload.
	Report struct {
		Workload string
		Seconds  float64
		Tokens   int
		Rows     []Row
	}

	// Row is one band's figures; times are in milliseconds.
	Row struct {
		Band      string
		Prompts   int
		Completed int
		Refused   int
		Late      int
		Broken    int
		P50       float64
		P95       float64
		P99       float64
		// Gap is the p95 of the mean time between two tokens of a prompt.
		Gap float64
	}

	tally struct {
		mutex sync.Mutex
		rows  []Row
		first []*hdrhistogram.Histogram
		gaps  []*hdrhistogram.Histogram
		total int
	}
)

// Run puts the workload on the target and waits for all answers. progress is
// told how many prompts were sent, about once a second.
func Run(ctx context.Context, c *client.Client, target Target, w Workload, progress func(sent int)) Report {
	t := newTally(w)
	random := rand.New(rand.NewPCG(w.Seed, 1))
	var group conc.WaitGroup
	began := time.Now()
	told := began
	next := began
	for sent := 0; ctx.Err() == nil; sent++ {
		next = next.Add(time.Duration(random.ExpFloat64() / w.Rate * float64(time.Second)))
		if next.Sub(began) > w.Duration.Duration() {
			break
		}
		band, tokens := w.draw(random)
		text := textOf(random, w, tokens, sent)
		url := target.URLs[random.IntN(len(target.URLs))]
		time.Sleep(time.Until(next))
		group.Go(func() {
			answer, err := c.Complete(ctx, url+"/v1/completions", client.Prompt{
				Model: target.Model, Text: text, MaxTokens: w.Answer, Deadline: w.Deadline,
			})
			t.add(band, answer, err)
		})
		if time.Since(told) > time.Second {
			told = time.Now()
			progress(sent)
		}
	}
	group.Wait()
	return t.report(w, time.Since(began))
}

// textOf makes a prompt; some begin with a text that others begin with too.
func textOf(random *rand.Rand, w Workload, tokens, sent int) string {
	if random.Float64() >= w.Shared {
		return fmt.Sprintf("%08d ", sent) + demo.PromptOf(tokens, "own")
	}
	shared := demo.PromptOf(tokens*3/4, fmt.Sprintf("sh%d", random.IntN(sharedTexts)))
	return shared + fmt.Sprintf("%08d ", sent) + demo.PromptOf(tokens/4, "own")
}

func newTally(w Workload) *tally {
	t := &tally{}
	for _, band := range w.Bands {
		t.rows = append(t.rows, Row{Band: band.Name})
		t.first = append(t.first, hdrhistogram.New(1, highestMicros, figures))
		t.gaps = append(t.gaps, hdrhistogram.New(1, highestMicros, figures))
	}
	return t
}

func (t *tally) add(band int, answer client.Answer, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row := &t.rows[band]
	row.Prompts++
	t.total += len(answer.Tokens)
	switch {
	case answer.Completed:
		row.Completed++
		// Both values are within the histograms' range.
		_ = t.first[band].RecordValue(max(answer.FirstToken.Microseconds(), 1))
		if count := len(answer.Tokens); count > 1 {
			gap := (answer.Total - answer.FirstToken).Microseconds() / int64(count-1)
			_ = t.gaps[band].RecordValue(max(gap, 1))
		}
	case answer.Problem == "deadlineExceeded":
		row.Late++
	case answer.Problem != "" && err == nil:
		row.Refused++
	default:
		row.Broken++
	}
}

func (t *tally) report(w Workload, took time.Duration) Report {
	report := Report{Workload: w.Name, Seconds: took.Seconds(), Tokens: t.total, Rows: t.rows}
	for i := range report.Rows {
		report.Rows[i].P50 = millis(t.first[i], 50)
		report.Rows[i].P95 = millis(t.first[i], 95)
		report.Rows[i].P99 = millis(t.first[i], 99)
		report.Rows[i].Gap = millis(t.gaps[i], 95)
	}
	return report
}

func millis(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}

// Table writes the report as text.
func (r Report) Table() string {
	var out strings.Builder
	fmt.Fprintf(&out, "workload %s: %.1f s, %d tokens (%.0f a second)\n", r.Workload, r.Seconds, r.Tokens,
		float64(r.Tokens)/r.Seconds)
	fmt.Fprintf(&out, "%-10s %8s %8s %8s %6s %7s %10s %10s %10s %10s\n",
		"band", "prompts", "whole", "refused", "late", "broken", "p50 ms", "p95 ms", "p99 ms", "gap ms")
	for _, row := range r.Rows {
		fmt.Fprintf(&out, "%-10s %8d %8d %8d %6d %7d %10.1f %10.1f %10.1f %10.1f\n", row.Band, row.Prompts,
			row.Completed, row.Refused, row.Late, row.Broken, row.P50, row.P95, row.P99, row.Gap)
	}
	return out.String()
}
