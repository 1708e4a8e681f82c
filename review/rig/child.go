//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// child is a runner in a process of its own, which the case can kill. It prints its address and
// a line for each request that it begins to work on.
type child struct {
	id      string
	address string
	born    int64
	command *exec.Cmd
	ended   chan struct{}
}

const childVariable = "REVIEW_RUNNER"

// startChild starts this program again as a runner. kind names the work in the map of works.
func startChild(r *record, list *runs, id, service, kind string) (*child, error) {
	command := exec.Command("target/review-rig")
	command.Env = append(os.Environ(), childVariable+"="+id+" "+service+" "+kind)
	command.Stderr = os.Stderr
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	c := &child{id: id, born: time.Now().UnixMilli(), command: command, ended: make(chan struct{})}
	lines := bufio.NewScanner(out)
	if lines.Scan() {
		c.address = lines.Text()
	}
	go func() {
		for lines.Scan() {
			fields := strings.Fields(lines.Text())
			if len(fields) > 1 && fields[0] == "run" {
				list.add(run{runner: id, service: service, attempt: fields[1], path: strings.Join(fields[2:], " "), at: time.Now()})
			}
			r.line("runner", "%s %s", id, lines.Text())
		}
		_ = command.Wait()
		close(c.ended)
	}()
	if c.address == "" {
		return nil, os.ErrProcessDone
	}
	r.line("process", "runner %s started at %s", id, c.address)
	return c, nil
}

func (c *child) kill(r *record) {
	r.line("fault", "runner %s is killed", c.id)
	// A process that has ended on its own is in the record.
	_ = c.command.Process.Signal(syscall.SIGKILL)
}

func (c *child) stop() {
	_ = c.command.Process.Kill()
	<-c.ended
}

func (c *child) entry(service, zone string) map[string]any {
	n := &runner{id: c.id, service: service, zone: zone, address: c.address, born: c.born}
	return n.entry("ready", 1)
}

// runChild is the main function of a runner's process. It returns only if the runner can't listen.
func runChild(settings string) {
	fields := strings.Fields(settings)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	fmt.Println(listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go works[fields[2]](fields[0], conn)
	}
}

// works are what runners in processes of their own do with a connection.
var works = map[string]func(id string, conn net.Conn){"unframed": serveUnframed, "parts": serveParts}
