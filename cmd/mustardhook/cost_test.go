package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/event"
	"mustardhook/internal/fake/host"
	"mustardhook/internal/fake/ports"
	"mustardhook/internal/fake/stack"
	"mustardhook/internal/tool/bench"
	"mustardhook/internal/wire/admin"
	"mustardhook/internal/wire/engine"
)

const (
	settleTime  = 8 * time.Second
	measureTime = 10 * time.Second
)

type (
	// stub is an engine that answers at once, so that only the entry's own time
	// is measured.
	stub struct {
		gap time.Duration
	}

	// workSize is what the entries of a cost measurement have to do.
	workSize struct {
		entries       int
		endpoints     int
		organisations int
		ticketsEach   time.Duration
		bookingsEach  time.Duration
	}
)

// ServeHTTP generates tokens, one at a time after the gap.
func (s stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case engine.PathReport:
		_, _ = w.Write(engine.EncodeReport(event.Report{
			FreeTokens: 1 << 30, TotalTokens: 1 << 30, PrefillRate: 1 << 30, Boot: 1,
			Models: []event.Loaded{{Model: stack.Model, Version: "1"}},
		}))
		return
	case engine.PathGenerate:
	default:
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	asked, err := engine.DecodeGenerate(body)
	if err != nil {
		return
	}
	control := http.NewResponseController(w)
	for i := asked.ResumeAfter; i < asked.MaxTokens; i++ {
		if i > 0 {
			time.Sleep(s.gap)
		}
		_, _ = w.Write(engine.EncodeChunk(engine.Chunk{Attempt: asked.Attempt, Index: i, Text: "token "}))
		_ = control.Flush()
	}
	_, _ = w.Write(engine.EncodeChunk(engine.Chunk{Attempt: asked.Attempt, End: true, Tokens: asked.MaxTokens}))
}

// newCostFleet starts a platform and entries whose endpoints are one stub.
func newCostFleet(t *fleetOf, l workSize, gap time.Duration) {
	t.tickets = filepath.Join(t.folder, "tickets")
	require.NoError(t.t, os.Mkdir(t.tickets, 0o755))
	engines, err := host.Start("", stub{gap: gap})
	require.NoError(t.t, err)
	t.t.Cleanup(engines.Close)
	addresses, err := ports.Free(2 + 3*l.entries)
	require.NoError(t.t, err)
	t.address, t.services = addresses[0], addresses[1]
	t.start("standin", "service", "--listen", t.services)
	t.file(costTicket(l, engines.Address(), t.services))
	for from := 0; from < l.organisations; from += 2000 {
		t.file(organisations(from, min(from+2000, l.organisations)))
	}
	var rows []string
	for i := range l.entries {
		ports := addresses[2+3*i : 5+3*i]
		t.callers, t.peers, t.admins = append(t.callers, ports[0]), append(t.peers, ports[1]), append(t.admins, ports[2])
		rows = append(rows, fmt.Sprintf("entry-%d@d%d@%s", i, i%3, ports[1]))
	}
	t.platform = t.start("standin", "platform", "--listen", t.address, "--tickets", t.tickets, "--entry", strings.Join(rows, ","))
	for i := range l.entries {
		t.entries = append(t.entries, t.startEntry(i))
	}
	time.Sleep(settleTime)
}

func costTicket(l workSize, engines, service string) string {
	var endpoints, names []string
	for i := range max(l.endpoints, 1) {
		endpoints = append(endpoints, fmt.Sprintf(`{"name": "engine-%d", "failureDomain": "d%d", "address": %q}`, i, i%3, engines))
		names = append(names, fmt.Sprintf(`"engine-%d"`, i))
	}
	for i := range 3 {
		endpoints = append(endpoints, fmt.Sprintf(
			`{"name": "desk-%d", "failureDomain": "d%d", "address": %q, "service": "booking"}`, i, i, service))
	}
	return `"failureDomains": [{"name": "d0", "region": "r"}, {"name": "d1", "region": "r"}, {"name": "d2", "region": "r"}],
  "services": [{"name": "booking", "retentionMillis": 600000}],
  "endpoints": [` + strings.Join(endpoints, ", ") + `],
  "models": [{"name": "advice", "version": "1", "endpoints": [` + strings.Join(names, ", ") + `]}],
  "organisations": [{"name": "crew", "share": 0.5}]`
}

