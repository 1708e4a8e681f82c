package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/flow/input"
	"mustardhook/internal/serve/probe"
)

// Guards against ends of endpoints that no entry sees: a refused connection shows the end, an accepted
// one and a probe that was given up do not.
func TestProbe(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	hasExited, err := probe.IsRefused(t.Context(), dialProbe, address)
	require.NoError(t, err)
	require.False(t, hasExited)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	hasExited, err = probe.IsRefused(cancelled, dialProbe, address)
	require.Error(t, err)
	require.False(t, hasExited)
	require.NoError(t, listener.Close())
	hasExited, err = probe.IsRefused(t.Context(), dialProbe, address)
	require.Error(t, err)
	require.True(t, hasExited)
}

// Guards against crashes that are never confirmed since the port of the endpoint still accepts connections,
// and against live endpoints that are taken for crashed.
func TestProbeForReport(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
	t.Cleanup(live.Close)
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	t.Cleanup(failing.Close)
	closing := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(closing.Close)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	p := newTestProxy(t)
	for _, c := range []struct {
		address string
		want    input.ProbeOutcome
	}{
		{listener.Addr().String(), input.ProbeSilent},
		{live.Listener.Addr().String(), input.ProbeAnswered},
		{failing.Listener.Addr().String(), input.ProbeAnswered},
		{closing.Listener.Addr().String(), input.ProbeUnknown},
		{gone.Listener.Addr().String(), input.ProbeRefused},
	} {
		got, _ := p.probeReport(c.address)
		require.Equal(t, c.want, got)
	}
}
