package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"mustardhook/internal/claim/quorum"
	"mustardhook/internal/claim/rules"
	"mustardhook/internal/claim/views"
	"mustardhook/internal/claim/votes"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/core/msgs"
)

const (
	tickInterval = 100 * clock.Millis(1)
	// unresponsiveTimeout is how long an entry counts as live after its last message,
	// in place of roster.UnresponsiveTimeout.
	unresponsiveTimeout = 500 * clock.Millis(1)
	// key is the scope that most ops claim.
	key = "crew\x00booking\x00roof-7"
	// mintedKey has the second, third and fourth of four entries as its witnesses.
	mintedKey = "crew\x00booking\x00minted-0"
	// clockJump is longer than the largest difference between the clocks of two
	// entries.
	clockJump = 2 * votes.MaxClockSkew
)

// The faults and inputs that make up a schedule.
const (
	opDeliver opKind = iota
	opDrop
	opDelay
	opCrash
	opPause
	opResume
	opIsolate
	opHeal
	opClaim
	opClaimRefused
	opJoin
	opReset
	opClaimMinted
	opAdvanceClock
	opClaimDeferred
	opDeliverDeferred
	// opKinds is the number of kinds above.
	opKinds
)

type (
	opKind int

	// op is one fault or input; node is the index of the entry that it affects.
	op struct {
		kind opKind
		node int
	}

	// packet is a message in flight.
	packet struct {
		from, to int
		message  msgs.Message
	}

	// node is one entry: its view and claims, its rounds, and when it last saw each other
	// entry and in which view.
	node struct {
		self        ident.Incarnation
		membership  *views.Membership
		rounds      []*round
		crashed     bool
		paused      bool
		isolated    bool
		lastSeenAt  map[int]clock.Millis
		viewNumbers map[int]uint64
	}

	// round is a round of votes with its progress.
	round struct {
		*quorum.Round
		// refused means that no endpoint accepts the call.
		refused bool
		ended   bool
	}

	// cluster simulates a failure domain: entries, messages in flight and time.
	cluster struct {
		now        clock.Millis
		disabled   rules.Disabled
		nodes      []*node
		inFlight   []packet
		deferred   []packet
		attempts   int
		executions map[string][]ident.Attempt
		// mintedAt is when mintedKey was minted; zero means not yet.
		mintedAt  clock.Millis
		outcomes  []string
		violation string
	}
)

func newCluster(count int, disabled rules.Disabled) *cluster {
	c := &cluster{now: clock.Hour, disabled: disabled, executions: map[string][]ident.Attempt{}}
	for range count {
		c.addNode()
	}
	var members []ident.Incarnation
	for _, n := range c.nodes {
		members = append(members, n.self)
	}
	c.enqueueAll(0, c.nodes[0].membership.Bootstrap(c.now, members, false))
	c.runTicks(5)
	return c
}

func (c *cluster) addNode() {
	self := ident.Incarnation{Entry: ident.Entry(fmt.Sprintf("e%d", len(c.nodes))), Epoch: uint64(c.now)}
	c.nodes = append(c.nodes, &node{
		self: self, membership: views.NewMembership(self, c.disabled), lastSeenAt: map[int]clock.Millis{}, viewNumbers: map[int]uint64{},
	})
}

func (c *cluster) index(incarnation ident.Incarnation) int {
	return slices.IndexFunc(c.nodes, func(n *node) bool { return n.self == incarnation })
}

func (c *cluster) enqueueAll(from int, outgoing []views.Outgoing) {
	for _, o := range outgoing {
		c.enqueue(from, o.To, o.Message)
	}
}

func (c *cluster) enqueue(from int, to ident.Incarnation, message msgs.Message) {
	if i := c.index(to); i >= 0 {
		c.inFlight = append(c.inFlight, packet{from, i, message})
	}
}

// isPartitioned reports whether messages between the two entries are lost.
func (c *cluster) isPartitioned(a, b int) bool {
	return a != b && (c.nodes[a].isolated != c.nodes[b].isolated)
}

