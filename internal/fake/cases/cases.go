// Package cases tests that invalid input files are rejected with the error messages of
// their golden files.
package cases

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// AssertRejected checks that parse returns an error for every file in the folder with the
// given extension, and that its message matches the golden file of the same name. The parse
// function gets the file name without the extension; it must check the type of the error
// itself.
func AssertRejected(t *testing.T, folder, extension string, parse func(t *testing.T, name string, text []byte) error) {
	t.Helper()
	golden := goldie.New(t, goldie.WithFixtureDir(folder))
	files, err := filepath.Glob(filepath.Join(folder, "*"+extension))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), extension)
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			parseErr := parse(t, name, text)
			require.Error(t, parseErr)
			golden.Assert(t, name, []byte(parseErr.Error()+"\n"))
		})
	}
}
