package shell

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/event"
	"mustardhook/internal/wire/engine"
)

const (
	lineBuffer = 4 << 10
)

type (
	// AttemptWork is one attempt at an engine and where its tokens go.
	AttemptWork struct {
		Start  action.StartAttempt
		Prompt engine.GenerateRequest
		// Relay takes one token; an error ends the attempt.
		Relay func(piece engine.Chunk) error
	}

	// AttemptResult says how an attempt ended.
	AttemptResult struct {
		Verdict event.Verdict
		// Tokens is how many tokens the caller has, with those of earlier attempts.
		Tokens int
		Cached int
	}

	// crossedError says that an answer carries another attempt's name, or a token
	// out of its turn.
	crossedError struct{ field string }

	// relayError says that the caller took no more tokens.
	relayError struct{ err error }
)

// Error returns the text of the fault.
func (e *crossedError) Error() string { return "answer of another attempt, by its " + e.field }

// Error returns the text of the fault.
func (e *relayError) Error() string { return "relay: " + e.err.Error() }

// Unwrap returns the cause.
func (e *relayError) Unwrap() error { return e.err }

// RunAttempt runs one attempt to its end and relays its tokens in order. Every
// line must carry the attempt's name and the next index; only the end mark makes
// the answer whole.
func (s *Shell) RunAttempt(ctx context.Context, work AttemptWork) AttemptResult {
	s.metrics.Attempts.Inc(1)
	result := AttemptResult{Verdict: event.VerdictBroken, Tokens: work.Start.ResumeAfter}
	response, err := s.openAttempt(ctx, work)
	if err != nil {
		if isNotSent(err) {
			result.Verdict = event.VerdictRefused
		}
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		result.Verdict = event.VerdictRefused
		return result
	}
	err = s.relay(work, response.Body, &result)
	var crossed *crossedError
	if errors.As(err, &crossed) {
		result.Verdict = event.VerdictCrossed
	}
	if err != nil {
		s.logger.Part("attempt").Debug("Attempt ended early.", "attempt", work.Start.Attempt, "err", err)
	}
	return result
}

func (s *Shell) openAttempt(ctx context.Context, work AttemptWork) (*http.Response, error) {
	body := engine.EncodeGenerate(work.Prompt)
	address := "http://" + work.Start.Address + engine.PathGenerate
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	return s.engines.Do(request)
}

func (s *Shell) relay(work AttemptWork, body io.Reader, result *AttemptResult) error {
	lines := bufio.NewReaderSize(body, lineBuffer)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return errors.Wrap(err, "read line")
		}
		piece, err := engine.DecodeChunk(line)
		if err != nil {
			return err
		}
		if piece.Attempt != work.Start.Attempt {
			return &crossedError{"attempt"}
		}
		if piece.End {
			return finishRelay(piece, result)
		}
		if piece.Index != result.Tokens {
			return &crossedError{"index"}
		}
		if result.Tokens == work.Start.ResumeAfter {
			s.Step(event.TokenCame{Attempt: work.Start.Attempt})
		}
		if err := work.Relay(piece); err != nil {
			return &relayError{err}
		}
		s.metrics.Tokens.Inc(1)
		result.Tokens++
	}
}

func finishRelay(piece engine.Chunk, result *AttemptResult) error {
	if piece.Tokens != result.Tokens {
		return &crossedError{"count"}
	}
	result.Verdict = event.VerdictComplete
	result.Cached = piece.Cached
	return nil
}