// step applies one op and then delivers the next message, or advances time by a tick if
// none is in flight.
func (c *cluster) step(o op) {
	n := c.nodes[o.node%len(c.nodes)]
	switch o.kind {
	case opDrop:
		if len(c.inFlight) > 0 {
			c.inFlight = c.inFlight[1:]
		}
		return
	case opDelay:
		if len(c.inFlight) > 1 {
			c.inFlight = append(c.inFlight[1:], c.inFlight[0])
		}
		return
	case opCrash:
		n.crashed = true
	case opPause:
		n.paused = true
	case opResume:
		n.paused = false
	case opIsolate:
		n.isolated = true
	case opHeal:
		for _, other := range c.nodes {
			other.isolated = false
		}
	case opClaim, opClaimRefused:
		c.claim(o.node%len(c.nodes), key, 0, o.kind == opClaimRefused)
	case opClaimMinted:
		if c.mintedAt == 0 {
			c.mintedAt = c.now
		}
		c.claim(o.node%len(c.nodes), mintedKey, c.mintedAt, false)
	case opAdvanceClock:
		c.now += clockJump
		for range 3 {
			c.tick()
		}
	case opClaimDeferred:
		start := len(c.inFlight)
		c.claim(o.node%len(c.nodes), key, 0, false)
		c.deferred = append(c.deferred, c.inFlight[start:]...)
		c.inFlight = c.inFlight[:start]
		return
	case opDeliverDeferred:
		c.inFlight = append(c.inFlight, c.deferred...)
		c.deferred = nil
	case opJoin:
		if len(c.nodes) < 7 {
			c.addNode()
		}
	case opReset:
		c.reset(o.node % len(c.nodes))
	}
	if len(c.inFlight) > 0 {
		c.deliver()
		return
	}
	c.tick()
}

// live returns the entries from which the node recently received a message, itself
// included.
func (c *cluster) live(i int) []ident.Incarnation {
	var live []ident.Incarnation
	for j, other := range c.nodes {
		at, ok := c.nodes[i].lastSeenAt[j]
		if i == j || (ok && c.now-at <= unresponsiveTimeout) {
			live = append(live, other.self)
		}
	}
	return live
}

// inSameView returns the live entries that last reported the node's own view, itself
// included.
func (c *cluster) inSameView(i int) []ident.Incarnation {
	n := c.nodes[i]
	var inSameView []ident.Incarnation
	for _, other := range c.live(i) {
		if j := c.index(other); j == i || n.viewNumbers[j] == n.membership.Number() {
			inSameView = append(inSameView, other)
		}
	}
	return inSameView
}

// hasLaggingMember reports whether a live member lacks the node's view. In place of
// applying views.LaggingTimeout, it returns true only at every tenth tick.
func (c *cluster) hasLaggingMember(i int) bool {
	n := c.nodes[i]
	for _, other := range c.live(i) {
		isLagging := c.nodes[c.index(other)].membership.Number() < n.membership.Number()
		if isLagging && slices.Contains(n.membership.Members(), other) && c.now%(10*tickInterval) == 0 {
			return true
		}
	}
	return false
}

// reset starts a new view at the node if a majority of its view crashed, as package voter
// does once the platform no longer lists them. An entry without a view never does so.
func (c *cluster) reset(i int) {
	n := c.nodes[i]
	var remaining []ident.Incarnation
	for _, other := range c.nodes {
		if !other.crashed {
			remaining = append(remaining, other.self)
		}
	}
	hasView := len(n.membership.Members()) > 0
	if n.crashed || !hasView || views.HasMajority(n.membership.Members(), remaining) {
		return
	}
	c.enqueueAll(i, n.membership.Bootstrap(c.now, []ident.Incarnation{n.self}, true))
}

// deliver delivers the next message, or loses it if its target crashed or is partitioned.
func (c *cluster) deliver() {
	next := c.inFlight[0]
	c.inFlight = c.inFlight[1:]
	to := c.nodes[next.to]
	if to.crashed || c.isPartitioned(next.from, next.to) {
		return
	}
	if to.paused {
		// A paused entry receives its messages when it resumes.
		c.inFlight = append(c.inFlight, next)
		if !slices.ContainsFunc(c.inFlight, func(p packet) bool { return !c.nodes[p.to].paused }) {
			c.tick()
		}
		return
	}
	c.handle(next.to, next.from, next.message)
}

