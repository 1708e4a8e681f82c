package shell

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/board"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/fake/config"
	"mustardhook/internal/serve/parts"
	"mustardhook/internal/wire/setup"
	"mustardhook/internal/wire/watch"
)

// olderTimeout is the time within which an entry has read what the platform has.
const olderTimeout = 8 * time.Second

// startWatcher starts an entry that reads the platform.
func startWatcher(t *testing.T, platform *config.Server) *Shell {
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	settings := setup.Settings{Entry: "e0", Domain: "north", Platform: strings.TrimPrefix(server.URL, "http://")}
	settings.Limits.AuditRecords = setup.DefaultAuditRecords
	settings.Limits.TrailEvents = setup.DefaultTrailEvents
	s := NewShell(parts.NewCore(), settings)
	s.Start(1)
	t.Cleanup(s.Stop)
	return s
}

func publishDomain(platform *config.Server, number int) {
	text := fmt.Sprintf(`{"number": %d, "failureDomains": [{"name": "d%d", "region": "r"}]}`, number, number)
	platform.Set(fmt.Sprintf("%s%09d", watch.TicketPrefix, number), []byte(text))
}

func requireInForce(t *testing.T, s *Shell, numbers ...fleet.Number) {
	t.Helper()
	isInForce := func() bool {
		missing := 0
		s.ReadBoard(func(b *board.Board) {
			for _, number := range numbers {
				if _, ok := b.State.Ticket(number); !ok {
					missing++
				}
			}
		})
		return missing == 0
	}
	require.Eventually(t, isInForce, olderTimeout, 10*time.Millisecond, "tickets %d", numbers)
}

// Guards against tickets and leaving endpoints that stay unknown for good, since the platform came back
// from an older copy and had given the known revision out again when it was polled next.
func TestOlderPlatformIsReadAnew(t *testing.T) {
	for _, row := range []struct {
		name                 string
		tellsEra, ignoresEra bool
		// written is the number of tickets that the platform gets after it came back, before it
		// is polled; it had one that the copy lacks.
		written int
	}{
		{"same revision", true, false, 1},
		{"revision passed", true, false, 3},
		{"revision passed, era of polls ignored", true, true, 3},
		{"revision below, no era", false, true, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			platform := config.New()
			if row.ignoresEra {
				platform.IgnoreEra()
			}
			publishDomain(platform, 1)
			olderCopy := platform.Copy()
			publishDomain(platform, 2)
			publishDomain(platform, 3)
			s := startWatcher(t, platform)
			requireInForce(t, s, 1, 2, 3)

			platform.SetDown(true)
			hasFailed := func() bool {
				failures := 0
				s.ReadBoard(func(b *board.Board) { failures = b.Platform.Failures })
				return failures > 0
			}
			require.Eventually(t, hasFailed, olderTimeout, time.Millisecond)
			platform.ComeBack(olderCopy, row.tellsEra)
			platform.SetInstance(event.Instance{Name: "leaver", Leaving: true})
			var numbers []fleet.Number
			for i := range row.written {
				publishDomain(platform, 4+i)
				numbers = append(numbers, fleet.Number(4+i))
			}
			platform.SetDown(false)
			isLeaving := func() bool {
				isListed := false
				s.ReadBoard(func(b *board.Board) { isListed = b.EndpointStatus(ident.Endpoint("leaver")).ListedLeaving })
				return isListed
			}
			require.Eventually(t, isLeaving, olderTimeout, 10*time.Millisecond)
			requireInForce(t, s, numbers...)
			requireInForce(t, s, 1, 2, 3)

			publishDomain(platform, 9)
			requireInForce(t, s, 9)
		})
	}
}
