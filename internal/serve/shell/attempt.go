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
	lineBufferSize = 4 << 10
)

type (
	// AttemptRequest describes one attempt to run a prompt at an engine.
	AttemptRequest struct {
		Start  action.StartAttempt
		Prompt engine.GenerateRequest
		// OnToken is called for each token in order. An error ends the attempt.
		OnToken func(chunk engine.Chunk) error
	}

	// AttemptResult is the outcome of an attempt.
	AttemptResult struct {
		Verdict event.Verdict
		// Tokens is the number of tokens passed to the caller, including those of
		// earlier attempts.
		Tokens int
		// Cached is the count of cached tokens that the engine reports at the end.
		Cached int
	}

	// mismatchError is returned for an answer that carries the name of another attempt,
	// a token out of order, a wrong token count or more tokens than were asked for. The field
	// is attempt, index or count.
	mismatchError struct{ field string }

	// relayError is returned when a token can't be written to the caller.
	relayError struct{ err error }
)

// Error names the field that differs.
func (e *mismatchError) Error() string {
	return "answer does not match the attempt: unexpected " + e.field
}

// Error returns the text of the error with its cause.
func (e *relayError) Error() string { return "relay token to caller: " + e.err.Error() }

// Unwrap returns the cause.
func (e *relayError) Unwrap() error { return e.err }

// RunAttempt runs one attempt at an engine and relays its tokens in order. Every line
// of the response must carry the name of the attempt and the next token index. The
// answer is complete only if the response has the end marker.
func (s *Shell) RunAttempt(ctx context.Context, attempt AttemptRequest) AttemptResult {
	s.metrics.Attempts.Inc(1)
	result := AttemptResult{Verdict: event.VerdictBroken, Tokens: attempt.Start.ResumeAfter}
	response, err := s.openAttempt(ctx, attempt)
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
	err = s.relayTokens(attempt, response.Body, &result)
	var mismatch *mismatchError
	if errors.As(err, &mismatch) {
		result.Verdict = event.VerdictCrossed
	}
	if err != nil {
		s.logger.Part("attempt").Debug("Attempt ended early.", "attempt", attempt.Start.Attempt, "err", err)
	}
	return result
}

// openAttempt sends the request of the attempt to the engine and returns the response
// with its body open.
func (s *Shell) openAttempt(ctx context.Context, attempt AttemptRequest) (*http.Response, error) {
	body := engine.EncodeGenerate(attempt.Prompt)
	address := "http://" + attempt.Start.Address + engine.PathGenerate
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	return s.engines.Do(request)
}

// relayTokens reads the lines of a response body up to the end marker and passes each
// token to the caller. It keeps the token count of the result current.
func (s *Shell) relayTokens(attempt AttemptRequest, body io.Reader, result *AttemptResult) error {
	lines := bufio.NewReaderSize(body, lineBufferSize)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return errors.Wrap(err, "read line")
		}
		chunk, err := engine.DecodeChunk(line)
		if err != nil {
			return err
		}
		if chunk.Attempt != attempt.Start.Attempt {
			return &mismatchError{"attempt"}
		}
		if chunk.End {
			return completeResult(chunk, result)
		}
		if chunk.Index != result.Tokens {
			return &mismatchError{"index"}
		}
		if chunk.Index >= attempt.Prompt.MaxTokens {
			return &mismatchError{"count"}
		}
		if result.Tokens == attempt.Start.ResumeAfter {
			s.Step(event.TokenCame{Attempt: attempt.Start.Attempt})
		}
		if err := attempt.OnToken(chunk); err != nil {
			return &relayError{err}
		}
		s.metrics.Tokens.Inc(1)
		result.Tokens++
	}
}

// completeResult sets the verdict of a result whose end marker has arrived. The token
// count of the marker must equal the count of tokens relayed.
func completeResult(chunk engine.Chunk, result *AttemptResult) error {
	if chunk.Tokens != result.Tokens {
		return &mismatchError{"count"}
	}
	result.Verdict = event.VerdictComplete
	result.Cached = chunk.Cached
	return nil
}
