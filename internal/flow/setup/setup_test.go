package setup_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/fake/cases"
	"mustardhook/internal/flow/setup"
	"mustardhook/internal/wire/strict"
)

const validSettings = `{
	// Comments are allowed.
	"entry": "e1", "failureDomain": "north", "callers": "10.0.0.1:80", "ready": "10.0.0.1:81", "peers": "10.0.0.1:82",
	"newsPort": 7000, "seeds": ["10.0.0.2:82"], "publisher": "10.0.0.9:8000", "logLevel": "info",
	"bounds": {"stallMillis": 900}
}`

// Each invalid settings file in testdata/bad must fail with the errors of its golden file.
func TestBadSettings(t *testing.T) {
	cases.AssertRejected(t, "testdata/bad", ".jsonc", func(t *testing.T, name string, text []byte) error {
		_, err := setup.Parse(name, text)
		var fileErrors strict.FileErrors
		require.ErrorAs(t, err, &fileErrors)
		return err
	})
}

// Settings that are not set have their defaults.
func TestDefaults(t *testing.T) {
	settings, err := setup.Parse("valid", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, 900*clock.Millis(1), settings.Core.StallTimeout)
	require.Equal(t, setup.DefaultGracePeriod, settings.Core.GracePeriod)
	require.Equal(t, setup.DefaultNewsRate, settings.Core.NewsRate)
	require.Equal(t, setup.DefaultMemoryMegabytes, settings.Limits.MemoryMegabytes)
}

// FuzzParse checks that every text gives settings with all required fields, or typed errors.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"limits": {"processorShare": 1e400}, "seeds": [1]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := setup.Parse("fuzz", text)
		if err != nil {
			var fileErrors strict.FileErrors
			require.ErrorAs(t, err, &fileErrors)
			return
		}
		require.NotEmpty(t, settings.Entry)
		require.NotEmpty(t, settings.Callers)
		require.NotZero(t, settings.NewsPort)
	})
}
