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

// AssertRejected checks that refuse returns an error for every file in the folder with
// the given ending, and that its message matches the golden file of the same name. The
// refuse function gets the file name without the ending; it must check the type of the
// error itself.
func AssertRejected(t *testing.T, folder, ending string, refuse func(t *testing.T, name string, text []byte) error) {
	t.Helper()
	golden := goldie.New(t, goldie.WithFixtureDir(folder))
	files, err := filepath.Glob(filepath.Join(folder, "*"+ending))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ending)
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			refusal := refuse(t, name, text)
			require.Error(t, refusal)
			golden.Assert(t, name, []byte(refusal.Error()+"\n"))
		})
	}
}
