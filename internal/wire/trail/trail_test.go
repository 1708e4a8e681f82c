package trail_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/event"
	"mustardhook/internal/wire/trail"
)

// Guards against reads of the platform that are replayed as others, since a field is not recorded.
func TestReadsOfThePlatformAreRecorded(t *testing.T) {
	for _, recorded := range []event.Event{
		event.TicketsRead{Era: 2, Revision: 512, More: true},
		event.TicketsRead{Revision: 7},
		event.HistoryChanged{Era: 3, Revision: 4},
		event.InstancesRead{Instances: []event.Instance{{Name: "a", Leaving: true, Revision: 6}}, Revision: 7, Anew: true},
	} {
		line, err := trail.EncodeStep(1, recorded, nil)
		require.NoError(t, err)
		steps, err := trail.Read(bytes.NewReader(line))
		require.NoError(t, err)
		require.Len(t, steps, 1)
		require.Equal(t, recorded, steps[0].Event)
	}
}
