// Package polls tells a long poll that its server has cut from one that has failed.
package polls

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

type (
	// Trace observes the connections of a poll.
	Trace struct {
		conns  atomic.Int32
		isSent atomic.Bool
	}
)

// WithTrace returns a context for a poll and its trace. If a connection that was in use before
// ends without an answer, net/http sends the request again on another one. The context ends
// instead, so that the caller learns that the poll was cut.
func WithTrace(parent context.Context) (context.Context, context.CancelFunc, *Trace) {
	ctx, cancel := context.WithCancel(parent)
	trace := &Trace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			if trace.conns.Add(1) > 1 {
				cancel()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				trace.isSent.Store(true)
			}
		},
	}), cancel, trace
}

// HasConnected reports whether the poll was sent, or lost a connection that was in use before.
func (t *Trace) HasConnected() bool { return t.isSent.Load() || t.conns.Load() > 1 }
