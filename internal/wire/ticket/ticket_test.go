package ticket_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/fleet"
	"mustardhook/internal/fake/cases"
	"mustardhook/internal/wire/strict"
	"mustardhook/internal/wire/ticket"
)

// Every bad ticket gives a typed error with place and field.
func TestBadTickets(t *testing.T) {
	cases.AssertRefused(t, "testdata/bad", ".jsonc", func(t *testing.T, name string, text []byte) error {
		_, err := ticket.Parse(name, text)
		var faults strict.FileErrors
		require.ErrorAs(t, err, &faults)
		return err
	})
}

func TestTooLargeTicket(t *testing.T) {
	text := append([]byte(`{"number": 1, "comment": "`), bytes.Repeat([]byte("x"), 2<<20)...)
	_, err := ticket.Parse("large", append(text, `"}`...))
	require.EqualError(t, err, "large:1:1: the file has 2097180 bytes, the limit is 1048576")
}

// The examples of both deployments pass the checks that an entry makes.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"cork", "vakaloloma"} {
		files, err := filepath.Glob("../../../examples/" + deployment + "/tickets/*.jsonc")
		require.NoError(t, err)
		require.Len(t, files, 4)
		state := fleet.NewState()
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			parsed, err := ticket.Parse(file, text)
			require.NoError(t, err)
			next, merge := state.With(parsed)
			require.Equal(t, fleet.Accepted, merge)
			require.Empty(t, next.CheckTicket(parsed))
			state = next
		}
		require.Equal(t, fleet.Number(4), state.Highest())
	}
}

// Faults of references and numbers name the line, and leave the state as it was.
func TestPlacedFaults(t *testing.T) {
	text := []byte("{\n\"number\": 1,\n\"endpoints\": [{\"name\": \"e\", \"failureDomain\": \"nowhere\", \"address\": \"10.0.0.1:1\"}]}")
	parsed, err := ticket.Parse("t", text)
	require.NoError(t, err)
	next, merge := fleet.NewState().With(parsed)
	placed := ticket.LocateErrors("t", parsed, next.CheckTicket(parsed))
	require.Len(t, placed, 1)
	require.EqualError(t, placed[0], "t:3:46: endpoint/e: failureDomain names domain/nowhere, which is not declared")
	require.NoError(t, ticket.CheckNumber("t", parsed, fleet.NewState(), merge))
	other, err := ticket.Parse("u", append(text, ' '))
	require.NoError(t, err)
	_, merge = next.With(other)
	require.EqualError(t, ticket.CheckNumber("u", other, next, merge), "u:2:1: number 1 was filed before with another body")
}

func TestDiff(t *testing.T) {
	parse := func(body string) fleet.Ticket {
		parsed, err := ticket.Parse("t", []byte(`{"number": 1, "organisations": [`+body+`]}`))
		require.NoError(t, err)
		return parsed
	}
	lines := ticket.Diff(parse(`{"name": "a"}, {"name": "b", "share": 0.1}`), parse(`{"name": "b", "share": 0.2}, {"name": "c"}`))
	require.Equal(t, []string{
		"only in the first:  organisation/a",
		"- organisation/b {Name:b Share:0.1 KeyDigest: Deadline:0ms}",
		"+ organisation/b {Name:b Share:0.2 KeyDigest: Deadline:0ms}",
		"only in the second: organisation/c",
	}, lines)
}

// No text makes the codec panic, and what it accepts it accepts again.
func FuzzTicket(f *testing.F) {
	for _, pattern := range []string{"testdata/bad/*.jsonc", "../../../examples/*/tickets/*.jsonc"} {
		files, err := filepath.Glob(pattern)
		require.NoError(f, err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(f, err)
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		first, err := ticket.Parse("fuzz", text)
		if err != nil {
			var faults strict.FileErrors
			require.ErrorAs(t, err, &faults)
			return
		}
		second, err := ticket.Parse("fuzz", text)
		require.NoError(t, err)
		require.Equal(t, first, second)
	})
}
