package shell_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/board"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/msgs"
	"mustardhook/internal/serve/shell"
	"mustardhook/internal/wire/setup"
)

// resultSender is a core that answers a request to stop with the result of a forwarded call.
type resultSender struct {
	board   *board.Board
	address string
}

func (c resultSender) Step(_ clock.Millis, in event.Event) []action.Action {
	if _, ok := in.(event.StopAsked); !ok {
		return nil
	}
	return []action.Action{
		action.SendMessage{Address: c.address, Message: msgs.Forwarded{Request: "r", Result: msgs.Result{Outcome: msgs.OutcomeDone}}},
		action.Exit{},
	}
}

func (c resultSender) Board() *board.Board { return c.board }

// The exit of an entry dropped results of calls that other entries had forwarded to it, so
// that their callers got unknown for calls that were done.
func TestFlushDeliversLastMessages(t *testing.T) {
	delivered := make(chan error, 1)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		delivered <- r.Context().Err()
		w.WriteHeader(http.StatusOK)
	}))
	defer peer.Close()
	s := shell.NewShell(resultSender{board.New(), strings.TrimPrefix(peer.URL, "http://")}, setup.Settings{})
	s.Step(event.StopAsked{})
	<-s.Exited()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s.FlushMessages(ctx)
	s.Stop()
	select {
	case err := <-delivered:
		require.NoError(t, err, "the delivery was cancelled")
	case <-time.After(time.Second):
		require.Fail(t, "the message was not delivered")
	}
}
