package setup_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/cases"
	"mustardhook/internal/wire/setup"
	"mustardhook/internal/wire/strict"
)

func TestBadSettings(t *testing.T) {
	cases.AssertRefused(t, "testdata/bad", ".jsonc", func(t *testing.T, name string, text []byte) error {
		_, err := setup.Parse(name, text)
		var faults strict.FileErrors
		require.ErrorAs(t, err, &faults)
		return err
	})
}

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
