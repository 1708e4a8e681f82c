package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

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

// Guards against the loss of the lines that show how a process stops, and of warnings, while
// it logs more requests than its rate limit allows.
func TestEssentialLinesAreNotCrowdedOut(t *testing.T) {
	var out bytes.Buffer
	bounded := NewBounded(&out)
	logger := New(bounded, "info")
	for range 5 * burstLines {
		logger.Part("request").Info("Answer delivered.")
	}
	logger.Part("entry").Info("Entry stops.")
	logger.Part("request").Warn("Request cut off.")
	require.NoError(t, bounded.Close())
	require.Contains(t, out.String(), "Lines dropped.")
	require.Contains(t, out.String(), "Entry stops.")
	require.Contains(t, out.String(), "Request cut off.")
}

// Guards against a process that does not exit at a planned stop because nobody reads its log.
func TestStuckReaderDoesNotBlockClose(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	defer close(out.release)
	bounded := NewBounded(out)
	New(bounded, "info").Part("test").Info("Line.")
	closed := make(chan error, 1)
	go func() { closed <- bounded.Close() }()
	select {
	case err := <-closed:
		require.NoError(t, err)
	case <-time.After(10 * closeTimeout):
		require.Fail(t, "Close blocks")
	}
}

// Guards against a panic at the end of a planned stop, when a request that is cut off logs
// its end after the log was closed.
func TestLateLineIsDropped(t *testing.T) {
	var out bytes.Buffer
	bounded := NewBounded(&out)
	logger := New(bounded, "info").Part("test")
	logger.Info("In time.")
	require.NoError(t, bounded.Close())
	require.NotPanics(t, func() { logger.Info("Late.") })
	require.NoError(t, bounded.Close())
	require.Contains(t, out.String(), "In time.")
	require.NotContains(t, out.String(), "Late.")
}
