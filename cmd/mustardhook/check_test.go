package main

import (
	"bytes"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// The output of each check is a golden file; invalid configurations fail the command.
func TestCheckOfConfigurations(t *testing.T) {
	for _, test := range []struct {
		golden    string
		arguments []string
		isValid   bool
	}{
		{"check-valid", []string{"testdata/current.json"}, true},
		{"check-faulty", []string{"testdata/faulty.json", "--in-force", "testdata/current.json"}, false},
		{"check-json", []string{"testdata/faulty.json", "--in-force", "testdata/current.json", "--format", "json"}, false},
		{"check-unreadable", []string{"testdata/unreadable.json"}, false},
		{"check-open", []string{"testdata/open.json", "--in-force", "testdata/current.json"}, true},
		{"check-misspelt", []string{"testdata/misspelt.json"}, false},
		{"check-unusable", []string{"testdata/unusable.json"}, false},
		{"check-same", []string{"testdata/current.json", "--in-force", "testdata/current.json"}, false},
	} {
		var output bytes.Buffer
		root := newRoot()
		root.SetOut(&output)
		root.SetArgs(append([]string{"check"}, test.arguments...))
		err := root.Execute()
		require.Equal(t, test.isValid, err == nil, "%s: %v", test.golden, err)
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, test.golden, output.Bytes())
	}
}
