package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/crowd"
	"mustardhook/internal/fake/ports"
)

const (
	crowdConns = 300
	crowdTime  = 3 * time.Second
	// crowdMegabytes is the default of the memory setting.
	crowdMegabytes = 512
	crowdStart     = "GET /healthz HTTP/1.1\r\nHost: desk.example\r\n"
	crowdAnswer    = 8 * time.Second
)

// meetCrowd starts an entry that accepts heads of a megabyte, and lets a crowd send them. It then
// checks that the process lives, has stayed within its memory, and answers a request.
func meetCrowd(t *testing.T, send crowd.Script) {
	t.Helper()
	addresses, err := ports.Allocate(4)
	require.NoError(t, err)
	f := newEmptyCluster(t)
	file := filepath.Join(f.folder, "entry.jsonc")
	text := fmt.Sprintf(`{"entry": "e1", "failureDomain": "d1", "platform": %q, "callers": {"listen": %q},
"peers": {"listen": %q, "key": "a shared key of the peers"}, "operators": {"listen": %q}, "logLevel": "error",
"limits": {"headerBytes": 1048576}}`, addresses[0], addresses[1], addresses[2], addresses[3])
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	entry := f.start("mustardhook", "serve", "--settings", file)
	isAnswered := func() bool {
		response, err := http.Get("http://" + addresses[1] + "/healthz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	require.Eventually(t, isAnswered, crowdAnswer, crowd.Pause)
	crowd.Crowd{Address: addresses[1], Conns: crowdConns, Time: crowdTime}.Meet(send, func() {})
	kilobytes, err := crowd.PeakKilobytes(entry.command.Process.Pid)
	require.NoError(t, err, "the process has ended")
	t.Logf("peak %d MB", kilobytes>>10)
	require.Eventually(t, isAnswered, crowdAnswer, crowd.Pause, "an ordinary request is answered")
	require.Less(t, kilobytes, crowdMegabytes<<10, "resident kilobytes")
}

// Guards against large heads of small repeated fields that take all memory of an entry.
func TestCrowdOfRepeatedFieldsAtServe(t *testing.T) {
	meetCrowd(t, crowd.Slow(crowdStart+strings.Repeat("a:\r\n", 250_000)))
}

// Guards against large heads of distinct fields that take all memory of an entry.
func TestCrowdOfDistinctFieldsAtServe(t *testing.T) {
	meetCrowd(t, crowd.Slow(crowdStart+crowd.Fields(100_000)))
}
