package setup_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/cases"
	"mustardhook/internal/wire/setup"
	"mustardhook/internal/wire/strict"
)

// Each invalid settings file in testdata/bad must fail with the errors of its golden file.
func TestBadSettings(t *testing.T) {
	cases.AssertRejected(t, "testdata/bad", ".jsonc", func(t *testing.T, name string, text []byte) error {
		_, err := setup.Parse(name, text)
		var fileErrors strict.FileErrors
		require.ErrorAs(t, err, &fileErrors)
		return err
	})
}

// The settings of the example deployments must parse. They set no advertised address, so
// that it must default to the peers' address.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"cork", "vakaloloma"} {
		file := "../../../examples/" + deployment + "/entry.jsonc"
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		settings, err := setup.Parse(file, text)
		require.NoError(t, err)
		require.Equal(t, "127.0.0.1:7002", settings.Advertise)
	}
}
