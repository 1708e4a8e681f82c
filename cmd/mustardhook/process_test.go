package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/fake/engine"
	"mustardhook/internal/fake/ports"
	"mustardhook/internal/fake/stack"
	"mustardhook/internal/tool/client"
	"mustardhook/internal/tool/demo"
	"mustardhook/internal/wire/admin"
)

const (
	processEntries = 6
	forceLimit     = 11 * time.Second
	leavingLimit   = 3 * time.Second
	pollSpan       = 50 * time.Millisecond
)

type (
	// process is one real process of the test's fleet.
	process struct {
		command *exec.Cmd
		stderr  *bytes.Buffer
		done    chan error
	}

	// fleetOf is a fleet of real processes on loopback.
	fleetOf struct {
		t        testing.TB
		folder   string
		tickets  string
		platform *process
		address  string
		services string
		engines  []string
		entries  []*process
		callers  []string
		peers    []string
		admins   []string
		client   *client.Client
		number   int
	}
)

var buildOnce = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "mustardhook")
	if err != nil {
		return "", err
	}
	text, err := exec.Command("go", "build", "-o", folder+"/", "../mustardhook", "../standin").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, text)
	}
	return folder, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if folder, err := buildOnce(); err == nil {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

func (f *fleetOf) start(name string, arguments ...string) *process {
	folder, err := buildOnce()
	require.NoError(f.t, err)
	p := &process{command: exec.Command(filepath.Join(folder, name), arguments...), stderr: &bytes.Buffer{}}
	p.command.Stderr = p.stderr
	require.NoError(f.t, p.command.Start())
	p.done = make(chan error, 1)
	go func() { p.done <- p.command.Wait() }()
	f.t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		if !f.t.Failed() {
			return
		}
		select {
		case err := <-p.done:
			f.t.Logf("%s %v ended with %v and wrote: %s", name, arguments, err, p.stderr)
		case <-time.After(time.Second):
			// The test itself has waited for the end of the process.
			f.t.Logf("%s %v wrote: %s", name, arguments, p.stderr)
		}
	})
	return p
}

func (p *process) signal(t testing.TB, signal syscall.Signal) {
	require.NoError(t, p.command.Process.Signal(signal))
}

func newEmptyFleet(t testing.TB) *fleetOf {
	return &fleetOf{t: t, folder: t.TempDir(), client: client.New(stack.Organisation)}
}

// kill ends the process at once and waits until it is gone.
func (p *process) kill(t testing.TB) {
	p.signal(t, syscall.SIGKILL)
	require.Error(t, <-p.done)
}

