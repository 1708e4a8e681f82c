package conns

import "time"

const (
	// placeInterval is the time between two attempts to find a place for a new connection.
	placeInterval = 10 * time.Millisecond
	// minPatience is how long an unused connection, or one on which a head arrives, keeps its place
	// and its memory though others wait for them. Callers may reuse an idle one until the fraction
	// idleReuseRatio of its time has passed; idleReserve is for the way of the request.
	minPatience    = 1 * time.Second
	idleReuseRatio = 0.8
	idleReserve    = 1 * time.Second
	// arrivedTimeout is how long what has arrived on a connection may be read after it has to give way.
	// After a pause of the process the bytes of its caller may still wait in the kernel.
	arrivedTimeout = 50 * time.Millisecond
	// maxEnding is how many connections end at once in favour of new ones that come in a row.
	maxEnding = 8
)

// makePlace ends the connection that is least in use, if its patience is over: the oldest
// unused one, else the one with the slowest head, else the one that is idle for longest. It ends none
// while mostEnding of them end.
func (t *Tracker) makePlace(mostEnding int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var chosen *conn
	ending := 0
	for c := range t.open {
		if c.isInterrupted && !c.isLingering {
			ending++
		}
		if c.isEndable() && (chosen == nil || c.endsBefore(chosen)) {
			chosen = c
		}
	}
	if ending < mostEnding {
		t.giveWay(chosen)
	}
}

// endSlowestHeads ends the connections whose heads began first, other than that of the given one, until
// those that end hold the missing memory. It reports whether any ends.
func (t *Tracker) endSlowestHeads(except *conn, missing int64) bool {
	isEnding := false
	for c := range t.open {
		if c != except && c.isInHead && c.isInterrupted {
			isEnding = true
			missing -= c.taken
		}
	}
	for missing > 0 {
		chosen := t.slowestHead(except)
		if !t.giveWay(chosen) {
			break
		}
		isEnding = true
		missing -= chosen.taken
	}
	return isEnding
}

// slowestHead returns the connection whose head began first and may end; nil if there is none.
func (t *Tracker) slowestHead(except *conn) *conn {
	var chosen *conn
	for c := range t.open {
		if c == except || !c.isInHead || !c.isEndable() {
			continue
		}
		if chosen == nil || c.headBeganAt.Before(chosen.headBeganAt) {
			chosen = c
		}
	}
	return chosen
}

// giveWay ends the connection, which may be nil, unless a request that has arrived is read from it
// within arrivedTimeout.
func (t *Tracker) giveWay(chosen *conn) bool {
	if chosen == nil {
		return false
	}
	t.refusals.GaveWay++
	chosen.interruptAt(time.Now().Add(arrivedTimeout))
	return true
}

// isEndable reports whether the connection may end in favour of others.
func (c *conn) isEndable() bool {
	return !c.isInterrupted && (c.state != stateBusy || c.isInHead) && time.Since(c.waitingSince()) >= c.patience()
}

// patience returns how long the connection keeps its place though others wait for it.
func (c *conn) patience() time.Duration {
	if idle := c.tracker.idleTime(); c.state == stateIdle && idle > 0 {
		return time.Duration(float64(idle)*idleReuseRatio) + idleReserve
	}
	return minPatience
}

// waitingSince returns since when the connection waits for its caller.
func (c *conn) waitingSince() time.Time {
	switch {
	case c.state == stateUnused:
		return c.openedAt
	case c.isInHead:
		return c.headBeganAt
	}
	return c.usedAt
}

// endsBefore reports whether the connection is to end before the other one.
func (c *conn) endsBefore(other *conn) bool {
	if mine, its := c.endRank(), other.endRank(); mine != its {
		return mine < its
	}
	return c.waitingSince().Before(other.waitingSince())
}

// endRank returns in which order connections end.
func (c *conn) endRank() int {
	switch {
	case c.state == stateUnused:
		return 0
	case c.isInHead:
		return 1
	}
	return 2
}
