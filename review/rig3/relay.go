package main

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

type (
	// limits are what a relay may use.
	limits struct {
		memoryMegabytes, descriptors int
		processorShare               float64
	}

	// relay is one process of the system under test.
	relay struct {
		name, folder, settings, callers, ready string
		command                                *exec.Cmd
		ended                                  chan error
	}
)

// freePort returns a port on which nobody listens on any of the hosts, for TCP and UDP.
func freePort(hosts []string) (int, error) {
	for {
		probe, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := probe.Addr().(*net.TCPAddr).Port
		_ = probe.Close()
		isFree := true
		for _, host := range hosts {
			address := net.JoinHostPort(host, strconv.Itoa(port))
			listener, err := net.Listen("tcp4", address)
			if err != nil {
				isFree = false
				break
			}
			_ = listener.Close()
			socket, err := net.ListenPacket("udp4", address)
			if err != nil {
				isFree = false
				break
			}
			_ = socket.Close()
		}
		if isFree {
			return port, nil
		}
	}
}

// startRelays starts one relay for each zone in the list, with the settings that the template of the
// deploy file gives.
func startRelays(folder, publisher string, zones []string, allowed limits) ([]*relay, error) {
	hosts := make([]string, 0, len(zones))
	base := 10 + os.Getpid()%200
	for i := range zones {
		hosts = append(hosts, "127."+strconv.Itoa(base)+".7."+strconv.Itoa(i+1))
	}
	ports := map[string]string{}
	for _, name := range []string{"callers", "ready", "peers", "news", "metrics"} {
		port, err := freePort(hosts)
		if err != nil {
			return nil, err
		}
		ports[name] = strconv.Itoa(port)
	}
	seeds := []string{}
	for _, host := range hosts[:min(len(hosts), 3)] {
		seeds = append(seeds, net.JoinHostPort(host, ports["peers"]))
	}
	var relays []*relay
	for i, zone := range zones {
		news, _ := strconv.Atoi(ports["news"])
		metrics, _ := strconv.Atoi(ports["metrics"])
		name := "front-" + zone + "-" + strconv.Itoa(i+1)
		r := &relay{
			folder: folder, settings: filepath.Join(folder, name+".jsonc"), name: name,
			callers: net.JoinHostPort(hosts[i], ports["callers"]), ready: net.JoinHostPort(hosts[i], ports["ready"]),
		}
		text, err := json.MarshalIndent(object{
			"entry": r.name, "failureDomain": zone, "callers": r.callers, "ready": r.ready,
			"peers": net.JoinHostPort(hosts[i], ports["peers"]), "newsPort": news, "metricsPort": metrics, "seeds": seeds,
			"publisher": publisher,
			"limits": object{
				"memoryMegabytes": allowed.memoryMegabytes, "descriptors": allowed.descriptors,
				"processorShare": allowed.processorShare,
			},
			"bounds": object{
				"retryRatio": 0.2, "retrySlack": 398, "retryWindowSeconds": 10, "newsBytesPerSecond": 64000, "stallMillis": 1500,
				"graceSeconds": 8,
			},
			"logLevel": "info",
		}, "", "  ")
		if err != nil {
			return relays, err
		}
		if err := os.WriteFile(r.settings, text, 0o600); err != nil {
			return relays, err
		}
		if err := r.start(); err != nil {
			return relays, err
		}
		relays = append(relays, r)
	}
	return relays, nil
}

// start starts the process.
func (r *relay) start() error {
	output, err := os.OpenFile(filepath.Join(r.folder, r.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.command = exec.Command("target/mustardhook", "relay")
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.folder, "MUSTARDHOOK_BOOT=" + r.settings}
	r.command.Stdout, r.command.Stderr = output, output
	if err := r.command.Start(); err != nil {
		return err
	}
	command, ended := r.command, make(chan error, 1)
	r.ended = ended
	go func() { ended <- command.Wait() }()
	return nil
}

// isReady asks the relay whether it is ready.
func (r *relay) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all relays are ready.
func awaitReady(relays []*relay, within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		count := 0
		for _, r := range relays {
			if r.isReady() {
				count++
			}
		}
		if count == len(relays) {
			return true
		}
	}
	return false
}

// hasEnded reports whether the process has ended by itself.
func (r *relay) hasEnded() bool {
	select {
	case err := <-r.ended:
		r.ended <- err
		return true
	default:
		return false
	}
}

// stop ends the process and waits for it.
func (r *relay) stop() {
	_ = r.command.Process.Signal(syscall.SIGKILL)
	err := <-r.ended
	r.ended <- err
}

// residentBytes returns the memory of the process.
func (r *relay) residentBytes() int64 {
	fields := r.readStat("statm")
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// readStat returns the fields of a file on the process.
func (r *relay) readStat(name string) []string {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(r.command.Process.Pid) + "/" + name)
	if err != nil {
		return nil
	}
	return strings.Fields(string(text))
}
