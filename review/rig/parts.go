//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	badPart   = "bad0"
	firstPart = "a0"

	// rounds is how often the case is played, and fleets the number of small deployments in a round.
	rounds       = 3
	fleets       = 4
	partRunners  = 3
	soundEvery   = 40 * time.Millisecond
	badEvery     = 10
	calmTime     = 5 * time.Second
	badTime      = 18 * time.Second
	runnerBack   = 3 * time.Second
	fifthCrash   = 5
	stableWindow = 3 * time.Second
	// leastSound is how many sound requests the rule needs on each side.
	leastSound = 20
)

type (
	// partsFleet is one deployment, whose runners crash on a part of a prompt.
	partsFleet struct {
		*setting
		number    int
		published *store
		runs      *runs
		fleet     *fleet
		done      chan struct{}
		group     sync.WaitGroup

		mutex    sync.Mutex
		children []*child
		crashes  []time.Time
		prompts  []prompt
	}

	// prompt is a request that was sent.
	prompt struct {
		at      time.Time
		attempt string
		first   string
		isBad   bool
	}
)

// serveParts is serveUnframed for a runner that one part of a prompt crashes as it begins to write: after
// the first event, the process ends like any that is killed.
func serveParts(id string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if request.URL.Path == "/report" {
		text := `{"stage":"prefill_decode","busy":false,"sequence":0,"waiting":0,"running":1,"kv_used":1000,"kv_total":315000,"handles":0}`
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return
	}
	attempt := request.Header.Get("Attempt-Id")
	if request.Header.Get("Expect-Instance") != id {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
		return
	}
	isBad := strings.Contains(request.Header.Get("Prompt-Prefix"), badPart)
	after := 0
	if last := request.Header.Get("Last-Event-Id"); last != "" {
		if _, err := fmt.Sscan(last, &after); err != nil {
			return
		}
	}
	fmt.Println("run", attempt, "from event", after+1, "bad", isBad)
	time.Sleep(eventInterval)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\n\r\n",
		attempt, id, attempt)
	for event := after + 1; event <= streamEvents; event++ {
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: piece %d of %s\n\n", event, event, attempt); err != nil {
			return
		}
		if isBad {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
		time.Sleep(eventInterval)
	}
}

// playParts sends prompts with a part that crashes runners among sound ones that share their first part.
func playParts(s *setting) (int, error) {
	code := exitHeld
	for round := range rounds {
		isBroken, err := playRound(s, round*fleets)
		if err != nil {
			return exitNotRun, err
		}
		if isBroken {
			code = exitBroken
		}
	}
	return code, nil
}

// playRound plays fleets whose numbers follow the given one.
func playRound(s *setting, after int) (anyBroken bool, err error) {
	var group sync.WaitGroup
	var all []*partsFleet
	isBroken := make([]bool, fleets)
	errs := make([]error, fleets)
	for i := range fleets {
		p := &partsFleet{setting: s, number: after + i + 1, runs: &runs{}, done: make(chan struct{})}
		all = append(all, p)
		if errs[i] = p.start(); errs[i] != nil {
			break
		}
	}
	for i, p := range all {
		if errs[i] == nil {
			group.Go(func() { isBroken[i] = p.play() })
		}
	}
	group.Wait()
	for i, p := range all {
		p.stop()
		if errs[i] != nil {
			return false, errs[i]
		}
		anyBroken = anyBroken || isBroken[i]
	}
	return anyBroken, nil
}

func (p *partsFleet) start() error {
	published, err := startStore(p.record)
	if err != nil {
		return err
	}
	p.published = published
	route := plainRoute("check", "/check/", "streaming", "llm", 2)
	route["resumable"], route["gap_aim_ms"], route["timeout_ms"] = true, 250, 10000
	published.put("op/config", map[string]any{
		"version": 7, "limits": limits(), "services": []any{plainService("llm")}, "routes": []any{route},
	})
	for slot := range partRunners {
		if err := p.addRunner(slot); err != nil {
			return err
		}
	}
	if p.fleet, err = newFleet(p.record, p.folder, published.address, p.number); err != nil {
		return err
	}
	for _, zone := range zoneNames {
		if err := p.fleet.add(zone); err != nil {
			return err
		}
	}
	return nil
}

