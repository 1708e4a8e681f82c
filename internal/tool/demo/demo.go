// Package demo runs a whole small deployment in one process, sends requests of
// every kind through it, breaks parts of it, and checks what callers get.
package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/fake/engine"
	"mustardhook/internal/fake/motor"
	"mustardhook/internal/fake/stack"
	"mustardhook/internal/serve/logs"
	"mustardhook/internal/tool/client"
	"mustardhook/internal/wire/caller"
	"mustardhook/internal/wire/faults"
)

const (
	answerTokens = 20
	wordTokens   = 2
	settleSpan   = 3 * time.Second
	// engineRate is the prefill rate of the demonstration's engines in tokens a second.
	engineRate = 100_000
)

type (
	// BrokenError says which promises did not hold.
	BrokenError struct{ Promises []string }

	run struct {
		out    io.Writer
		stack  *stack.Stack
		client *client.Client
		broken []string
	}
)

// Error lists the promises.
func (e *BrokenError) Error() string { return "did not hold: " + strings.Join(e.Promises, "; ") }

// Run runs the demonstration and prints what happens. The error, if any, is a
// BrokenError or says why the deployment did not start.
func Run(ctx context.Context, out io.Writer) error {
	r := &run{out: out, client: client.New(stack.Organisation)}
	r.say("Starting the platform, 4 engines, 3 services and 3 entries in 3 failure domains.")
	config := motor.DefaultConfig()
	config.Rate = engineRate
	started, err := stack.Start(stack.Plan{
		Config:  config,
		Domains: []ident.Domain{"north", "south", "harbour"}, Entries: 3, Engines: 4, Services: 3,
		Logger: logs.Discard(), Seed: 1,
	})
	if err != nil {
		return err
	}
	r.stack = started
	defer started.Close()
	r.say("Ticket 1 is in force on all entries; waiting for the witnesses of idempotency keys.")
	time.Sleep(settleSpan + settleSpan/2)
	r.prompts(ctx)
	r.booking(ctx)
	r.removal(ctx)
	r.breakage(ctx)
	if len(r.broken) > 0 {
		return &BrokenError{r.broken}
	}
	r.say("All promises that were tried held.")
	return nil
}

func (r *run) say(format string, values ...any) { _, _ = fmt.Fprintf(r.out, format+"\n", values...) }

func (r *run) check(holds bool, promise string) {
	mark := "held"
	if !holds {
		mark = "BROKEN"
		r.broken = append(r.broken, promise)
	}
	r.say("  %-6s %s", mark, promise)
}

// PromptOf returns a prompt of about the given count of tokens.
func PromptOf(tokens int, word string) string {
	unit := (word + strings.Repeat(" ", wordTokens*caller.BytesPerToken))[:wordTokens*caller.BytesPerToken]
	return strings.Repeat(unit, tokens/wordTokens)
}

func (r *run) prompts(ctx context.Context) {
	r.say("Streaming a short, a long and a very long prompt.")
	for i, tokens := range []int{1000, 30_000, 300_000} {
		text := PromptOf(tokens, fmt.Sprintf("text%d", i))
		answer := r.complete(ctx, i, text)
		r.say("  %7d tokens: first token after %v, whole answer after %v",
			tokens, answer.FirstToken.Round(time.Millisecond), answer.Total.Round(time.Millisecond))
		r.check(isWhole(answer, text), "the answer is whole and the prompt's own")
	}
}

func (r *run) complete(ctx context.Context, i int, text string) client.Answer {
	entry := r.stack.Entries[i%len(r.stack.Entries)]
	answer, err := r.client.Complete(ctx, entry.URL("/v1/completions"),
		client.Prompt{Model: stack.Model, Text: text, MaxTokens: answerTokens})
	if err != nil {
		r.say("  no answer: %v", err)
	}
	return answer
}

func isWhole(answer client.Answer, text string) bool {
	if !answer.Completed || len(answer.Tokens) != answerTokens {
		return false
	}
	for i, token := range answer.Tokens {
		if token != engine.TokenText(text, i) {
			return false
		}
	}
	return true
}

func (r *run) booking(ctx context.Context) {
	r.say("Making a booking, then sending the same one again through other entries.")
	call := client.Call{Method: "POST", Path: "/services/" + stack.Service + "/book", Key: "order-7", Body: `{"order":7}`}
	for i := range r.stack.Entries {
		reply, err := r.client.Do(ctx, r.stack.Entries[i].URL(""), call)
		if err != nil {
			r.say("  no answer: %v", err)
			continue
		}
		r.say("  entry %d: outcome %s, replayed %t, %s", i, reply.Outcome, reply.Replayed, reply.Body)
	}
	runs := 0
	for key, count := range r.stack.Ledger.All() {
		if strings.HasSuffix(key, call.Key) {
			runs += count
		}
	}
	r.check(runs == 1, "the booking ran once")
}

func (r *run) removal(ctx context.Context) {
	leaving := r.stack.Engines[0]
	number := r.stack.File(`"endpoints": [` + leaving.Declaration(fleet.PhaseLeaving) + `]`)
	r.say("Ticket %d: %s is leaving.", number, leaving.Name)
	time.Sleep(settleSpan)
	before := leaving.Server.Runs()
	for i := range 12 {
		r.complete(ctx, i, PromptOf(1000, fmt.Sprintf("after%d", i)))
	}
	r.check(leaving.Server.Runs() == before, "a leaving endpoint gets no new work after 3 s")
}

func (r *run) breakage(ctx context.Context) {
	r.say("Cutting every stream of one engine after 5 tokens.")
	for _, broken := range r.stack.Engines[1:2] {
		broken.Server.SetFaults(faults.Engine{DisconnectAfter: 5})
	}
	whole := 0
	const prompts = 6
	for i := range prompts {
		text := PromptOf(1000, fmt.Sprintf("cut%d", i))
		if isWhole(r.complete(ctx, i, text), text) {
			whole++
		}
	}
	r.check(whole == prompts, "broken streams resume elsewhere, no token twice or missing")
}
