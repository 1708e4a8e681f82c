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
	"mustardhook/internal/wire/faults"
)

const (
	entryCount = 6
	// inForceTimeout is the time within which a ticket must be in force on all entries.
	inForceTimeout = 11 * time.Second
	// leavingDelay is the time after which a leaving engine gets no new work.
	leavingDelay = 3 * time.Second
	pollInterval = 50 * time.Millisecond
)

type (
	// process is a running child process.
	process struct {
		command *exec.Cmd
		stderr  *bytes.Buffer
		done    chan error
	}

	// processCluster is a cluster of child processes on loopback addresses. The slices have
	// one element per engine or entry. number is that of the newest ticket.
	processCluster struct {
		t                 testing.TB
		folder            string
		ticketFolder      string
		platform          *process
		platformAddress   string
		serviceAddress    string
		engineAddresses   []string
		entries           []*process
		callerAddresses   []string
		peerAddresses     []string
		operatorAddresses []string
		client            *client.Client
		number            int
	}
)

// buildCommands builds both commands once and returns the folder of the binaries.
var buildCommands = sync.OnceValues(func() (string, error) {
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
	if folder, err := buildCommands(); err == nil {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// start starts a command. The process is killed at the end of the test, and its standard
// error is logged if the test has failed.
func (f *processCluster) start(name string, arguments ...string) *process {
	folder, err := buildCommands()
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
			// The test has already received the exit of the process.
			f.t.Logf("%s %v wrote: %s", name, arguments, p.stderr)
		}
	})
	return p
}

func (p *process) signal(t testing.TB, signal syscall.Signal) {
	require.NoError(t, p.command.Process.Signal(signal))
}

func newEmptyCluster(t testing.TB) *processCluster {
	return &processCluster{t: t, folder: t.TempDir(), client: client.New(stack.OrganisationName)}
}

// kill kills the process and waits until it has exited.
func (p *process) kill(t testing.TB) {
	p.signal(t, syscall.SIGKILL)
	require.Error(t, <-p.done)
}

// newCluster starts a platform, three engines, a service and six entries in three failure
// domains, and waits until all entries have the first ticket.
func newCluster(t *testing.T) *processCluster {
	f := newEmptyCluster(t)
	f.ticketFolder = filepath.Join(f.folder, "tickets")
	require.NoError(t, os.Mkdir(f.ticketFolder, 0o755))
	addresses, err := ports.Allocate(5 + 3*entryCount)
	require.NoError(t, err)
	f.platformAddress, f.serviceAddress, f.engineAddresses = addresses[0], addresses[1], addresses[2:5]
	f.publishTicket(f.initialTicket())
	for _, address := range f.engineAddresses {
		f.start("standin", "engine", "--listen", address, "--model", "advice", "--rate", "50000")
	}
	f.start("standin", "service", "--listen", f.serviceAddress)
	var rows []string
	for i := range entryCount {
		ports := addresses[5+3*i : 8+3*i]
		f.callerAddresses = append(f.callerAddresses, ports[0])
		f.peerAddresses = append(f.peerAddresses, ports[1])
		f.operatorAddresses = append(f.operatorAddresses, ports[2])
		rows = append(rows, fmt.Sprintf("entry-%d@d%d@%s", i, i%3, ports[1]))
	}
	f.platform = f.start("standin", "platform", "--listen", f.platformAddress, "--tickets", f.ticketFolder,
		"--entry", strings.Join(rows, ","))
	for i := range entryCount {
		f.entries = append(f.entries, f.startEntry(i))
	}
	f.waitFor(15*time.Second, "entries are synced", func() bool {
		for i := range entryCount {
			if status, err := f.status(i); err != nil || !status.Synced || status.HighestTicket < 1 {
				return false
			}
		}
		return true
	})
	return f
}

