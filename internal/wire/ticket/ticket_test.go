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

// Each invalid ticket in testdata/bad must fail with the errors of its golden file.
func TestBadTickets(t *testing.T) {
	cases.AssertRejected(t, "testdata/bad", ".jsonc", func(t *testing.T, name string, text []byte) error {
		_, err := ticket.Parse(name, text)
		var fileErrors strict.FileErrors
		require.ErrorAs(t, err, &fileErrors)
		return err
	})
}

// A ticket over the size limit must fail before its text is parsed.
func TestTooLargeTicket(t *testing.T) {
	text := append([]byte(`{"number": 1, "comment": "`), bytes.Repeat([]byte("x"), 2<<20)...)
	_, err := ticket.Parse("large", append(text, `"}`...))
	require.EqualError(t, err, "large:1:1: the file has 2097180 bytes, the limit is 1048576")
}

// The tickets of the example deployments must parse, be accepted in their order, and
// reference only objects that exist.
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

// Errors about references and numbers must carry their position in the file.
func TestLocateErrors(t *testing.T) {
	text := []byte("{\n\"number\": 1,\n\"endpoints\": [{\"name\": \"e\", \"failureDomain\": \"nowhere\", \"address\": \"10.0.0.1:1\"}]}")
	parsed, err := ticket.Parse("t", text)
	require.NoError(t, err)
	next, merge := fleet.NewState().With(parsed)
	located := ticket.LocateErrors("t", parsed, next.CheckTicket(parsed))
	require.Len(t, located, 1)
	require.EqualError(t, located[0], "t:3:46: endpoint/e: failureDomain names domain/nowhere, which is not declared")
	require.NoError(t, ticket.CheckNumber("t", parsed, fleet.NewState(), merge))
	other, err := ticket.Parse("u", append(text, ' '))
	require.NoError(t, err)
	_, merge = next.With(other)
	require.EqualError(t, ticket.CheckNumber("u", other, next, merge), "u:2:1: number 1 was filed before with another body")
}

// Diff must show added, removed and changed objects, and nothing for equal ones.
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

// No text may make the parser panic: it returns strict.FileErrors, or a ticket. Parsing the
// same text twice must give equal tickets.
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
			var fileErrors strict.FileErrors
			require.ErrorAs(t, err, &fileErrors)
			return
		}
		second, err := ticket.Parse("fuzz", text)
		require.NoError(t, err)
		require.Equal(t, first, second)
	})
}
