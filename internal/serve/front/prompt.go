package front

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/serve/conns"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/serve/shell"
	"mustardhook/internal/wire/caller"
	"mustardhook/internal/wire/engine"
)

const (
	bodyTimeout  = 30 * time.Second
	writeTimeout = 10 * time.Second
)

type (
	// completion serves one prompt until its answer is finished. Its attempts run one
	// after another, so only one goroutine at a time writes the answer.
	completion struct {
		handler     *Handler
		request     admittedRequest
		prompt      caller.Prompt
		writer      http.ResponseWriter
		control     *http.ResponseController
		stream      *caller.StreamEncoder
		buffer      []byte
		text        strings.Builder
		startedAt   time.Time
		headersSent bool
		tokens      int
	}
)

func (h *Handler) handlePrompt(chat bool) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		request, problem := h.admit(w, r, "")
		if problem != nil {
			writeProblem(w, *problem)
			return
		}
		memory := h.bodies.NewShare()
		defer memory.Release()
		prompt, problem := h.readPrompt(w, r, chat, memory)
		if problem != nil {
			problem.Request = request.name
			writeProblem(w, *problem)
			return
		}
		c := &completion{
			handler: h, request: request, prompt: prompt, writer: w,
			control: http.NewResponseController(w), startedAt: time.Now(),
		}
		c.serve(r.Context())
	}
}

func (h *Handler) readPrompt(w http.ResponseWriter, r *http.Request, chat bool, memory *limit.Share) (caller.Prompt, *caller.Problem) {
	body, problem := readBody(w, r, h.shell.Settings().Limits.BodyBytes, memory)
	if problem != nil {
		return caller.Prompt{}, problem
	}
	prompt, err := caller.ParsePrompt(body, chat)
	if err != nil {
		problem := &caller.Problem{Name: problemBody, Status: http.StatusBadRequest, Detail: err.Error()}
		var requestErr *caller.RequestError
		if errors.As(err, &requestErr) {
			problem.Field = requestErr.Field
		}
		return caller.Prompt{}, problem
	}
	if most := h.shell.Settings().Core.MaximalPrompt; prompt.Tokens() > most {
		return caller.Prompt{}, &caller.Problem{
			Name: string(action.ReasonPromptTooLong), Status: http.StatusRequestEntityTooLarge, Field: "prompt",
			Detail: "has " + strconv.Itoa(prompt.Tokens()) + " tokens, the limit is " + strconv.Itoa(most),
		}
	}
	return prompt, nil
}

// readBody reads the whole request body into memory of the share, with bodyCopies of it for the
// copies that are decoded and sent. It limits the size to most bytes and the time to bodyTimeout.
func readBody(w http.ResponseWriter, r *http.Request, most int64, memory *limit.Share) ([]byte, *caller.Problem) {
	control := http.NewResponseController(w)
	// If the writer supports no deadlines, only the timeouts of the server apply.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := memory.ReadAll(r.Body, r.ContentLength, most)
	if err == nil {
		err = memory.Take(int64(len(body)) * (bodyCopies - 1))
	}
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	conns.DropBody(w, r)
	var tooLarge *limit.ExceededError
	var exhausted *limit.ExhaustedError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &caller.Problem{
			Name: problemBodySize, Status: http.StatusRequestEntityTooLarge, Field: "body",
			Detail: "is over the limit of " + strconv.FormatInt(most, 10) + " bytes",
		}
	case errors.As(err, &exhausted):
		return nil, &caller.Problem{
			Name: problemMemory, Status: http.StatusServiceUnavailable, RetryAfter: noMemoryRetryAfter,
			Detail: "no memory is left for the body",
		}
	}
	return nil, &caller.Problem{Name: problemBody, Status: http.StatusBadRequest, Field: "body", Detail: "is cut off"}
}

// serve submits the prompt to the core and runs the attempts that the core starts.
func (c *completion) serve(ctx context.Context) {
	in := event.CompletionAsked{
		Request: c.request.name, Organisation: c.request.organisation, Model: c.prompt.Model, Adapter: c.prompt.Adapter,
		PromptTokens: c.prompt.Tokens(), MaxTokens: c.prompt.MaxTokens, Prefixes: c.prompt.Prefixes(),
		Fingerprint: c.prompt.Fingerprint(), Deadline: c.request.deadline,
	}
	actions := c.handler.shell.SubmitCompletion(in)
	defer c.handler.shell.RemoveCompletion(c.request.name)
	disconnected := ctx.Done()
	var running conc.WaitGroup
	stop := func() {}
	for {
		select {
		case act := <-actions:
			switch act := act.(type) {
			case action.StartAttempt:
				running.Wait()
				var attemptCtx context.Context
				// Only the core cancels an attempt, also after the caller has disconnected.
				attemptCtx, stop = context.WithCancel(context.WithoutCancel(ctx))
				running.Go(func() { c.runAttempt(attemptCtx, act) })
			case action.FinishCompletion:
				stop()
				running.Wait()
				c.finish(act)
				return
			}
		case <-disconnected:
			disconnected = nil
			c.handler.shell.Step(event.CallerGone{Request: c.request.name})
		}
	}
}

