package logs

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// stuck is a reader that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *stuck) Write(line []byte) (int, error) {
	<-s.release
	return s.text.Write(line)
}

// A reader that stops does not stop the entry, and the lines lost are counted.
func TestStuckReaderDoesNotBlock(t *testing.T) {
	to := &stuck{release: make(chan struct{})}
	bounded := NewBounded(to)
	logger := New(bounded, "info").Part("test")
	for range 5 * queueLines {
		logger.Info("Line.")
	}
	close(to.release)
	require.NoError(t, bounded.Close())
	require.LessOrEqual(t, strings.Count(to.text.String(), "Line."), queueLines+1)
	require.Contains(t, to.text.String(), "Lines dropped.")
}