func organisations(from, to int) string {
	var rows []string
	for i := from; i < to; i++ {
		rows = append(rows, fmt.Sprintf(`{"name": "org-%05d", "share": 0.00001}`, i))
	}
	return `"organisations": [` + strings.Join(rows, ", ") + `]`
}

// counters reads the peers' counters of an entry.
func (f *fleetOf) counters(i int) (messages, size float64) {
	response, err := http.Get("http://" + f.admins[i] + admin.PathMetrics)
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	count := func(name string) float64 { return float64(admin.Counter(text, name)) }
	return count("peers.messagesOut") + count("peers.messagesIn"), count("peers.bytesOut") + count("peers.bytesIn")
}

// BenchmarkControl measures what control costs each entry, by the number of
// entries, endpoints and organisations, and by tickets and bookings a second.
func BenchmarkControl(b *testing.B) {
	sizes := []workSize{
		{entries: 5}, {entries: 10}, {entries: 20}, {entries: 40},
		{entries: 10, endpoints: 100}, {entries: 10, endpoints: 600},
		{entries: 10, organisations: 2000}, {entries: 10, organisations: 20_000},
		{entries: 10, ticketsEach: time.Second}, {entries: 10, ticketsEach: 200 * time.Millisecond},
		{entries: 10, bookingsEach: 100 * time.Millisecond}, {entries: 10, bookingsEach: 20 * time.Millisecond},
	}
	for _, l := range sizes {
		name := fmt.Sprintf("entries=%d/endpoints=%d/organisations=%d/tickets=%v/bookings=%v",
			l.entries, l.endpoints, l.organisations, l.ticketsEach, l.bookingsEach)
		b.Run(name, func(b *testing.B) {
			f := newEmptyFleet(b)
			newCostFleet(f, l, 0)
			f.measure(b, l)
		})
	}
}

func (f *fleetOf) measure(b *testing.B, l workSize) {
	var cpu, resident, messages, size []float64
	before := make([][3]float64, l.entries)
	for i := range l.entries {
		usage, err := bench.ReadUsage(f.entries[i].command.Process.Pid)
		require.NoError(b, err)
		before[i][0] = usage.Seconds
		before[i][1], before[i][2] = f.counters(i)
	}
	began := time.Now()
	f.work(l)
	took := time.Since(began).Seconds()
	for i := range l.entries {
		usage, err := bench.ReadUsage(f.entries[i].command.Process.Pid)
		require.NoError(b, err)
		sent, bytes := f.counters(i)
		cpu = append(cpu, 100*(usage.Seconds-before[i][0])/took)
		resident = append(resident, float64(usage.Resident)/1e6)
		messages = append(messages, (sent-before[i][1])/took)
		size = append(size, (bytes-before[i][2])/took/1e3)
	}
	b.ReportMetric(median(cpu), "%core")
	b.ReportMetric(median(resident), "MB")
	b.ReportMetric(median(messages), "messages/s")
	b.ReportMetric(median(size), "KB/s")
	b.ReportMetric(0, "ns/op")
}

