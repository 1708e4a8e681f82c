package front

import (
	"context"
	"io"
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
	"mustardhook/internal/serve/shell"
	"mustardhook/internal/wire/caller"
	"mustardhook/internal/wire/engine"
)

const (
	bodyTimeout  = 30 * time.Second
	writeTimeout = 10 * time.Second
)

type (
	// session serves one prompt to its end. Its attempts run one after another,
	// so one goroutine at a time writes the answer.
	session struct {
		front   *Front
		request admitted
		prompt  caller.Prompt
		writer  http.ResponseWriter
		control *http.ResponseController
		stream  *caller.StreamEncoder
		buffer  []byte
		text    strings.Builder
		began   time.Time
		opened  bool
		tokens  int
	}
)

func (f *Front) prompt(chat bool) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		request, problem := f.admit(w, r, "")
		if problem != nil {
			refuse(w, *problem)
			return
		}
		prompt, problem := f.readPrompt(w, r, chat)
		if problem != nil {
			problem.Request = request.name
			refuse(w, *problem)
			return
		}
		s := &session{
			front: f, request: request, prompt: prompt, writer: w,
			control: http.NewResponseController(w), began: time.Now(),
		}
		s.serve(r.Context())
	}
}

func (f *Front) readPrompt(w http.ResponseWriter, r *http.Request, chat bool) (caller.Prompt, *caller.Problem) {
	body, problem := readBody(w, r, f.shell.Settings().Limits.BodyBytes)
	if problem != nil {
		return caller.Prompt{}, problem
	}
	prompt, err := caller.ParsePrompt(body, chat)
	if err != nil {
		problem := &caller.Problem{Name: problemBody, Status: http.StatusBadRequest, Detail: err.Error()}
		var fault *caller.RequestError
		if errors.As(err, &fault) {
			problem.Field = fault.Field
		}
		return caller.Prompt{}, problem
	}
	if limit := f.shell.Settings().Core.MaximalPrompt; prompt.Tokens() > limit {
		return caller.Prompt{}, &caller.Problem{
			Name: string(action.ReasonPromptTooLong), Status: http.StatusRequestEntityTooLarge, Field: "prompt",
			Detail: "has " + strconv.Itoa(prompt.Tokens()) + " tokens, the limit is " + strconv.Itoa(limit),
		}
	}
	return prompt, nil
}

// readBody reads the whole body within its time and size.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *caller.Problem) {
	control := http.NewResponseController(w)
	// Without support for deadlines the server's own timeouts hold.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &caller.Problem{
			Name: problemBodySize, Status: http.StatusRequestEntityTooLarge, Field: "body",
			Detail: "is over the limit of " + strconv.FormatInt(limit, 10) + " bytes",
		}
	}
	if err != nil {
		return nil, &caller.Problem{
			Name: problemBody, Status: http.StatusBadRequest, Field: "body",
			Detail: "is cut off after " + strconv.Itoa(len(body)) + " bytes",
		}
	}
	return body, nil
}

// serve hands the prompt to the core and runs the attempts that it asks for.
func (s *session) serve(ctx context.Context) {
	asked := event.CompletionAsked{
		Request: s.request.name, Organisation: s.request.organisation, Model: s.prompt.Model, Adapter: s.prompt.Adapter,
		PromptTokens: s.prompt.Tokens(), MaxTokens: s.prompt.MaxTokens, Prefixes: s.prompt.Prefixes(),
		Fingerprint: s.prompt.Fingerprint(), Deadline: s.request.deadline,
	}
	box := s.front.shell.AskCompletion(asked)
	defer s.front.shell.Done(s.request.name)
	gone := ctx.Done()
	var running conc.WaitGroup
	stop := func() {}
	for {
		select {
		case wanted := <-box:
			switch wanted := wanted.(type) {
			case action.StartAttempt:
				running.Wait()
				var attemptCtx context.Context
				attemptCtx, stop = context.WithCancel(context.WithoutCancel(ctx))
				running.Go(func() { s.run(attemptCtx, wanted) })
			case action.FinishCompletion:
				stop()
				running.Wait()
				s.finish(wanted)
				return
			}
		case <-gone:
			gone = nil
			s.front.shell.Step(event.CallerGone{Request: s.request.name})
		}
	}
}

func (s *session) run(ctx context.Context, start action.StartAttempt) {
	result := s.front.shell.RunAttempt(ctx, shell.AttemptWork{
		Start: start,
		Prompt: engine.GenerateRequest{
			Attempt: start.Attempt, Owner: start.Owner, Model: start.Model, Adapter: start.Adapter,
			Prompt: s.prompt.Text, MaxTokens: s.prompt.MaxTokens, Priority: start.Priority,
			ResumeAfter: start.ResumeAfter, Lease: start.Lease, Sampling: s.prompt.Sampling,
		},
		Relay: s.relay,
	})
	s.front.shell.Step(event.AttemptEnded{
		Attempt: start.Attempt, Verdict: result.Verdict, Tokens: result.Tokens, Cached: result.Cached,
	})
}

// relay takes one token of the answer.
func (s *session) relay(piece engine.Chunk) error {
	if s.tokens == 0 {
		s.front.shell.Stats().FirstToken.UpdateSince(s.began)
	}
	s.tokens++
	if !s.prompt.Stream {
		s.text.WriteString(piece.Text)
		return nil
	}
	s.open()
	s.buffer = s.stream.AppendToken(s.buffer[:0], piece.Text)
	return s.write()
}

func (s *session) open() {
	if s.opened {
		return
	}
	s.opened = true
	s.stream = caller.NewStreamEncoder(s.request.name, s.prompt, s.front.shell.Now())
	s.writer.Header().Set("Content-Type", caller.TypeEvents)
	s.writer.Header().Set("Cache-Control", "no-store")
	s.writer.WriteHeader(http.StatusOK)
}

// write sends the buffer; a caller that does not read in time loses its answer.
func (s *session) write() error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.writer.Write(s.buffer); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *session) finish(finished action.FinishCompletion) {
	if finished.Reason != action.ReasonNone {
		s.fail(finished)
		return
	}
	s.front.shell.Stats().Finished.Inc(1)
	if !s.prompt.Stream {
		s.writer.Header().Set("Content-Type", caller.TypeJSON)
		s.buffer = caller.EncodeAnswer(s.request.name, s.prompt, s.text.String(), s.tokens, s.front.shell.Now())
	} else {
		s.open()
		s.buffer = s.stream.AppendEnd(s.buffer[:0], s.prompt, s.tokens)
	}
	// The answer is whole; a caller that has gone can't be told more.
	_ = s.write()
}

// fail tells the caller of a failure: as the answer when nothing was sent yet,
// else as the last event of the stream, without the mark of a complete one.
func (s *session) fail(finished action.FinishCompletion) {
	s.front.shell.Stats().Failed.Inc(1)
	problem := caller.Problem{
		Name: string(finished.Reason), Status: statusOf(finished.Reason), Request: s.request.name,
		RetryAfter: finished.RetryAfter,
	}
	if !s.opened {
		refuse(s.writer, problem)
		return
	}
	s.buffer = caller.EncodeErrorEvent(problem)
	_ = s.write()
}

func (f *Front) models(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	var names []ident.Model
	var now clock.Millis
	f.shell.Look(func(b *board.Board) {
		now = b.Now
		for _, object := range b.State.Objects() {
			if model, is := object.(fleet.Model); is {
				names = append(names, model.Name)
			}
		}
	})
	w.Header().Set("Content-Type", caller.TypeJSON)
	_, _ = w.Write(caller.EncodeModels(names, now))
}
