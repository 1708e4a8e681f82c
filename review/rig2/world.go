package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	templatePath = "deploy/relay.jsonc"
	programPath  = "target/mustardhook"
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

type (
	// world holds the stand-ins and the processes of one case.
	world struct {
		record *os.File
		folder string
		ports  map[string]int

		mutex   sync.Mutex
		entries []*entry
		began   time.Time
		// hasTrouble is false if the case is played without its disruption.
		hasTrouble bool
	}

	// machine describes the machine of an entry by the fields of its settings.
	machine struct {
		name, zone, ip string
		memoryMB, fds  int
		cpuShare       float64
	}

	// entry is one process of the system.
	entry struct {
		machine
		world    *world
		settings string
		store    string
		command  *exec.Cmd
		ended    chan struct{}
		// endError is how the process ended; valid after ended was closed.
		endError error
	}
)

// newWorld opens the record and reserves the ports that are the same on all machines.
func newWorld(record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	w := &world{record: file, folder: folder, ports: map[string]int{}, began: time.Now(), hasTrouble: os.Getenv("TROUBLE") != "0"}
	for _, name := range []string{"frontend", "ready", "control", "news", "metrics"} {
		if w.ports[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	w.logf("disruption %v", w.hasTrouble)
	return w, nil
}

func freePort() (int, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	port := listener.Addr().(*net.TCPAddr).Port
	return port, listener.Close()
}

// logf writes a line with the time since the start to the record.
func (w *world) logf(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f ", time.Since(w.began).Seconds())
	_, _ = fmt.Fprintf(w.record, format+"\n", values...)
}

// close ends the processes that were started.
func (w *world) close() {
	for _, e := range w.entries {
		e.kill()
	}
	_ = os.RemoveAll(w.folder)
	_ = w.record.Close()
}

// start starts an entry on the machine. Its settings come from the template of the deploy file.
func (w *world) start(m machine, store string, seeds []string) (*entry, error) {
	e := &entry{machine: m, world: w, store: store, settings: filepath.Join(w.folder, m.name+".jsonc")}
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.settings, []byte(e.fill(string(template), seeds)), 0o600); err != nil {
		return nil, err
	}
	w.entries = append(w.entries, e)
	return e, e.start()
}

// fill fills in the template like the platform.
func (e *entry) fill(template string, seeds []string) string {
	quoted := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		quoted = append(quoted, strconv.Quote(seed))
	}
	values := map[string]string{
		"node_name": strconv.Quote(e.name), "zone": strconv.Quote(e.zone),
		"listen.frontend": strconv.Quote(e.address("frontend")), "listen.ready": strconv.Quote(e.address("ready")),
		"listen.control": strconv.Quote(e.address("control")), "port_range.0": strconv.Itoa(e.world.ports["news"]),
		"port_range.1": strconv.Itoa(e.world.ports["metrics"]), "seeds": "[" + strings.Join(quoted, ",") + "]",
		"platform.address": strconv.Quote(e.store), "limits.memory_mb": strconv.Itoa(e.memoryMB),
		"limits.max_fds": strconv.Itoa(e.fds), "limits.cpu_share": fmt.Sprint(e.cpuShare),
		"bounds.budget_ratio": "0.2", "bounds.budget_slack": "219", "bounds.budget_window_s": "10",
		"bounds.stall_ms": "1500", "bounds.grace_s": "8",
	}
	for name, value := range values {
		template = strings.ReplaceAll(template, "{{"+name+"|json}}", value)
	}
	return template
}

// address returns the address of a port of the entry.
func (e *entry) address(port string) string {
	return net.JoinHostPort(e.ip, strconv.Itoa(e.world.ports[port]))
}

// start starts the process; also again, after its end.
func (e *entry) start() error {
	output, err := os.OpenFile(filepath.Join(e.world.folder, e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.command = exec.Command(programPath, "relay")
	e.command.Env = []string{"MUSTARDHOOK_BOOT=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=/", "LANG=C"}
	e.command.Stdout, e.command.Stderr = output, output
	// The process ends with this one, whatever happens to it.
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.ended = ended
	command := e.command
	go func() {
		e.endError = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	e.world.logf("%s started, pid %d", e.name, command.Process.Pid)
	return nil
}

// kill ends the process and waits for its end.
func (e *entry) kill() {
	if e.hasEnded() {
		return
	}
	_ = e.command.Process.Signal(syscall.SIGCONT)
	_ = e.command.Process.Kill()
	<-e.ended
}

func (e *entry) hasEnded() bool {
	select {
	case <-e.ended:
		return true
	default:
		return false
	}
}

// isReady asks the entry whether it is ready.
func (e *entry) isReady() bool {
	conn, err := net.DialTimeout("tcp4", e.address("ready"), time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(conn, "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	text := make([]byte, len("HTTP/1.1 200"))
	count, _ := conn.Read(text)
	return string(text[:count]) == "HTTP/1.1 200"
}

// awaitReady waits until the entry is ready. It reports false if it is not in time.
func (e *entry) awaitReady() bool {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		if e.isReady() {
			return true
		}
	}
	e.world.logf("%s is not ready", e.name)
	return false
}

// logText returns what the processes of the entry have written.
func (e *entry) logText() string {
	text, _ := os.ReadFile(filepath.Join(e.world.folder, e.name+".log"))
	return string(text)
}
