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
	unitTokens   = 2
	settleDelay  = 3 * time.Second
	// engineRate is the prefill rate of the demonstration's engines in tokens a second.
	engineRate = 100_000
)

type (
	// FailedChecksError says which promises did not hold.
	FailedChecksError struct{ Checks []string }

	demonstration struct {
		out    io.Writer
		stack  *stack.Cluster
		client *client.Client
		failed []string
	}
)

// Error lists the promises.
func (e *FailedChecksError) Error() string { return "did not hold: " + strings.Join(e.Checks, "; ") }

// Run runs the demonstration and prints what happens. The error, if any, is a
// BrokenError or says why the deployment did not start.
func Run(ctx context.Context, out io.Writer) error {
	r := &demonstration{out: out, client: client.New(stack.OrganisationName)}
	r.printf("Starting the platform, 4 engines, 3 services and 3 entries in 3 failure domains.")
	config := motor.DefaultConfig()
	config.Rate = engineRate
	started, err := stack.Start(stack.Spec{
		EngineConfig: config,
		Domains:      []ident.Domain{"north", "south", "harbour"}, Entries: 3, Engines: 4, Services: 3,
		Logger: logs.Discard(), Seed: 1,
	})
	if err != nil {
		return err
	}
	r.stack = started
	defer started.Close()
	r.printf("Ticket 1 is in force on all entries; waiting for the witnesses of idempotency keys.")
	time.Sleep(settleDelay + settleDelay/2)
	r.runPrompts(ctx)
	r.runBooking(ctx)
	r.runRemoval(ctx)
	r.runBrokenStreams(ctx)
	if len(r.failed) > 0 {
		return &FailedChecksError{r.failed}
	}
	r.printf("All promises that were tried held.")
	return nil
}

func (r *demonstration) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(r.out, format+"\n", values...)
}

func (r *demonstration) check(holds bool, promise string) {
	mark := "held"
	if !holds {
		mark = "BROKEN"
		r.failed = append(r.failed, promise)
	}
	r.printf("  %-6s %s", mark, promise)
}

// MakePrompt returns a prompt of about the given count of tokens.
func MakePrompt(tokens int, word string) string {
	unit := (word + strings.Repeat(" ", unitTokens*caller.BytesPerToken))[:unitTokens*caller.BytesPerToken]
	return strings.Repeat(unit, tokens/unitTokens)
}

func (r *demonstration) runPrompts(ctx context.Context) {
	r.printf("Streaming a short, a long and a very long prompt.")
	for i, tokens := range []int{1000, 30_000, 300_000} {
		text := MakePrompt(tokens, fmt.Sprintf("text%d", i))
		answer := r.complete(ctx, i, text)
		r.printf("  %7d tokens: first token after %v, whole answer after %v",
			tokens, answer.FirstToken.Round(time.Millisecond), answer.Total.Round(time.Millisecond))
		r.check(isCorrect(answer, text), "the answer is whole and the prompt's own")
	}
}

func (r *demonstration) complete(ctx context.Context, i int, text string) client.Answer {
	entry := r.stack.Entries[i%len(r.stack.Entries)]
	answer, err := r.client.Complete(ctx, entry.URL("/v1/completions"),
		client.Prompt{Model: stack.ModelName, Text: text, MaxTokens: answerTokens})
	if err != nil {
		r.printf("  no answer: %v", err)
	}
	return answer
}

func isCorrect(answer client.Answer, text string) bool {
	if !answer.Whole || len(answer.Tokens) != answerTokens {
		return false
	}
	for i, token := range answer.Tokens {
		if token != engine.TokenText(text, i) {
			return false
		}
	}
	return true
}

func (r *demonstration) runBooking(ctx context.Context) {
	r.printf("Making a booking, then sending the same one again through other entries.")
	call := client.Call{Method: "POST", Path: "/services/" + stack.ServiceName + "/book", Key: "order-7", Body: `{"order":7}`}
	for i := range r.stack.Entries {
		reply, err := r.client.Do(ctx, r.stack.Entries[i].URL(""), call)
		if err != nil {
			r.printf("  no answer: %v", err)
			continue
		}
		r.printf("  entry %d: outcome %s, replayed %t, %s", i, reply.Outcome, reply.Replayed, reply.Body)
	}
	runs := 0
	for key, count := range r.stack.Ledger.All() {
		if strings.HasSuffix(key, call.Key) {
			runs += count
		}
	}
	r.check(runs == 1, "the booking ran once")
}

func (r *demonstration) runRemoval(ctx context.Context) {
	leaving := r.stack.Engines[0]
	number := r.stack.PublishTicket(`"endpoints": [` + leaving.Declaration(fleet.PhaseLeaving) + `]`)
	r.printf("Ticket %d: %s is leaving.", number, leaving.Name)
	time.Sleep(settleDelay)
	before := leaving.Server.Runs()
	for i := range 12 {
		r.complete(ctx, i, MakePrompt(1000, fmt.Sprintf("after%d", i)))
	}
	r.check(leaving.Server.Runs() == before, "a leaving endpoint gets no new work after 3 s")
}

func (r *demonstration) runBrokenStreams(ctx context.Context) {
	r.printf("Cutting every stream of one engine after 5 tokens.")
	for _, broken := range r.stack.Engines[1:2] {
		broken.Server.SetFaults(faults.Engine{CutAfter: 5})
	}
	whole := 0
	const prompts = 6
	for i := range prompts {
		text := MakePrompt(1000, fmt.Sprintf("cut%d", i))
		if isCorrect(r.complete(ctx, i, text), text) {
			whole++
		}
	}
	r.check(whole == prompts, "broken streams resume elsewhere, no token twice or missing")
}
