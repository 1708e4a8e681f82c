// Package cases runs a check over numbered case files and compares what it says
// with the golden file of each.
package cases

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// AssertRefused checks that every file of the folder with the ending is refused, and
// that the error's text is that of the golden file. The refuse function gets the
// file's name without its ending; it checks the error's type itself.
func AssertRefused(t *testing.T, folder, ending string, refuse func(t *testing.T, name string, text []byte) error) {
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
			refused := refuse(t, name, text)
			require.Error(t, refused)
			golden.Assert(t, name, []byte(refused.Error()+"\n"))
		})
	}
}
