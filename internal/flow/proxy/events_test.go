package proxy

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"mustardhook/internal/serve/limit"
)

// readEvents returns copies of all events of a stream, and the error that ended it.
func readEvents(stream io.Reader) ([]string, error) {
	events := newEventReader(stream, limit.NewBudget(1<<30).NewShare())
	var all []string
	for {
		event, err := events.next()
		if err != nil {
			return all, err
		}
		all = append(all, string(event))
	}
}

// FuzzEvents checks that the events of a stream do not depend on how its bytes arrive, that each
// ends with a blank line, and that a stream ends well only after a complete event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n: alive\n\nid: 2\ndata: y\n\n"))
	f.Add([]byte("\n\nid: 1\r\ndata: x\r\n\r\nid: 2\nda"))
	f.Add([]byte(" \n\t\n:\n\n\x00\n \n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		whole, wholeErr := readEvents(bytes.NewReader(stream))
		pieces, piecesErr := readEvents(iotest.OneByteReader(bytes.NewReader(stream)))
		require.Equal(t, whole, pieces)
		endsWell := errors.Is(wholeErr, io.EOF)
		require.Equal(t, endsWell, errors.Is(piecesErr, io.EOF))
		length := 0
		for _, event := range whole {
			length += len(event)
			lines := bytes.SplitAfter([]byte(event), []byte("\n"))
			require.Empty(t, lines[len(lines)-1])
			require.True(t, isBlank(lines[len(lines)-2]))
			require.False(t, isBlank(lines[0]))
		}
		if endsWell {
			require.LessOrEqual(t, length, len(stream))
		}
	})
}
