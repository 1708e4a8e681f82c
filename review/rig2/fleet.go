package main

import (
	"fmt"
	"net"
	"strconv"
	"time"
)

// The size of the deployment: three failure domains with one entry each, like a small site.
const (
	zoneCount   = 3
	modelCount  = 16
	appCount    = 3
	modelSlots  = 16
	appSlots    = 6
	settleTime  = 2 * time.Second
	storeHost   = "127.61.0.1"
	memoryMB    = 206
	descriptors = 2940
	cpuShare    = 0.272
)

// fleet is a deployment with its stand-ins.
type fleet struct {
	store   *store
	models  []*runner
	apps    []*runner
	entries []*entry
}

// newFleet starts a store, runners and entries, and waits until the entries are ready and know each other. It
// reports false if the case can't run.
func (w *world) newFleet() (*fleet, bool) {
	f := &fleet{}
	var err error
	if f.store, err = newStore(storeHost); err != nil {
		w.logf("the store can't start: %v", err)
		return nil, false
	}
	f.store.put("op/config", config(7))
	for i := range modelCount + appCount {
		r, err := f.addRunner(i)
		if err != nil {
			w.logf("a runner can't start: %v", err)
			return nil, false
		}
		f.store.put("servers/"+r.id, r.record("ready"))
	}
	if err := w.startEntries(f); err != nil {
		w.logf("an entry can't start: %v", err)
		return nil, false
	}
	for _, e := range f.entries {
		if !e.awaitReady() {
			return nil, false
		}
	}
	time.Sleep(settleTime)
	return f, true
}

// addRunner starts the runner with the number. Those of models come first.
func (f *fleet) addRunner(number int) (*runner, error) {
	zone := number % zoneCount
	id, ip := fmt.Sprintf("i-%04x", number+1000), fmt.Sprintf("127.62.%d.%d", zone, number+1)
	if number < modelCount {
		r, err := startRunner(id, modelName, zoneName(zone), ip, modelSlots, true)
		f.models = append(f.models, r)
		return r, err
	}
	r, err := startRunner(id, appName, zoneName(zone), ip, appSlots, false)
	f.apps = append(f.apps, r)
	return r, err
}

func (w *world) startEntries(f *fleet) error {
	var machines []machine
	var seeds []string
	for zone := range zoneCount {
		m := machine{
			name: "front-" + zoneName(zone) + "-1", zone: zoneName(zone), ip: fmt.Sprintf("127.63.%d.1", zone), memoryMB: memoryMB,
			fds: descriptors, cpuShare: cpuShare,
		}
		machines = append(machines, m)
		seeds = append(seeds, net.JoinHostPort(m.ip, strconv.Itoa(w.ports["control"])))
	}
	for _, m := range machines {
		e, err := w.start(m, f.store.address, seeds)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, e)
	}
	return nil
}

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }
