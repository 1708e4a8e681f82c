package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/ports"
)

// Guards against a ticket that stays unknown since the platform, which begins its revisions anew with
// its process, has given the known one out again when an entry polls it.
func TestProcessPlatformRestarts(t *testing.T) {
	f := newEmptyCluster(t)
	f.ticketFolder = filepath.Join(f.folder, "tickets")
	require.NoError(t, os.Mkdir(f.ticketFolder, 0o755))
	addresses, err := ports.Allocate(4)
	require.NoError(t, err)
	f.platformAddress = addresses[0]
	f.callerAddresses, f.peerAddresses, f.operatorAddresses = addresses[1:2], addresses[2:3], addresses[3:4]
	start := func() {
		f.platform = f.start("standin", "platform", "--listen", f.platformAddress, "--tickets", f.ticketFolder,
			"--entry", "entry-0@d0@"+f.peerAddresses[0])
	}
	domain := func(name string) string { return `"failureDomains": [{"name": "` + name + `", "region": "r"}]` }
	for _, name := range []string{"d0", "d1", "d2"} {
		f.publishTicket(domain(name))
	}
	start()
	f.startEntry(0)
	hasHighest := func(number uint64) func() bool {
		return func() bool {
			status, err := f.status(0)
			return err == nil && uint64(status.HighestTicket) == number
		}
	}
	f.waitFor(15*time.Second, "tickets in force", hasHighest(3))
	f.platform.kill(t)
	// The name of its file gives this ticket a revision below the known one.
	text := `{"number": 4, ` + domain("d3") + `}`
	require.NoError(t, os.WriteFile(filepath.Join(f.ticketFolder, strings.Repeat("0", 6)+".jsonc"), []byte(text), 0o600))
	start()
	f.waitFor(15*time.Second, "ticket of the restarted platform in force", hasHighest(4))
}