// addRunner starts a runner. When it has crashed, another one takes its place.
func (p *partsFleet) addRunner(slot int) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	id := fmt.Sprintf("i-%d-%d", p.number, len(p.children)+1)
	c, err := startChild(p.record, p.runs, id, "llm", "parts")
	if err != nil {
		return err
	}
	p.children = append(p.children, c)
	p.published.put("servers/"+id, c.entry("llm", zoneNames[slot%len(zoneNames)]))
	p.group.Go(func() { p.follow(c, slot) })
	return nil
}

// follow replaces a runner that has crashed.
func (p *partsFleet) follow(c *child, slot int) {
	select {
	case <-p.done:
		return
	case <-c.ended:
	}
	p.mutex.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.record.line("fault", "fleet %d: runner %s has crashed, the %d. crash", p.number, c.id, len(p.crashes))
	p.mutex.Unlock()
	if !p.sleep(runnerBack) {
		return
	}
	if err := p.addRunner(slot); err != nil {
		p.record.line("end", "fleet %d: no further runner: %v", p.number, err)
	}
	if p.sleep(silenceTime - runnerBack) {
		p.published.remove("servers/" + c.id)
	}
}

// sleep reports whether the case still goes on after the pause.
func (p *partsFleet) sleep(pause time.Duration) bool {
	select {
	case <-p.done:
		return false
	case <-time.After(pause):
		return true
	}
}

func (p *partsFleet) stop() {
	close(p.done)
	p.group.Wait()
	for _, c := range p.children {
		c.stop()
	}
	if p.fleet != nil {
		p.fleet.stop()
	}
}

// play sends the prompts and reports whether the rule was broken.
func (p *partsFleet) play() bool {
	if !p.fleet.waitReady() {
		p.record.line("end", "fleet %d did not become ready", p.number)
		return false
	}
	var group sync.WaitGroup
	started := time.Now()
	for number := 0; time.Since(started) < calmTime+badTime; number++ {
		time.Sleep(soundEvery)
		isBad := p.hasTrouble && number%badEvery == 0 && time.Since(started) > calmTime
		group.Go(func() { p.sendPrompt(number, isBad) })
	}
	until := time.Now()
	group.Wait()
	return p.judge(started, until)
}

// sendPrompt sends a prompt. No two are alike; two in five sound ones share the first part of the bad ones.
func (p *partsFleet) sendPrompt(number int, isBad bool) {
	sent := prompt{at: time.Now(), first: firstPart, isBad: isBad}
	middle := ""
	switch {
	case isBad:
		middle = badPart + ":300,"
	case number%5 > 1:
		sent.first = fmt.Sprint("a", number%5)
	}
	a := send(p.record, p.fleet.relays[number%len(p.fleet.relays)].frontend, request{
		method: http.MethodPost, host: "desk.example", path: "/check/7", timeout: 5 * time.Second, body: fmt.Sprint("prompt ", number),
		header: map[string]string{
			"Model": "m", "Token-Usage": "900,100", "Prompt-Prefix": fmt.Sprintf("%s:40,%s%x:900", sent.first, middle, 0x100000+number),
		},
	})
	sent.attempt = a.attempt
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.prompts = append(p.prompts, sent)
}

// judge compares how often the sound prompts with the first part of the bad ones begin.
func (p *partsFleet) judge(started, until time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	from := started.Add(calmTime + 2*stableWindow)
	if count := len(p.crashes); count > 0 {
		from = p.crashes[min(count, fifthCrash)-1].Add(2 * stableWindow)
	}
	before, begunBefore := p.countSound(started, started.Add(calmTime))
	after, begunAfter := p.countSound(from, until)
	isBroken := before >= leastSound && after >= leastSound &&
		float64(begunAfter)/float64(after) < 0.5*float64(begunBefore)/float64(before)
	kind := "held"
	if isBroken {
		kind = "BROKEN"
	}
	p.record.line(kind, "LOST: fleet %d, %d crashes; sound prompts with the first part of the bad ones that began: %d of %d before, %d of %d "+
		"from 6 s after the fifth crash (or the last)", p.number, len(p.crashes), begunBefore, before, begunAfter, after)
	return isBroken
}

func (p *partsFleet) countSound(from, until time.Time) (sent, begun int) {
	for _, next := range p.prompts {
		if next.isBad || next.first != firstPart || next.at.Before(from) || !next.at.Before(until) {
			continue
		}
		sent++
		if len(p.runs.of(next.attempt)) > 0 {
			begun++
		}
	}
	return sent, begun
}
