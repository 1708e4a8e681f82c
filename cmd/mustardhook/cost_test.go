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
	// warmUpTime is the time between the start of the entries and a measurement.
	warmUpTime = 8 * time.Second
	// measureTime is the duration of a measurement.
	measureTime = 10 * time.Second
)

type (
	// stubEngine is an engine without computation, so that only the cost of the entry
	// is measured. gap is the time between two tokens.
	stubEngine struct {
		gap time.Duration
	}

	// loadSpec is the size of the cluster and the load of a cost measurement. An
	// interval of zero means no tickets or bookings.
	loadSpec struct {
		entries         int
		endpoints       int
		organisations   int
		ticketInterval  time.Duration
		bookingInterval time.Duration
	}
)

// ServeHTTP serves reports and generates tokens.
func (s stubEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case engine.PathReport:
		_, _ = w.Write(engine.EncodeReport(event.Report{
			FreeTokens: 1 << 30, TotalTokens: 1 << 30, PrefillRate: 1 << 30, Boot: 1,
			Models: []event.Loaded{{Model: stack.ModelName, Version: "1"}},
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
	request, err := engine.DecodeGenerate(body)
	if err != nil {
		return
	}
	control := http.NewResponseController(w)
	for i := request.ResumeAfter; i < request.MaxTokens; i++ {
		if i > 0 {
			time.Sleep(s.gap)
		}
		_, _ = w.Write(engine.EncodeChunk(engine.Chunk{Attempt: request.Attempt, Index: i, Text: "token "}))
		_ = control.Flush()
	}
	_, _ = w.Write(engine.EncodeChunk(engine.Chunk{Attempt: request.Attempt, End: true, Tokens: request.MaxTokens}))
}

// startCostCluster starts a platform, a service and entries. All engine endpoints have the
// address of one stub engine.
func startCostCluster(t *processCluster, l loadSpec, gap time.Duration) {
	t.ticketFolder = filepath.Join(t.folder, "tickets")
	require.NoError(t.t, os.Mkdir(t.ticketFolder, 0o755))
	engines, err := host.Start("", stubEngine{gap: gap})
	require.NoError(t.t, err)
	t.t.Cleanup(engines.Close)
	addresses, err := ports.Allocate(2 + 3*l.entries)
	require.NoError(t.t, err)
	t.platformAddress, t.serviceAddress = addresses[0], addresses[1]
	t.start("standin", "service", "--listen", t.serviceAddress)
	t.publishTicket(costTicket(l, engines.Address(), t.serviceAddress))
	for from := 0; from < l.organisations; from += 2000 {
		t.publishTicket(organisations(from, min(from+2000, l.organisations)))
	}
	var rows []string
	for i := range l.entries {
		ports := addresses[2+3*i : 5+3*i]
		t.callerAddresses, t.peerAddresses, t.operatorAddresses = append(t.callerAddresses, ports[0]),
			append(t.peerAddresses, ports[1]), append(t.operatorAddresses, ports[2])
		rows = append(rows, fmt.Sprintf("entry-%d@d%d@%s", i, i%3, ports[1]))
	}
	t.platform = t.start("standin", "platform", "--listen", t.platformAddress, "--tickets", t.ticketFolder, "--entry", strings.Join(rows, ","))
	for i := range l.entries {
		t.entries = append(t.entries, t.startEntry(i))
	}
	time.Sleep(warmUpTime)
}

func costTicket(l loadSpec, engines, service string) string {
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

// peerCounters returns the numbers of messages and bytes that an entry has exchanged with
// its peers.
func (f *processCluster) peerCounters(i int) (messages, size float64) {
	response, err := http.Get("http://" + f.operatorAddresses[i] + admin.PathMetrics)
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	count := func(name string) float64 { return float64(admin.Counter(text, name)) }
	return count("peers.messagesOut") + count("peers.messagesIn"), count("peers.bytesOut") + count("peers.bytesIn")
}

// BenchmarkControl measures the cost of the control plane per entry, by the number of
// entries, endpoints and organisations and by the rate of tickets and bookings.
func BenchmarkControl(b *testing.B) {
	sizes := []loadSpec{
		{entries: 5}, {entries: 10}, {entries: 20}, {entries: 40},
		{entries: 10, endpoints: 100}, {entries: 10, endpoints: 600},
		{entries: 10, organisations: 2000}, {entries: 10, organisations: 20_000},
		{entries: 10, ticketInterval: time.Second}, {entries: 10, ticketInterval: 200 * time.Millisecond},
		{entries: 10, bookingInterval: 100 * time.Millisecond}, {entries: 10, bookingInterval: 20 * time.Millisecond},
	}
	for _, l := range sizes {
		name := fmt.Sprintf("entries=%d/endpoints=%d/organisations=%d/tickets=%v/bookings=%v",
			l.entries, l.endpoints, l.organisations, l.ticketInterval, l.bookingInterval)
		b.Run(name, func(b *testing.B) {
			f := newEmptyCluster(b)
			startCostCluster(f, l, 0)
			f.measure(b, l)
		})
	}
}

// measure reports the median over all entries of processor time, memory and traffic
// with peers.
func (f *processCluster) measure(b *testing.B, l loadSpec) {
	var cpu, resident, messages, size []float64
	before := make([][3]float64, l.entries)
	for i := range l.entries {
		usage, err := bench.ReadUsage(f.entries[i].command.Process.Pid)
		require.NoError(b, err)
		before[i][0] = usage.CPUSeconds
		before[i][1], before[i][2] = f.peerCounters(i)
	}
	start := time.Now()
	f.generateLoad(l)
	elapsed := time.Since(start).Seconds()
	for i := range l.entries {
		usage, err := bench.ReadUsage(f.entries[i].command.Process.Pid)
		require.NoError(b, err)
		sent, bytes := f.peerCounters(i)
		cpu = append(cpu, 100*(usage.CPUSeconds-before[i][0])/elapsed)
		resident = append(resident, float64(usage.ResidentBytes)/1e6)
		messages = append(messages, (sent-before[i][1])/elapsed)
		size = append(size, (bytes-before[i][2])/elapsed/1e3)
	}
	b.ReportMetric(median(cpu), "%core")
	b.ReportMetric(median(resident), "MB")
	b.ReportMetric(median(messages), "messages/s")
	b.ReportMetric(median(size), "KB/s")
	b.ReportMetric(0, "ns/op")
}

// generateLoad publishes tickets and makes bookings for measureTime.
func (f *processCluster) generateLoad(l loadSpec) {
	deadline := time.Now().Add(measureTime)
	var group sync.WaitGroup
	if l.ticketInterval > 0 {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Now().Before(deadline) {
				f.publishTicket(`"organisations": [{"name": "crew", "share": 0.5}]`)
				time.Sleep(l.ticketInterval)
			}
		}()
	}
	for i := 0; l.bookingInterval > 0 && time.Now().Before(deadline); i++ {
		group.Add(1)
		go func() {
			defer group.Done()
			_, _ = f.book(i%l.entries, fmt.Sprintf("key-%d", i))
		}()
		time.Sleep(l.bookingInterval)
	}
	time.Sleep(time.Until(deadline))
	group.Wait()
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// BenchmarkAddedFirstByte measures the time that an entry adds to the time to first byte.
// It sends 200 requests per second each through an entry and directly to a stub engine.
func BenchmarkAddedFirstByte(b *testing.B) {
	f := newEmptyCluster(b)
	startCostCluster(f, loadSpec{entries: 1}, 0)
	directEngine, err := host.Start("", stubEngine{})
	require.NoError(b, err)
	defer directEngine.Close()
	const requests, gap = 4000, 5 * time.Millisecond
	entryBody := []byte(`{"model": "advice", "prompt": "` + strings.Repeat("word ", 800) + `", "max_tokens": 2, "stream": true}`)
	directBody := engine.EncodeGenerate(engine.GenerateRequest{Attempt: "a", Model: "advice", Prompt: strings.Repeat("word ", 800), MaxTokens: 2})
	var throughEntry, direct []float64
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range requests {
		group.Add(1)
		go func() {
			defer group.Done()
			url, body := "http://"+f.callerAddresses[0]+"/v1/completions", entryBody
			if i%2 == 0 {
				url, body = "http://"+directEngine.Address()+engine.PathGenerate, directBody
			}
			elapsed := firstByte(url, body)
			mutex.Lock()
			defer mutex.Unlock()
			if i%2 == 0 {
				direct = append(direct, elapsed)
				return
			}
			throughEntry = append(throughEntry, elapsed)
		}()
		time.Sleep(gap / 2)
	}
	group.Wait()
	slices.Sort(throughEntry)
	slices.Sort(direct)
	b.ReportMetric(throughEntry[len(throughEntry)/2]-direct[len(direct)/2], "added-p50-ms")
	b.ReportMetric(throughEntry[len(throughEntry)*99/100]-direct[len(direct)*99/100], "added-p99-ms")
	b.ReportMetric(direct[len(direct)/2], "straight-p50-ms")
	b.ReportMetric(0, "ns/op")
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxConnsPerHost: 0}}

// firstByte returns the time to the first byte of the response body in milliseconds, or
// zero if there is no response.
func firstByte(url string, body []byte) float64 {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Mustardhook-Organisation", stack.OrganisationName)
	start := time.Now()
	response, err := benchClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	_, _ = reader.ReadByte()
	elapsed := time.Since(start)
	_, _ = io.Copy(io.Discard, reader)
	return float64(elapsed.Microseconds()) / 1e3
}

// BenchmarkRelay streams 20,000 tokens per second over 2,000 streams through one entry
// and measures the processor time and memory of the entry.
func BenchmarkRelay(b *testing.B) {
	f := newEmptyCluster(b)
	startCostCluster(f, loadSpec{entries: 1, endpoints: 8}, 100*time.Millisecond)
	pid := f.entries[0].command.Process.Pid
	beforeIdle, err := bench.ReadUsage(pid)
	require.NoError(b, err)
	time.Sleep(measureTime)
	afterIdle, err := bench.ReadUsage(pid)
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
			firstByte("http://"+f.callerAddresses[0]+"/v1/completions", body)
		}()
	}
	time.Sleep(4 * time.Second)
	before, err := bench.ReadUsage(pid)
	require.NoError(b, err)
	start := time.Now()
	time.Sleep(8 * time.Second)
	after, err := bench.ReadUsage(pid)
	require.NoError(b, err)
	elapsed := time.Since(start).Seconds()
	group.Wait()
	b.ReportMetric(100*(afterIdle.CPUSeconds-beforeIdle.CPUSeconds)/measureTime.Seconds(), "idle-%core")
	b.ReportMetric(float64(afterIdle.ResidentBytes)/1e6, "idle-MB")
	b.ReportMetric(100*(after.CPUSeconds-before.CPUSeconds)/elapsed, "%core")
	b.ReportMetric(float64(after.ResidentBytes-afterIdle.ResidentBytes)/streams/1024, "KiB/stream")
	b.ReportMetric(0, "ns/op")
}