func (f *processCluster) startEntry(i int) *process {
	file := filepath.Join(f.folder, fmt.Sprintf("entry-%d.jsonc", i))
	text := fmt.Sprintf(`{
  "entry": "entry-%d", "failureDomain": "d%d", "platform": %q, "logLevel": "info",
  "callers": {"listen": %q}, "peers": {"listen": %q, "key": "a shared key of the peers"}, "operators": {"listen": %q}
}`, i, i%3, f.platformAddress, f.callerAddresses[i], f.peerAddresses[i], f.operatorAddresses[i])
	require.NoError(f.t, os.WriteFile(file, []byte(text), 0o600))
	return f.start("mustardhook", "serve", "--settings", file)
}

// initialTicket returns the body of a ticket that declares the cluster.
func (f *processCluster) initialTicket() string {
	var endpoints, names []string
	for i, address := range f.engineAddresses {
		endpoints = append(endpoints, fmt.Sprintf(`{"name": "engine-%d", "failureDomain": "d%d", "address": %q}`, i, i, address))
		names = append(names, fmt.Sprintf(`"engine-%d"`, i))
	}
	endpoints = append(endpoints, fmt.Sprintf(
		`{"name": "desk", "failureDomain": "d0", "address": %q, "service": "booking"}`, f.serviceAddress))
	return `"failureDomains": [{"name": "d0", "region": "r"}, {"name": "d1", "region": "r"}, {"name": "d2", "region": "r"}],
  "services": [{"name": "booking", "retentionMillis": 600000}],
  "endpoints": [` + strings.Join(endpoints, ", ") + `],
  "models": [{"name": "advice", "version": "1", "endpoints": [` + strings.Join(names, ", ") + `]}],
  "organisations": [{"name": "crew", "share": 0.5}]`
}

// publishTicket writes a ticket file and returns the number of the ticket. The file is
// renamed into place, so that no reader sees a part of it.
func (f *processCluster) publishTicket(body string) int {
	f.number++
	text := fmt.Sprintf("{\"number\": %d, %s}", f.number, body)
	name := filepath.Join(f.ticketFolder, fmt.Sprintf("%06d", f.number))
	require.NoError(f.t, os.WriteFile(name+".part", []byte(text), 0o600))
	require.NoError(f.t, os.Rename(name+".part", name+".jsonc"))
	return f.number
}

func (f *processCluster) status(i int) (admin.Status, error) {
	response, err := http.Get("http://" + f.operatorAddresses[i] + admin.PathStatus)
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

// waitFor polls a condition and fails the test if it does not hold within the limit.
func (f *processCluster) waitFor(limit time.Duration, description string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			require.Fail(f.t, description, "not within %v", limit)
		}
		time.Sleep(pollInterval)
	}
}

// sendPrompt sends a prompt to an entry and returns the answer and the prompt's text.
func (f *processCluster) sendPrompt(entry, tokens, answer int, word string) (client.Answer, string) {
	text := word + " " + demo.MakePrompt(tokens, word)
	got, err := f.client.Complete(context.Background(), "http://"+f.callerAddresses[entry]+"/v1/completions",
		client.Prompt{Model: "advice", Text: text, MaxTokens: answer})
	if err != nil {
		got.Problem = err.Error()
	}
	return got, text
}

// isExact reports whether an answer is complete and has exactly the expected tokens.
func isExact(got client.Answer, text string, count int) bool {
	for i, token := range got.Tokens {
		if token != engine.TokenText(text, i) {
			return false
		}
	}
	return got.Completed && len(got.Tokens) == count
}

func (f *processCluster) book(entry int, key string) (client.Reply, error) {
	return f.client.SendCall(context.Background(), "http://"+f.callerAddresses[entry],
		client.Call{Method: "POST", Path: "/services/booking/book", Key: key, Body: key, Deadline: 5000})
}

// runs returns the number of runs of each key at the service.
func (f *processCluster) runs() map[string]int {
	response, err := http.Get("http://" + f.serviceAddress + "/fake/runs")
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	all := map[string]int{}
	require.NoError(f.t, json.NewDecoder(response.Body).Decode(&all))
	return all
}

