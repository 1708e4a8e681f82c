package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// The figures of the site nbo-zones-grown.
	evacuationBound = 5 * time.Second
	applyBound      = 3 * time.Second
	skewBound       = 6 * time.Second

	// drillAge is how old the copy is from which the store comes back, and drillAway how long it is away.
	drillAge  = 3 * time.Second
	drillAway = 500 * time.Millisecond
	// configRounds and evacuationRounds are the numbers of drills in a case.
	configRounds     = 5
	evacuationRounds = 4
	// settleTime is how long the deployment runs before the first drill, and after each one.
	settleTime = 5 * time.Second

	paymentTime = 60 * time.Millisecond
	bookPause   = 100 * time.Millisecond
	callTimeout = 4 * time.Second

	statusOK = 200
)

type (
	// readyError reports that the relays did not become ready.
	readyError struct{}

	// deployment is a small one with a plain service.
	deployment struct {
		store    *store
		runners  []*runner
		arrivals *arrivals
		relays   []*relay
		// sent are the requests of ordinary clients, which end with done.
		sent  *outcomes
		done  chan struct{}
		group sync.WaitGroup
	}
)

// Error returns a message.
func (readyError) Error() string { return "the relays did not become ready" }

// deploy starts a store, two runners in each zone and a relay for each entry of the list. The caller must stop
// it, also after an error.
func deploy(folder string, zones, runnerZones []string, config []byte, allowed limits, work time.Duration) (*deployment, error) {
	d := &deployment{arrivals: &arrivals{}, sent: &outcomes{}, done: make(chan struct{})}
	var err error
	if d.store, err = startStore(); err != nil {
		return d, err
	}
	for i, zone := range runnerZones {
		next := &runner{
			id: fmt.Sprintf("i-%d", i+1), service: serviceApp, zone: zone, slots: 6, store: d.store, log: d.arrivals, work: work,
		}
		if err := next.start(); err != nil {
			return d, err
		}
		d.runners = append(d.runners, next)
	}
	d.store.put(configKey, config)
	if d.relays, err = startRelays(folder, d.store.address, zones, allowed); err != nil {
		return d, err
	}
	if !awaitReady(d.relays, 10*time.Second) {
		return d, readyError{}
	}
	return d, nil
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, each := range d.relays {
		each.stop()
	}
}

// book has a client send bookings through a relay, on a connection that it keeps.
func (d *deployment) book(c *client, key string) {
	d.group.Go(func() {
		for {
			select {
			case <-d.done:
				return
			case <-time.After(bookPause):
			}
			d.sent.add(c.send(pathPay, key, "permit", callTimeout))
		}
	})
}

// finish ends the ordinary clients and records what was sent and run.
func (d *deployment) finish(r *record) {
	close(d.done)
	d.group.Wait()
	r.writeAll(d.sent.list(), d.arrivals.list())
}

// drill makes the store leave and come back from an older copy, and then writes a value that the operator has tried
// to write meanwhile. It returns when the store acknowledged that. Without trouble the store stays.
func (d *deployment) drill(r *record, key string, value []byte, hasTrouble bool) time.Time {
	if hasTrouble {
		d.store.leave()
		r.logf("drill: the store is away")
	}
	written := make(chan time.Time, 1)
	go func() {
		for {
			if revision, isTaken := d.store.put(key, value); isTaken {
				r.logf("the store has acknowledged %s at revision %d", key, revision)
				written <- time.Now()
				return
			}
			time.Sleep(pollPause)
		}
	}()
	if hasTrouble {
		time.Sleep(drillAway)
		before, after := d.store.comeBack(drillAge)
		r.logf("drill: the store is back from a copy that is %v old; revision %d, before %d", drillAge, after, before)
	}
	return <-written
}

// playDrillConfig takes a key away while the store is in a drill, several times.
func playDrillConfig(r *record, folder string, hasTrouble bool) verdict {
	zone := zoneNames[0]
	routes, services := []object{payRoute(4000)}, []object{plainService()}
	keys := []string{"key-0", "key-1", "key-2", "key-3", "key-4", "key-5"}
	version := 7
	d, err := deploy(folder, []string{zone, zone, zone}, []string{zone, zone, zone, zone, zone, zone},
		configure(version, routes, services, keys), largest, paymentTime)
	defer d.stop()
	if err != nil {
		return verdict{err: err}
	}
	time.Sleep(settleTime)
	for _, each := range d.relays {
		d.book(newClient(each.callers), keys[0])
	}
	total := 0
	for round := range configRounds {
		time.Sleep(settleTime)
		revoked := keys[len(keys)-1]
		keys = keys[:len(keys)-1]
		version++
		d.drill(r, configKey, configure(version, routes, services, keys), hasTrouble)
		time.Sleep(applyBound + skewBound)
		ran := 0
		for _, each := range d.relays {
			for range 5 {
				result := newClient(each.callers).send(pathPay, revoked, "permit", callTimeout)
				d.sent.add(result)
				if result.status == statusOK {
					ran++
				}
			}
		}
		r.logf("round %d: version %d takes %s away; %d of 15 bookings with it ran, sent later than %v after the acknowledgement",
			round+1, version, revoked, ran, applyBound+skewBound)
		total += ran
	}
	d.finish(r)
	return verdict{isBroken: total > 0}
}

// playDrillEvacuation evacuates a zone while the store is in a drill, several times.
func playDrillEvacuation(r *record, folder string, hasTrouble bool) verdict {
	emptied := zoneNames[2]
	runnerZones := append(append([]string{}, zoneNames...), zoneNames...)
	config := configure(7, []object{payRoute(4000)}, []object{plainService()}, []string{"key-1"})
	d, err := deploy(folder, zoneNames, runnerZones, config, largest, paymentTime)
	defer d.stop()
	if err != nil {
		return verdict{err: err}
	}
	time.Sleep(settleTime)
	for _, each := range d.relays {
		for range 3 {
			d.book(newClient(each.callers), "key-1")
		}
	}
	total := 0
	for round := range evacuationRounds {
		time.Sleep(settleTime)
		acknowledged := d.drill(r, keyEvacuate+emptied, []byte("{}"), hasTrouble)
		time.Sleep(evacuationBound + skewBound + settleTime)
		late := 0
		for _, each := range d.arrivals.list() {
			if each.zone == emptied && each.at.After(acknowledged.Add(evacuationBound+skewBound)) {
				late++
			}
		}
		r.logf("round %d: %d bookings reached runners of %s later than %v after its evacuation was acknowledged", round+1, late, emptied,
			evacuationBound+skewBound)
		total += late
		d.store.remove(keyEvacuate + emptied)
		r.logf("the evacuation is taken back")
	}
	d.finish(r)
	return verdict{isBroken: total > 0}
}
