package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/ports"
)

// relaySettings returns the address for callers and the settings of a relay whose
// publisher does not answer.
func relaySettings(t *testing.T) (callers, text string) {
	addresses, err := ports.Allocate(5)
	require.NoError(t, err)
	_, newsPort, err := net.SplitHostPort(addresses[3])
	require.NoError(t, err)
	text = fmt.Sprintf(`{"entry":"entry-0","failureDomain":"d0","callers":%q,"ready":%q,"peers":%q,"newsPort":%s,`+
		`"seeds":[],"publisher":%q,"bounds":{"graceSeconds":8}}`,
		addresses[0], addresses[1], addresses[2], newsPort, addresses[4])
	return addresses[0], text
}

// Guards against a SIGHUP that is lost when it arrives after the settings were read at the
// start, so that the process keeps outdated settings.
func TestReloadDuringStartIsNotLost(t *testing.T) {
	f := newEmptyCluster(t)
	file := filepath.Join(f.folder, "relay.jsonc")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	callers, text := relaySettings(t)
	relay := f.start("mustardhook", "relay", "--settings", file)
	// A pipe can be opened only while the process reads it.
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	require.NoError(t, err)
	relay.signal(t, syscall.SIGHUP)
	_, err = pipe.WriteString(text)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	f.waitFor(5*time.Second, "the relay has read its settings", func() bool {
		conn, err := net.Dial("tcp", callers)
		return err == nil && conn.Close() == nil
	})
	written := make(chan error, 1)
	go func() { written <- os.WriteFile(file, []byte(text), 0o600) }()
	select {
	case err := <-written:
		require.NoError(t, err)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the settings were not read again")
	}
	relay.signal(t, syscall.SIGTERM)
	select {
	case err := <-relay.done:
		require.NoError(t, err, strings.TrimSpace(relay.stderr.String()))
	case <-time.After(8 * time.Second):
		require.Fail(t, "the relay did not exit")
	}
}