// waitForBookings waits until the witnesses of idempotency keys are ready and a booking
// succeeds.
func (f *processCluster) waitForBookings() {
	f.waitFor(20*time.Second, "bookings run", func() bool {
		reply, err := f.book(0, "probe")
		return err == nil && reply.Outcome == "done"
	})
}

// Each booking must run at most once, and every outcome reported to a caller must be
// true, while entries are killed, paused and restarted.
func TestProcessBookings(t *testing.T) {
	f := newCluster(t)
	f.waitForBookings()
	var group sync.WaitGroup
	var mutex sync.Mutex
	outcomesByKey := map[string][]string{}
	counts := map[string]int{}
	const bookings, workers = 40, 4
	for worker := range workers {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range bookings {
				key := fmt.Sprintf("job-%d-%d", worker, i)
				// Each booking is sent through two entries.
				for _, entry := range []int{(i + worker) % entryCount, (i + worker + 1) % entryCount} {
					reply, err := f.book(entry, key)
					mutex.Lock()
					counts[reply.Outcome]++
					if err == nil {
						outcomesByKey[key] = append(outcomesByKey[key], reply.Outcome)
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
	t.Logf("outcomes: %v (empty: the entry of the caller was down)", counts)
	runs := f.runs()
	for key, outcomes := range outcomesByKey {
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
	require.Greater(t, counts["done"], workers*bookings, "most bookings are done")
}

// A ticket must be in force on all entries in time, also when the platform stops just
// after the ticket was read. A leaving engine must get no new work.
func TestProcessTickets(t *testing.T) {
	f := newCluster(t)
	number := f.publishTicket(`"endpoints": [{"name": "engine-0", "failureDomain": "d0", "address": "` + f.engineAddresses[0] + `", "phase": "leaving"}]`)
	began := time.Now()
	f.waitFor(inForceTimeout, "ticket in force", func() bool { return f.isInForceEverywhere(uint64(number)) })
	t.Logf("in force on %d entries after %v", entryCount, time.Since(began).Round(time.Millisecond))
	f.platform.kill(t)
	// A new entry gets the state from its peers, since the platform is down.
	f.entries[5].kill(t)
	settings, err := os.ReadFile(filepath.Join(f.folder, "entry-5.jsonc"))
	require.NoError(t, err)
	seeded := strings.Replace(string(settings), "{", `{"seeds": ["`+f.peerAddresses[0]+`", "`+f.peerAddresses[1]+`"],`, 1)
	file := filepath.Join(f.folder, "seeded.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(seeded), 0o600))
	f.entries[5] = f.start("mustardhook", "serve", "--settings", file)
	f.waitFor(inForceTimeout, "ticket in force at a new entry", func() bool { return f.isInForceEverywhere(uint64(number)) })
	time.Sleep(leavingDelay)
	for i := range entryCount {
		got, text := f.sendPrompt(i, 500, 5, fmt.Sprintf("p%d", i))
		require.True(t, isExact(got, text, 5), got.Problem)
		status, err := f.status(i)
		require.NoError(t, err)
		require.False(t, status.Endpoints[1].Name == "engine-0" && !status.Endpoints[1].Leaving)
	}
}

func (f *processCluster) isInForceEverywhere(number uint64) bool {
	for i := range entryCount {
		if status, err := f.status(i); err != nil || uint64(status.HighestTicket) < number {
			return false
		}
	}
	return true
}

// SIGTERM must not interrupt requests in flight, even when it is sent twice, and the
// process must exit with status 0. A replay of its recorded events must produce the
// recorded actions.
func TestProcessStopAndReplay(t *testing.T) {
	f := newCluster(t)
	type result struct {
		got  client.Answer
		text string
	}
	results := make(chan result, 4)
	for i := range 4 {
		go func() {
			got, text := f.sendPrompt(0, 1000, 100, fmt.Sprintf("s%d", i))
			results <- result{got, text}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	f.replayTrail()
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

// A signal that interrupts an accepted request ends it without an answer (LOST). SIGHUP must
// change nothing, and further signals must not shorten a stop.
func TestProcessSignalsInterruptNoRequest(t *testing.T) {
	f := newCluster(t)
	f.waitForBookings()
	response, err := http.Post("http://"+f.serviceAddress+faults.Path, "application/json", strings.NewReader(`{"delayMillis": 1000}`))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	for _, signals := range [][]syscall.Signal{
		{syscall.SIGHUP}, {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT},
	} {
		results := make(chan string, 4)
		for i := range 2 {
			go func() {
				got, text := f.sendPrompt(0, 1000, 60, fmt.Sprintf("h%d-%d", len(signals), i))
				results <- fmt.Sprintf("exact: %t %s", isExact(got, text, 60), got.Problem)
			}()
			go func() {
				reply, err := f.book(0, fmt.Sprintf("signal-%d-%d", len(signals), i))
				results <- fmt.Sprintf("%s %v", reply.Outcome, err)
			}()
		}
		f.waitFor(5*time.Second, "requests are in flight", func() bool {
			status, err := f.status(0)
			return err == nil && status.Prompts == 2 && status.Calls == 2
		})
		for _, signal := range signals {
			f.entries[0].signal(t, signal)
			time.Sleep(50 * time.Millisecond)
		}
		for range cap(results) {
			require.Contains(t, []string{"exact: true ", "done <nil>"}, <-results)
		}
	}
	select {
	case err := <-f.entries[0].done:
		require.NoError(t, err, f.entries[0].stderr.String())
	case <-time.After(20 * time.Second):
		require.Fail(t, "the entry did not exit")
	}
}

func (f *processCluster) replayTrail() {
	response, err := http.Get("http://" + f.operatorAddresses[0] + admin.PathTrail)
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	file, err := os.Create(filepath.Join(f.folder, "trail"))
	require.NoError(f.t, err)
	_, err = io.Copy(file, response.Body)
	require.NoError(f.t, err)
	require.NoError(f.t, file.Close())
	folder, err := buildCommands()
	require.NoError(f.t, err)
	for range 3 {
		text, err := exec.Command(filepath.Join(folder, "mustardhook"), "replay", file.Name()).CombinedOutput()
		require.NoError(f.t, err, string(text))
	}
}

// A prompt that crashes engines must be quarantined after two crashes, on all entries.
// The remaining engine must still serve other prompts without lost or duplicate tokens.
func TestProcessEngines(t *testing.T) {
	f := newCluster(t)
	f.waitFor(5*time.Second, "a prompt runs", func() bool {
		got, text := f.sendPrompt(0, 100, 2, "warm")
		return isExact(got, text, 2)
	})
	got, _ := f.sendPrompt(3, 500, 5, engine.CrashMarker)
	require.Equal(t, "promptQuarantined", got.Problem)
	for i := range entryCount {
		repeated, _ := f.sendPrompt(i, 500, 5, engine.CrashMarker)
		require.Contains(t, []string{"promptQuarantined"}, repeated.Problem)
	}
	got, text := f.sendPrompt(4, 500, 20, "innocent")
	require.True(t, isExact(got, text, 20), "the remaining engine serves: %s", got.Problem)
}

// The audit command must print new records with --follow, and every operators' command
// must succeed and print its result.
func TestProcessOperators(t *testing.T) {
	f := newCluster(t)
	folder, err := buildCommands()
	require.NoError(t, err)
	follow := exec.Command(filepath.Join(folder, "mustardhook"), "audit", "--entry", f.operatorAddresses[1], "--follow",
		"--object", "organisation/later")
	out, err := follow.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, follow.Start())
	defer func() { _ = follow.Process.Kill() }()
	f.publishTicket(`"organisations": [{"name": "later", "share": 0.1}]`)
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "organisation/later")
	for _, arguments := range [][]string{{"status"}, {"status", "--json"}, {"audit"}, {"audit", "--json"}, {"drain"}} {
		all := append(arguments, "--entry", f.operatorAddresses[1])
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
