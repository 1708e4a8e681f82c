package proxy

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"

	"mustardhook/internal/serve/limit"
)

const (
	// maxEventBytes is the maximum size of an event of a stream, with the blank lines before
	// it.
	maxEventBytes = 1 << 20
	// maxCommentBytes is the maximum size of the comments between two events of a stream.
	maxCommentBytes = 64 << 10
)

type (
	// eventReader reads the events of a stream. An event ends with a blank line.
	eventReader struct {
		lines *bufio.Reader
		// memory holds the capacity of event.
		memory *limit.Share
		event  []byte
	}
)

func newEventReader(body io.Reader, memory *limit.Share) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(body, ioBufferBytes), memory: memory}
}

// next returns the next event, which is valid until the following call. Blank lines before
// the event are dropped. The error is io.EOF at the end of the stream, or an AnswerError if
// that is inside an event.
func (r *eventReader) next() ([]byte, error) {
	r.event = r.event[:0]
	bytesRead := 0
	isContinued := false
	for {
		piece, err := r.lines.ReadSlice('\n')
		bytesRead += len(piece)
		if bytesRead > maxEventBytes {
			return nil, &limit.ExceededError{Bytes: maxEventBytes}
		}
		isPartial := errors.Is(err, bufio.ErrBufferFull)
		isBlankLine := !isContinued && !isPartial && isBlank(piece)
		if errors.Is(err, io.EOF) && (len(r.event) > 0 || !isBlankLine) {
			return nil, &AnswerError{Reason: "it ended inside an event", Truncated: true}
		}
		if err != nil && !isPartial {
			return nil, err
		}
		isContinued = isPartial
		if isBlankLine && len(r.event) == 0 {
			continue
		}
		if err := r.append(piece); err != nil {
			return nil, err
		}
		if isBlankLine {
			return r.event, nil
		}
	}
}

// append adds a piece to the event.
func (r *eventReader) append(piece []byte) error {
	size := len(r.event) + len(piece)
	if size > cap(r.event) {
		capacity := max(size, 2*cap(r.event))
		if err := r.memory.Take(int64(capacity - cap(r.event))); err != nil {
			return err
		}
		r.event = append(make([]byte, 0, capacity), r.event...)
	}
	r.event = append(r.event, piece...)
	return nil
}

// isBlank reports whether the line has no text.
func isBlank(line []byte) bool { return len(bytes.TrimSpace(line)) == 0 }

// isComment reports whether the event has only comments, which give the caller nothing but a
// sign that the connection is open.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if !isBlank(line) && line[0] != ':' {
			return false
		}
	}
	return true
}
