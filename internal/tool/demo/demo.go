// Package demo is a demonstration. It starts a complete cluster in one process, sends
// requests of every kind to it, injects faults and checks the responses.
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
	"mustardhook/internal/fake/sched"
	"mustardhook/internal/fake/stack"
	"mustardhook/internal/serve/logs"
	"mustardhook/internal/tool/client"
	"mustardhook/internal/wire/caller"
	"mustardhook/internal/wire/faults"
)

const (
	answerTokens = 20
	// unitTokens is the length of the repeated text of a prompt in tokens.
	unitTokens = 2
	// settleDelay is the time to wait for a change to take effect on all entries.
	settleDelay = 3 * time.Second
	// engineRate is the prefill rate of the engines in tokens per second.
	engineRate = 100_000
)

type (
	// FailedChecksError reports which checks of the demonstration failed.
	FailedChecksError struct{ Checks []string }

	// demonstration is the state of one run. failed lists the failed checks.
	demonstration struct {
		out    io.Writer
		stack  *stack.Cluster
		client *client.Client
		failed []string
	}
)

// Error returns the message with all failed checks.
func (e *FailedChecksError) Error() string { return "checks failed: " + strings.Join(e.Checks, "; ") }

// Run runs the demonstration and prints its progress to out. It returns a
// *FailedChecksError if a check failed, or another error if the cluster did not start.
func Run(ctx context.Context, out io.Writer) error {
	d := &demonstration{out: out, client: client.New(stack.OrganisationName)}
	d.printf("Starting the platform, 4 engines, 3 services and 3 entries in 3 failure domains.")
	config := sched.DefaultConfig()
	config.Rate = engineRate
	started, err := stack.Start(stack.Spec{
		EngineConfig: config,
		Domains:      []ident.Domain{"north", "south", "harbour"}, Entries: 3, Engines: 4, Services: 3,
		Logger: logs.Discard(), Seed: 1,
	})
	if err != nil {
		return err
	}
	d.stack = started
	defer started.Close()
	d.printf("Ticket 1 is in force on all entries; waiting until idempotency keys have witnesses.")
	time.Sleep(settleDelay + settleDelay/2)
	d.runPrompts(ctx)
	d.runBooking(ctx)
	d.runRemoval(ctx)
	d.runBrokenStreams(ctx)
	if len(d.failed) > 0 {
		return &FailedChecksError{d.failed}
	}
	d.printf("All checks passed.")
	return nil
}

func (d *demonstration) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", values...)
}

// check prints the result of a check and records a failure.
func (d *demonstration) check(passed bool, description string) {
	result := "held"
	if !passed {
		result = "BROKEN"
		d.failed = append(d.failed, description)
	}
	d.printf("  %-6s %s", result, description)
}

// MakePrompt returns a prompt of about the given number of tokens that repeats a word.
func MakePrompt(tokens int, word string) string {
	unit := (word + strings.Repeat(" ", unitTokens*caller.BytesPerToken))[:unitTokens*caller.BytesPerToken]
	return strings.Repeat(unit, tokens/unitTokens)
}

func (d *demonstration) runPrompts(ctx context.Context) {
	d.printf("Streaming a short, a long and a very long prompt.")
	for i, tokens := range []int{1000, 30_000, 300_000} {
		text := MakePrompt(tokens, fmt.Sprintf("text%d", i))
		answer := d.complete(ctx, i, text)
		d.printf("  %7d tokens: first token after %v, complete answer after %v",
			tokens, answer.FirstToken.Round(time.Millisecond), answer.Total.Round(time.Millisecond))
		d.check(isCorrect(answer, text), "the answer is complete and belongs to the prompt")
	}
}

func (d *demonstration) complete(ctx context.Context, i int, text string) client.Answer {
	entry := d.stack.Entries[i%len(d.stack.Entries)]
	answer, err := d.client.Complete(ctx, entry.URL("/v1/completions"),
		client.Prompt{Model: stack.ModelName, Text: text, MaxTokens: answerTokens})
	if err != nil {
		d.printf("  no answer: %v", err)
	}
	return answer
}

// isCorrect reports whether an answer is complete and has the expected tokens.
func isCorrect(answer client.Answer, text string) bool {
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

func (d *demonstration) runBooking(ctx context.Context) {
	d.printf("Making a booking, then sending it again through the other entries.")
	call := client.Call{Method: "POST", Path: "/services/" + stack.ServiceName + "/book", Key: "order-7", Body: `{"order":7}`}
	for i := range d.stack.Entries {
		reply, err := d.client.SendCall(ctx, d.stack.Entries[i].URL(""), call)
		if err != nil {
			d.printf("  no answer: %v", err)
			continue
		}
		d.printf("  entry %d: outcome %s, replayed %t, %s", i, reply.Outcome, reply.Replayed, reply.Body)
	}
	runs := 0
	for key, count := range d.stack.Ledger.RunsByKey() {
		if strings.HasSuffix(key, call.Key) {
			runs += count
		}
	}
	d.check(runs == 1, "the booking ran once")
}

func (d *demonstration) runRemoval(ctx context.Context) {
	leaving := d.stack.Engines[0]
	number := d.stack.PublishTicket(`"endpoints": [` + leaving.Declaration(fleet.PhaseLeaving) + `]`)
	d.printf("Ticket %d: %s is leaving.", number, leaving.Name)
	time.Sleep(settleDelay)
	before := leaving.Server.Runs()
	for i := range 12 {
		d.complete(ctx, i, MakePrompt(1000, fmt.Sprintf("after%d", i)))
	}
	d.check(leaving.Server.Runs() == before, "a leaving endpoint receives no new work after 3 s")
}

func (d *demonstration) runBrokenStreams(ctx context.Context) {
	d.printf("Cutting every stream of one engine after 5 tokens.")
	for _, broken := range d.stack.Engines[1:2] {
		broken.Server.SetFaults(faults.Engine{DisconnectAfter: 5})
	}
	correct := 0
	const prompts = 6
	for i := range prompts {
		text := MakePrompt(1000, fmt.Sprintf("cut%d", i))
		if isCorrect(d.complete(ctx, i, text), text) {
			correct++
		}
	}
	d.check(correct == prompts, "broken streams resume on other engines without lost or duplicate tokens")
}