// newFleet starts a platform, three engines, a service and six entries in three
// failure domains.
func newFleet(t *testing.T) *fleetOf {
	f := newEmptyFleet(t)
	f.tickets = filepath.Join(f.folder, "tickets")
	require.NoError(t, os.Mkdir(f.tickets, 0o755))
	addresses, err := ports.Free(5 + 3*processEntries)
	require.NoError(t, err)
	f.address, f.services, f.engines = addresses[0], addresses[1], addresses[2:5]
	f.file(f.first())
	for _, address := range f.engines {
		f.start("standin", "engine", "--listen", address, "--model", "advice", "--rate", "50000")
	}
	f.start("standin", "service", "--listen", f.services)
	var rows []string
	for i := range processEntries {
		ports := addresses[5+3*i : 8+3*i]
		f.callers = append(f.callers, ports[0])
		f.peers = append(f.peers, ports[1])
		f.admins = append(f.admins, ports[2])
		rows = append(rows, fmt.Sprintf("entry-%d@d%d@%s", i, i%3, ports[1]))
	}
	f.platform = f.start("standin", "platform", "--listen", f.address, "--tickets", f.tickets,
		"--entry", strings.Join(rows, ","))
	for i := range processEntries {
		f.entries = append(f.entries, f.startEntry(i))
	}
	f.await(15*time.Second, "entries are synced", func() bool {
		for i := range processEntries {
			if status, err := f.status(i); err != nil || !status.Synced || status.HighestTicket < 1 {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fleetOf) startEntry(i int) *process {
	file := filepath.Join(f.folder, fmt.Sprintf("entry-%d.jsonc", i))
	text := fmt.Sprintf(`{
  "entry": "entry-%d", "failureDomain": "d%d", "platform": %q, "logLevel": "warn",
  "callers": {"listen": %q}, "peers": {"listen": %q, "key": "a shared key of the peers"}, "operators": {"listen": %q}
}`, i, i%3, f.address, f.callers[i], f.peers[i], f.admins[i])
	require.NoError(f.t, os.WriteFile(file, []byte(text), 0o600))
	return f.start("mustardhook", "serve", "--settings", file)
}

func (f *fleetOf) first() string {
	var endpoints, names []string
	for i, address := range f.engines {
		endpoints = append(endpoints, fmt.Sprintf(`{"name": "engine-%d", "failureDomain": "d%d", "address": %q}`, i, i, address))
		names = append(names, fmt.Sprintf(`"engine-%d"`, i))
	}
	endpoints = append(endpoints, fmt.Sprintf(
		`{"name": "desk", "failureDomain": "d0", "address": %q, "service": "booking"}`, f.services))
	return `"failureDomains": [{"name": "d0", "region": "r"}, {"name": "d1", "region": "r"}, {"name": "d2", "region": "r"}],
  "services": [{"name": "booking", "retentionMillis": 600000}],
  "endpoints": [` + strings.Join(endpoints, ", ") + `],
  "models": [{"name": "advice", "version": "1", "endpoints": [` + strings.Join(names, ", ") + `]}],
  "organisations": [{"name": "crew", "share": 0.5}]`
}

// file publishes a ticket by a rename, so that no reader sees half of it.
func (f *fleetOf) file(body string) int {
	f.number++
	text := fmt.Sprintf("{\"number\": %d, %s}", f.number, body)
	name := filepath.Join(f.tickets, fmt.Sprintf("%06d", f.number))
	require.NoError(f.t, os.WriteFile(name+".part", []byte(text), 0o600))
	require.NoError(f.t, os.Rename(name+".part", name+".jsonc"))
	return f.number
}

func (f *fleetOf) status(i int) (admin.Status, error) {
	response, err := http.Get("http://" + f.admins[i] + admin.PathStatus)
	if err != nil {
		return admin.Status{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return admin.Status{}, err
	}
	return admin.DecodeStatus(text)
}

func (f *fleetOf) await(limit time.Duration, what string, holds func() bool) {
	f.t.Helper()
	until := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(until) {
			require.Fail(f.t, what, "not within %v", limit)
		}
		time.Sleep(pollSpan)
	}
}

func (f *fleetOf) prompt(entry, tokens, answer int, word string) (client.Answer, string) {
	text := word + " " + demo.PromptOf(tokens, word)
	got, err := f.client.Complete(context.Background(), "http://"+f.callers[entry]+"/v1/completions",
		client.Prompt{Model: "advice", Text: text, MaxTokens: answer})
	if err != nil {
		got.Problem = err.Error()
	}
	return got, text
}

func isExact(got client.Answer, text string, count int) bool {
	for i, token := range got.Tokens {
		if token != engine.TokenText(text, i) {
			return false
		}
	}
	return got.Completed && len(got.Tokens) == count
}

func (f *fleetOf) book(entry int, key string) (client.Reply, error) {
	return f.client.Do(context.Background(), "http://"+f.callers[entry],
		client.Call{Method: "POST", Path: "/services/booking/book", Key: key, Body: key, Deadline: 5000})
}

// runs asks the service how often each key ran.
func (f *fleetOf) runs() map[string]int {
	response, err := http.Get("http://" + f.services + "/fake/runs")
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	all := map[string]int{}
	require.NoError(f.t, json.NewDecoder(response.Body).Decode(&all))
	return all
}

func (f *fleetOf) awaitViews() {
	f.await(20*time.Second, "bookings run", func() bool {
		reply, err := f.book(0, "probe")
		return err == nil && reply.Outcome == "done"
	})
}

// Bookings run at most once, and what callers are told is true, while entries
// are killed, paused and replaced.
func TestProcessBookings(t *testing.T) {
	f := newFleet(t)
	f.awaitViews()
	var group sync.WaitGroup
	var mutex sync.Mutex
	told := map[string][]string{}
	counts := map[string]int{}
	const bookings, lanes = 40, 4
	for lane := range lanes {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range bookings {
				key := fmt.Sprintf("job-%d-%d", lane, i)
				// Each booking is sent twice, through two entries.
				for _, entry := range []int{(i + lane) % processEntries, (i + lane + 1) % processEntries} {
					reply, err := f.book(entry, key)
					mutex.Lock()
					counts[reply.Outcome]++
					if err == nil {
						told[key] = append(told[key], reply.Outcome)
					}
					mutex.Unlock()
				}
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	f.entries[1].signal(t, syscall.SIGSTOP)
	f.entries[2].kill(t)
	time.Sleep(1 * time.Second)
	f.entries[2] = f.startEntry(2)
	time.Sleep(2 * time.Second)
	f.entries[1].signal(t, syscall.SIGCONT)
	group.Wait()
	t.Logf("outcomes: %v (the empty one is a caller whose entry was gone)", counts)
	runs := f.runs()
	for key, outcomes := range told {
		require.LessOrEqual(t, runs[key], 1, key)
		for _, outcome := range outcomes {
			if outcome == "done" {
				require.Equal(t, 1, runs[key], "%s was done: %v", key, outcomes)
			}
			if outcome == "notRun" {
				require.Equal(t, 0, runs[key], "%s was not run: %v", key, outcomes)
			}
		}
	}
	require.Greater(t, counts["done"], lanes*bookings, "most bookings are done")
}

// A ticket is in force on all entries in time, also when the platform stops just
// after it was read, and a leaving engine gets no new work.
func TestProcessTickets(t *testing.T) {
	f := newFleet(t)
	number := f.file(`"endpoints": [{"name": "engine-0", "failureDomain": "d0", "address": "` + f.engines[0] + `", "phase": "leaving"}]`)
	began := time.Now()
	f.await(forceLimit, "ticket in force", func() bool { return f.allHave(uint64(number)) })
	t.Logf("in force on %d entries after %v", processEntries, time.Since(began).Round(time.Millisecond))
	f.platform.kill(t)
	// A new entry learns the state from its peers alone.
	f.entries[5].kill(t)
	settings, err := os.ReadFile(filepath.Join(f.folder, "entry-5.jsonc"))
	require.NoError(t, err)
	seeded := strings.Replace(string(settings), "{", `{"seeds": ["`+f.peers[0]+`", "`+f.peers[1]+`"],`, 1)
	file := filepath.Join(f.folder, "seeded.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(seeded), 0o600))
	f.entries[5] = f.start("mustardhook", "serve", "--settings", file)
	f.await(forceLimit, "ticket in force at a new entry", func() bool { return f.allHave(uint64(number)) })
	time.Sleep(leavingLimit)
	for i := range processEntries {
		got, text := f.prompt(i, 500, 5, fmt.Sprintf("p%d", i))
		require.True(t, isExact(got, text, 5), got.Problem)
		status, err := f.status(i)
		require.NoError(t, err)
		require.False(t, status.Endpoints[1].Name == "engine-0" && !status.Endpoints[1].Leaving)
	}
}

func (f *fleetOf) allHave(number uint64) bool {
	for i := range processEntries {
		if status, err := f.status(i); err != nil || uint64(status.HighestTicket) < number {
			return false
		}
	}
	return true
}

// A planned stop cuts nothing in flight, a second signal does not change that,
// and the process exits with 0. The events it recorded replay to equal actions.
func TestProcessStopAndReplay(t *testing.T) {
	f := newFleet(t)
	type result struct {
		got  client.Answer
		text string
	}
	results := make(chan result, 4)
	for i := range 4 {
		go func() {
			got, text := f.prompt(0, 1000, 100, fmt.Sprintf("s%d", i))
			results <- result{got, text}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	f.replay()
	f.entries[0].signal(t, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	f.entries[0].signal(t, syscall.SIGTERM)
	for range 4 {
		r := <-results
		require.True(t, isExact(r.got, r.text, 100), "%d tokens, %s", len(r.got.Tokens), r.got.Problem)
	}
	select {
	case err := <-f.entries[0].done:
		require.NoError(t, err, f.entries[0].stderr.String())
	case <-time.After(20 * time.Second):
		require.Fail(t, "the entry did not exit")
	}
}

func (f *fleetOf) replay() {
	response, err := http.Get("http://" + f.admins[0] + admin.PathTrail)
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	file, err := os.Create(filepath.Join(f.folder, "trail"))
	require.NoError(f.t, err)
	_, err = io.Copy(file, response.Body)
	require.NoError(f.t, err)
	require.NoError(f.t, file.Close())
	folder, err := buildOnce()
	require.NoError(f.t, err)
	for range 3 {
		text, err := exec.Command(filepath.Join(folder, "mustardhook"), "replay", file.Name()).CombinedOutput()
		require.NoError(f.t, err, string(text))
	}
}

// Engines that are killed in the middle of streams are replaced without a token
// lost or twice; a prompt that kills engines is refused after two.
func TestProcessEngines(t *testing.T) {
	f := newFleet(t)
	f.await(5*time.Second, "a prompt runs", func() bool {
		got, text := f.prompt(0, 100, 2, "warm")
		return isExact(got, text, 2)
	})
	got, _ := f.prompt(3, 500, 5, engine.CrashMark)
	require.Equal(t, "promptQuarantined", got.Problem)
	for i := range processEntries {
		again, _ := f.prompt(i, 500, 5, engine.CrashMark)
		require.Contains(t, []string{"promptQuarantined"}, again.Problem)
	}
	got, text := f.prompt(4, 500, 20, "innocent")
	require.True(t, isExact(got, text, 20), "one engine is left and serves: %s", got.Problem)
}

// The audit trail can be followed, and every command prints what it found.
func TestProcessOperators(t *testing.T) {
	f := newFleet(t)
	folder, err := buildOnce()
	require.NoError(t, err)
	follow := exec.Command(filepath.Join(folder, "mustardhook"), "audit", "--entry", f.admins[1], "--follow",
		"--object", "organisation/later")
	out, err := follow.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, follow.Start())
	defer func() { _ = follow.Process.Kill() }()
	f.file(`"organisations": [{"name": "later", "share": 0.1}]`)
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "organisation/later")
	for _, arguments := range [][]string{{"status"}, {"status", "--json"}, {"audit"}, {"audit", "--json"}, {"drain"}} {
		all := append(arguments, "--entry", f.admins[1])
		text, err := exec.Command(filepath.Join(folder, "mustardhook"), all...).CombinedOutput()
		require.NoError(t, err, string(text))
		require.NotEmpty(t, text)
	}
	select {
	case err := <-f.entries[1].done:
		require.NoError(t, err)
	case <-time.After(20 * time.Second):
		require.Fail(t, "the drained entry did not exit")
	}
}
