//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

type (
	// relay is an entry of the project, run as a process with the command of the deploy file.
	relay struct {
		name     string
		zone     string
		frontend string
		ready    string
		control  string
		settings string
		log      string
		command  *exec.Cmd
		ended    chan struct{}
	}

	// fleet is the settings that all entries share.
	fleet struct {
		folder   string
		prefix   string
		publish  string
		network  string
		ports    [3]int
		first    int
		last     int
		relays   []*relay
		record   *record
		grace    float64
		memoryMB int
	}
)

const readyTime = 15 * time.Second

var placeholder = regexp.MustCompile(`{{([a-z_.0-9]+)\|json}}`)

// newFleet chooses a loopback network and ports that are free there. The number, below 16, tells apart the
// deployments of one case.
func newFleet(r *record, folder, publish string, number int) (*fleet, error) {
	f := &fleet{folder: folder, publish: publish, record: r, grace: 8, memoryMB: 206}
	f.prefix = fmt.Sprintf("fleet-%d-", number)
	f.network = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%15*16+number)
	for i := range f.ports {
		port, err := freePort(f.network + ".1")
		if err != nil {
			return nil, err
		}
		f.ports[i] = port
	}
	first, err := freePort(f.network + ".1")
	if err != nil {
		return nil, err
	}
	last, err := freePort(f.network + ".1")
	if err != nil {
		return nil, err
	}
	f.first, f.last = first, last
	return f, nil
}

func freePort(host string) (int, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// add writes the settings of an entry, from the project's template, and starts it.
func (f *fleet) add(zone string) error {
	number := len(f.relays) + 1
	host := fmt.Sprintf("%s.%d", f.network, number)
	at := func(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }
	e := &relay{
		name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, frontend: at(host, f.ports[0]), ready: at(host, f.ports[1]),
		control: at(host, f.ports[2]), settings: filepath.Join(f.folder, fmt.Sprintf("%srelay-%d.jsonc", f.prefix, number)),
		log: filepath.Join(f.folder, fmt.Sprintf("%srelay-%d.log", f.prefix, number)),
	}
	var seeds []string
	for i := 1; i <= 3; i++ {
		seeds = append(seeds, at(fmt.Sprintf("%s.%d", f.network, i), f.ports[2]))
	}
	fields := map[string]any{
		"node_name": e.name, "zone": zone, "listen.frontend": e.frontend, "listen.ready": e.ready, "listen.control": e.control,
		"port_range.0": f.first, "port_range.1": f.last, "seeds": seeds, "platform.address": f.publish,
		"limits.memory_mb": f.memoryMB, "limits.max_fds": 2940, "limits.cpu_share": 0.272, "bounds.budget_ratio": 0.2,
		"bounds.budget_slack": 219, "bounds.budget_window_s": 10, "bounds.stall_ms": 1500, "bounds.grace_s": f.grace,
	}
	if err := writeSettings(e.settings, fields); err != nil {
		return err
	}
	f.relays = append(f.relays, e)
	return e.start(f.record)
}

// writeSettings fills in the project's template, as the platform does.
func writeSettings(path string, fields map[string]any) error {
	template, err := os.ReadFile("deploy/relay.jsonc")
	if err != nil {
		return err
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(found string) string {
		name := placeholder.FindStringSubmatch(found)[1]
		value, err := json.Marshal(fields[name])
		if err != nil || fields[name] == nil {
			return ""
		}
		return string(value)
	})
	return os.WriteFile(path, []byte(text), 0o600)
}

func (e *relay) start(r *record) error {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.command = exec.Command("target/mustardhook", "relay")
	e.command.Env = append(os.Environ(), "MUSTARDHOOK_BOOT="+e.settings)
	e.command.Stdout, e.command.Stderr = out, out
	if err := e.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.ended = ended
	command := e.command
	go func() {
		err := command.Wait()
		r.line("process", "%s ended: %v", e.name, err)
		_ = out.Close()
		close(ended)
	}()
	r.line("process", "%s started, callers at %s", e.name, e.frontend)
	return nil
}

// stop ends the process.
func (e *relay) stop() {
	select {
	case <-e.ended:
		return
	default:
	}
	_ = e.command.Process.Signal(syscall.SIGCONT)
	_ = e.command.Process.Kill()
	<-e.ended
}

func (e *relay) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all entries are ready. It reports false if that takes longer than readyTime.
func (f *fleet) waitReady() bool {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range f.relays {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(f.relays) {
			return true
		}
	}
	return false
}

func (f *fleet) stop() {
	for _, e := range f.relays {
		e.stop()
	}
}