// work files tickets and makes bookings for the time of the measurement.
func (f *fleetOf) work(l workSize) {
	until := time.Now().Add(measureTime)
	var group sync.WaitGroup
	if l.ticketsEach > 0 {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Now().Before(until) {
				f.file(`"organisations": [{"name": "crew", "share": 0.5}]`)
				time.Sleep(l.ticketsEach)
			}
		}()
	}
	for i := 0; l.bookingsEach > 0 && time.Now().Before(until); i++ {
		group.Add(1)
		go func() {
			defer group.Done()
			_, _ = f.book(i%l.entries, fmt.Sprintf("key-%d", i))
		}()
		time.Sleep(l.bookingsEach)
	}
	time.Sleep(time.Until(until))
	group.Wait()
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// BenchmarkAddedFirstByte measures the time to first byte through an entry and
// straight at the stub, at 200 requests a second.
func BenchmarkAddedFirstByte(b *testing.B) {
	f := newEmptyFleet(b)
	newCostFleet(f, workSize{entries: 1}, 0)
	straight, err := host.Start("", stub{})
	require.NoError(b, err)
	defer straight.Close()
	const requests, gap = 4000, 5 * time.Millisecond
	viaBody := []byte(`{"model": "advice", "prompt": "` + strings.Repeat("word ", 800) + `", "max_tokens": 2, "stream": true}`)
	ownBody := engine.EncodeGenerate(engine.GenerateRequest{Attempt: "a", Model: "advice", Prompt: strings.Repeat("word ", 800), MaxTokens: 2})
	var via, own []float64
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range requests {
		group.Add(1)
		go func() {
			defer group.Done()
			url, body := "http://"+f.callers[0]+"/v1/completions", viaBody
			if i%2 == 0 {
				url, body = "http://"+straight.Address()+engine.PathGenerate, ownBody
			}
			took := firstByte(url, body)
			mutex.Lock()
			defer mutex.Unlock()
			if i%2 == 0 {
				own = append(own, took)
				return
			}
			via = append(via, took)
		}()
		time.Sleep(gap / 2)
	}
	group.Wait()
	slices.Sort(via)
	slices.Sort(own)
	b.ReportMetric(via[len(via)/2]-own[len(own)/2], "added-p50-ms")
	b.ReportMetric(via[len(via)*99/100]-own[len(own)*99/100], "added-p99-ms")
	b.ReportMetric(own[len(own)/2], "straight-p50-ms")
	b.ReportMetric(0, "ns/op")
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxConnsPerHost: 0}}

// firstByte returns the time to the first byte of the answer's body in
// milliseconds.
func firstByte(url string, body []byte) float64 {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Mustardhook-Organisation", stack.Organisation)
	began := time.Now()
	response, err := benchClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	_, _ = reader.ReadByte()
	took := time.Since(began)
	_, _ = io.Copy(io.Discard, reader)
	return float64(took.Microseconds()) / 1e3
}

// BenchmarkRelay streams 20,000 tokens a second over 2,000 streams through one
// entry, and measures the entry's processor time and memory.
func BenchmarkRelay(b *testing.B) {
	f := newEmptyFleet(b)
	newCostFleet(f, workSize{entries: 1, endpoints: 8}, 100*time.Millisecond)
	pid := f.entries[0].command.Process.Pid
	idle, err := bench.ReadUsage(pid)
	require.NoError(b, err)
	time.Sleep(measureTime)
	rested, err := bench.ReadUsage(pid)
	require.NoError(b, err)
	const streams, tokens = 2000, 150
	body := []byte(fmt.Sprintf(`{"model": "advice", "prompt": "%s", "max_tokens": %d, "stream": true}`,
		strings.Repeat("word ", 800), tokens))
	var group sync.WaitGroup
	for i := range streams {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Duration(i) * time.Millisecond)
			firstByte("http://"+f.callers[0]+"/v1/completions", body)
		}()
	}
	time.Sleep(4 * time.Second)
	before, err := bench.ReadUsage(pid)
	require.NoError(b, err)
	began := time.Now()
	time.Sleep(8 * time.Second)
	after, err := bench.ReadUsage(pid)
	require.NoError(b, err)
	took := time.Since(began).Seconds()
	group.Wait()
	b.ReportMetric(100*(rested.Seconds-idle.Seconds)/measureTime.Seconds(), "idle-%core")
	b.ReportMetric(float64(rested.Resident)/1e6, "idle-MB")
	b.ReportMetric(100*(after.Seconds-before.Seconds)/took, "%core")
	b.ReportMetric(float64(after.Resident-rested.Resident)/streams/1024, "KiB/stream")
	b.ReportMetric(0, "ns/op")
}