func (c *cluster) handle(to, from int, message msgs.Message) {
	n := c.nodes[to]
	sender := c.nodes[from].self
	switch message := message.(type) {
	case msgs.VoteAsk:
		c.enqueue(to, sender, n.membership.Vote(c.now, message, c.inSameView(to)))
	case msgs.VoteGive:
		for _, r := range n.rounds {
			r.AddVote(sender, message)
		}
		c.checkRounds(to)
	case msgs.VoteRelease:
		n.membership.Table().Release(message.Scope, message.Attempt)
	case msgs.Learn:
		n.membership.Table().Learn(c.now, message)
	default:
		c.enqueueAll(to, n.membership.Handle(c.now, sender, message))
	}
}

func (c *cluster) tick() {
	c.now += tickInterval
	for i, n := range c.nodes {
		if n.crashed || n.paused {
			continue
		}
		for j, other := range c.nodes {
			if i == j || (!other.crashed && !other.paused && !c.isPartitioned(i, j)) {
				n.lastSeenAt[j] = c.now
				n.viewNumbers[j] = other.membership.Number()
			}
		}
		c.enqueueAll(i, n.membership.Tick(c.now, c.live(i), c.live(i), c.hasLaggingMember(i)))
		c.checkRounds(i)
	}
}

// claim starts a round of votes at the entry. It does nothing if the entry is down or may
// not vote: package calls would forward the call to another entry.
func (c *cluster) claim(i int, scope string, mintedAt clock.Millis, refused bool) {
	n := c.nodes[i]
	if n.crashed || n.paused || !n.membership.MayVote(n.membership.Number(), c.inSameView(i)) {
		return
	}
	c.attempts++
	attempt := ident.Attempt(fmt.Sprintf("%s/%d", n.self, c.attempts))
	request := msgs.VoteAsk{View: n.membership.Number(), Scope: scope, Fingerprint: 7, Attempt: attempt, Minted: mintedAt, Retention: clock.Hour}
	r := &round{
		Round:   quorum.NewRound(c.now, request, votes.Witnesses(scope, n.membership.Members()), c.disabled),
		refused: refused,
	}
	n.rounds = append(n.rounds, r)
	for _, witness := range r.Witnesses() {
		c.enqueue(i, witness, request)
	}
}

// checkRounds finishes the rounds of an entry that are decided and checks the safety
// properties.
func (c *cluster) checkRounds(i int) {
	for _, r := range c.nodes[i].rounds {
		if r.ended {
			continue
		}
		status := r.Status(c.now)
		switch {
		case status == quorum.Pending:
			continue
		case status == quorum.Granted && !r.refused:
			c.executions[r.Request().Scope] = append(c.executions[r.Request().Scope], r.Request().Attempt)
			outcome := msgs.Learn{Scope: r.Request().Scope, Fingerprint: 7, Attempt: r.Request().Attempt, State: msgs.ClaimDone}
			for _, witness := range r.Witnesses() {
				c.enqueue(i, witness, outcome)
			}
		default:
			if r.ProvesNotRun() && len(c.executions[r.Request().Scope]) > 0 && status != quorum.Completed {
				c.violation = "a key that ran was reported as not run"
			}
			for _, witness := range r.Witnesses() {
				c.enqueue(i, witness, msgs.VoteRelease{Scope: r.Request().Scope, Attempt: r.Request().Attempt})
			}
		}
		r.ended = true
		c.outcomes = append(c.outcomes, fmt.Sprintf("%s %d", r.Request().Attempt, status))
	}
	for _, executions := range c.executions {
		if len(executions) > 1 {
			c.violation = fmt.Sprintf("a key ran twice: %v", executions)
		}
	}
}

// runTicks runs the cluster until the given number of ticks has passed.
func (c *cluster) runTicks(ticks int) {
	until := c.now + tickInterval*clock.Millis(ticks)
	for steps := 0; c.now < until && c.violation == "" && steps < 10_000; steps++ {
		c.step(op{})
	}
}

// randomOp returns a random fault or input. At least four out of five are plain deliveries.
func randomOp(random *rand.Rand) op {
	if random.IntN(10) < 8 {
		return op{}
	}
	return op{kind: opKind(random.IntN(int(opKinds))), node: random.IntN(7)}
}