func (c *completion) runAttempt(ctx context.Context, start action.StartAttempt) {
	result := c.handler.shell.RunAttempt(ctx, shell.AttemptRequest{
		Start: start,
		Prompt: engine.GenerateRequest{
			Attempt: start.Attempt, Owner: start.Owner, Model: start.Model, Adapter: start.Adapter,
			Prompt: c.prompt.Text, MaxTokens: c.prompt.MaxTokens, Priority: start.Priority,
			ResumeAfter: start.ResumeAfter, Lease: start.Lease, Sampling: c.prompt.Sampling,
		},
		OnToken: c.writeToken,
	})
	c.handler.shell.Step(event.AttemptEnded{
		Attempt: start.Attempt, Verdict: result.Verdict, Tokens: result.Tokens, Cached: result.Cached,
	})
}

// writeToken adds one token to the answer. A streamed answer is flushed at once.
func (c *completion) writeToken(chunk engine.Chunk) error {
	if c.tokens == 0 {
		c.handler.shell.Stats().FirstToken.UpdateSince(c.startedAt)
	}
	c.tokens++
	if !c.prompt.Stream {
		c.text.WriteString(chunk.Text)
		return nil
	}
	c.startStream()
	c.buffer = c.stream.AppendToken(c.buffer[:0], chunk.Text)
	return c.write()
}

func (c *completion) startStream() {
	if c.headersSent {
		return
	}
	c.headersSent = true
	c.stream = caller.NewStreamEncoder(c.request.name, c.prompt, c.handler.shell.Now())
	c.writer.Header().Set("Content-Type", caller.TypeEvents)
	c.writer.Header().Set("Cache-Control", "no-store")
	c.writer.WriteHeader(http.StatusOK)
}

// write sends the buffer to the caller. It fails if the caller does not read it within
// writeTimeout.
func (c *completion) write() error {
	_ = c.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.writer.Write(c.buffer); err != nil {
		return err
	}
	return c.control.Flush()
}

func (c *completion) finish(finished action.FinishCompletion) {
	if finished.Reason != action.ReasonNone {
		c.writeFailure(finished)
		return
	}
	c.handler.shell.Stats().FinishedPrompts.Inc(1)
	if !c.prompt.Stream {
		c.writer.Header().Set("Content-Type", caller.TypeJSON)
		c.buffer = caller.EncodeAnswer(c.request.name, c.prompt, c.text.String(), c.tokens, c.handler.shell.Now())
		setLength(c.writer, c.buffer)
	} else {
		c.startStream()
		c.buffer = c.stream.AppendEnd(c.buffer[:0], c.prompt, c.tokens)
	}
	// The answer is complete. A write error only means that the caller has disconnected.
	_ = c.write()
}

// writeFailure reports a failure to the caller: as a problem response if nothing has been
// sent yet, otherwise as the last event of the stream, without the marker of a complete
// answer.
func (c *completion) writeFailure(finished action.FinishCompletion) {
	c.handler.shell.Stats().FailedPrompts.Inc(1)
	problem := caller.Problem{
		Name: string(finished.Reason), Status: statusOf(finished.Reason), Request: c.request.name,
		RetryAfter: finished.RetryAfter,
	}
	if !c.headersSent {
		writeProblem(c.writer, problem)
		return
	}
	c.buffer = caller.EncodeErrorEvent(problem)
	_ = c.write()
}

func (h *Handler) listModels(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	var names []ident.Model
	var now clock.Millis
	h.shell.ReadBoard(func(b *board.Board) {
		now = b.Now
		for _, object := range b.State.Objects() {
			if model, ok := object.(fleet.Model); ok {
				names = append(names, model.Name)
			}
		}
	})
	w.Header().Set("Content-Type", caller.TypeJSON)
	_, _ = w.Write(caller.EncodeModels(names, now))
}
