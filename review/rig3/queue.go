package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// floodPrompts is the number of prompts that one client has open at a time.
	floodPrompts = 300
	// floodTokens is the size of such a prompt; the largest prompts of the site have a million tokens.
	floodTokens = 600000
	floodTime   = 20 * time.Second

	engines       = 18
	engineEvents  = 16
	payTimeout    = 1500 * time.Millisecond
	dossierWait   = 15 * time.Second
	prefillTime   = 2 * time.Second
	eventPause    = 100 * time.Millisecond
	reliefTime    = 5 * time.Second
	readyTimeout  = time.Second
	readyMisses   = 5
	retryPause    = 100 * time.Millisecond
	clientsOfNode = 8
)

// streamEvents answers a prompt in the way of a model runner.
func streamEvents(w http.ResponseWriter, request *http.Request) {
	pause := prefillTime
	for id := range engineEvents {
		select {
		case <-time.After(pause):
		case <-request.Context().Done():
			return
		}
		pause = eventPause
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id+1)
		_ = http.NewResponseController(w).Flush()
	}
}

// playQueue has one client send many prompts that are larger than the memory of a runner, while others send bookings.
func playQueue(r *record, folder string, hasTrouble bool) verdict {
	config := configure(7, []object{payRoute(int(payTimeout.Milliseconds())), dossierRoute()},
		[]object{plainService(), engineService()}, []string{"key-1"})
	d, err := deploy(folder, zoneNames, zoneNames, config, largest, paymentTime)
	defer d.stop()
	if err != nil {
		return verdict{err: err}
	}
	for i := range engines {
		next := &runner{
			id: fmt.Sprintf("e-%d", i+1), service: serviceLLM, zone: zoneNames[i%len(zoneNames)], slots: 12, store: d.store, log: d.arrivals,
			stream: streamEvents,
		}
		if err := next.start(); err != nil {
			return verdict{err: err}
		}
	}
	time.Sleep(settleTime)
	node := d.relays[0]
	for range clientsOfNode {
		d.book(newClient(node.callers), "key-1")
	}
	time.Sleep(settleTime)
	before := len(d.sent.list())
	cpu := node.processorTime()
	flood := &outcomes{}
	floodEnd := time.Now().Add(floodTime)
	if hasTrouble {
		r.logf("one client begins to send prompts of %d tokens, %d at a time, to %s", floodTokens, floodPrompts, node.name)
		for range floodPrompts {
			c := newClient(node.callers)
			d.group.Go(func() {
				for time.Now().Before(floodEnd) {
					flood.add(c.send(pathDossier, keyFlood, "x", min(dossierWait, time.Until(floodEnd)+time.Second), "Model", "m",
						"Token-Usage", strconv.Itoa(floodTokens)+",800",
						"Prompt-Prefix", "5c1e07a2:40,"+strconv.FormatInt(attempts.Add(1), 16)+":"+strconv.Itoa(floodTokens-40)))
					time.Sleep(retryPause)
				}
			})
		}
	}
	misses, mostMisses := 0, 0
	for time.Now().Before(floodEnd) {
		time.Sleep(time.Second)
		if node.isReady() {
			misses = 0
			continue
		}
		misses++
		mostMisses = max(mostMisses, misses)
	}
	r.logf("%s took %v of processor time in %v and missed %d readiness checks in a row, each of %v", node.name,
		node.processorTime()-cpu, floodTime, mostMisses, readyTimeout)
	during := d.sent.list()[before:]
	time.Sleep(reliefTime)
	r.logf("%v after the flood: ready %t, ended by itself %t", reliefTime, node.isReady(), node.hasEnded())
	d.finish(r)
	r.writeAll(flood.list(), nil)
	byStatus := map[string]int{}
	for _, o := range flood.list() {
		byStatus[fmt.Sprintf("status %d, failed %t", o.status, o.err != nil)]++
	}
	r.logf("the prompts of that client: %v", byStatus)
	return checkUnanswered(r, during, payTimeout)
}
