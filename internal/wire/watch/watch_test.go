package watch_test

import (
	"net/url"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/event"
	"mustardhook/internal/wire/watch"
)

// pageOf returns a page with the records of entries of which each has its revision as its name.
func pageOf(t *testing.T, era uint64, more bool, revisions ...uint64) watch.Page {
	page := watch.Page{Era: era, More: more}
	for _, revision := range revisions {
		name := strconv.FormatUint(revision, 10)
		text, err := watch.EncodeInstance(event.Instance{Name: name, IsEntry: true})
		require.NoError(t, err)
		page.Values = append(page.Values, watch.Value{Key: watch.InstancePrefix + name, Revision: revision, Text: text})
		page.Revision = revision
	}
	return page
}

// lists returns the names of the instances of each list among the events, after "anew" if the list was
// read from the start.
func lists(events []event.Event) [][]string {
	var found [][]string
	for _, read := range events {
		list, ok := read.(event.InstancesRead)
		if !ok {
			continue
		}
		names := []string{}
		if list.Anew {
			names = append(names, "anew")
		}
		for _, instance := range list.Instances {
			names = append(names, instance.Name)
		}
		found = append(found, names)
	}
	return found
}

// Guards against the first page of a list that counts as the whole, so that the entries on the others count
// as gone.
func TestListIsAppliedOnceItIsWhole(t *testing.T) {
	reader := watch.NewReader()
	require.Empty(t, lists(reader.Events(action.WatchPlatform{}, pageOf(t, 1, true, 1, 2))))
	second := reader.Events(action.WatchPlatform{Era: 1, AfterRevision: 2}, pageOf(t, 1, false, 3))
	require.Equal(t, [][]string{{"anew", "1", "2", "3"}}, lists(second))
	third := reader.Events(action.WatchPlatform{Era: 1, AfterRevision: 3}, pageOf(t, 1, false, 4))
	require.Equal(t, [][]string{{"1", "2", "3", "4"}}, lists(third))

	// The platform comes back in the middle of a read from the start.
	require.Empty(t, lists(reader.Events(action.WatchPlatform{Era: 2}, pageOf(t, 2, true, 1))))
	broken := reader.Events(action.WatchPlatform{Era: 2, AfterRevision: 1}, pageOf(t, 3, false, 5))
	require.Equal(t, []event.Event{event.HistoryChanged{Era: 3, Revision: 5}}, broken)
	last := reader.Events(action.WatchPlatform{Era: 3}, pageOf(t, 3, false, 6))
	require.Equal(t, [][]string{{"anew", "6"}}, lists(last))
}

// Guards against a page that is used although it doesn't go on from what was read, and against one that is
// dropped although it does.
func TestPagesThatContinue(t *testing.T) {
	for _, row := range []struct {
		name          string
		era, after    uint64
		page          watch.Page
		wantContinued bool
	}{
		{"newer", 1, 5, watch.Page{Era: 1, Revision: 6}, true},
		{"nothing new", 1, 5, watch.Page{Era: 1, Revision: 5}, true},
		{"revision below", 1, 5, watch.Page{Era: 1, Revision: 4}, false},
		{"later era", 1, 5, watch.Page{Era: 2, Revision: 9}, false},
		{"earlier era", 2, 5, watch.Page{Era: 1, Revision: 9}, false},
		{"no era any more", 2, 5, watch.Page{Revision: 9}, false},
		{"never an era", 0, 5, watch.Page{Revision: 9}, true},
		{"from the start", 1, 0, watch.Page{Era: 2, Revision: 9}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			events := watch.NewReader().Events(action.WatchPlatform{Era: row.era, AfterRevision: row.after}, row.page)
			_, isChanged := events[0].(event.HistoryChanged)
			require.Equal(t, row.wantContinued, !isChanged)
		})
	}
}

// Guards against an era that is lost on the way, and against a poll of an older entry that is taken for one
// of era 0, which a platform in another era would answer from the start each time.
func TestErasOnTheWire(t *testing.T) {
	text, err := watch.EncodePage(watch.Page{Era: 3, Revision: 7})
	require.NoError(t, err)
	page, err := watch.DecodePage(text)
	require.NoError(t, err)
	require.Equal(t, watch.Page{Era: 3, Revision: 7}, page)
	page, err = watch.DecodePage([]byte(`{"revision": 7, "values": []}`))
	require.NoError(t, err)
	require.Equal(t, watch.Page{Revision: 7}, page)

	sent := watch.Poll{Era: 3, After: 7, Wait: 20, NamesEra: true}
	query, err := url.ParseQuery(watch.Query(sent))
	require.NoError(t, err)
	require.Equal(t, sent, watch.ParseQuery(query))
	query, err = url.ParseQuery("after=7&waitMillis=20")
	require.NoError(t, err)
	require.Equal(t, watch.Poll{After: 7, Wait: 20}, watch.ParseQuery(query))
}
