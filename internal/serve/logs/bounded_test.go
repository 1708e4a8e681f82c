package logs

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks every write until it is released.
type blockedWriter struct {
	release chan struct{}
	text    bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return w.text.Write(line)
}

// TestStuckReaderDoesNotBlock checks that a blocked reader of the log does not block the
// process, and that dropped lines are reported.
func TestStuckReaderDoesNotBlock(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	bounded := NewBounded(out)
	logger := New(bounded, "info").Part("test")
	for range 5 * maxQueuedLines {
		logger.Info("Line.")
	}
	close(out.release)
	require.NoError(t, bounded.Close())
	require.LessOrEqual(t, strings.Count(out.text.String(), "Line."), maxQueuedLines+1)
	require.Contains(t, out.text.String(), "Lines dropped.")
}
