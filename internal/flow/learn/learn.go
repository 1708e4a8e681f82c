// Package learn estimates what requests cost their endpoints, from what earlier ones took.
package learn

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

const (
	// HalfLife is the time in which evidence on costs loses half of its weight.
	HalfLife = 60 * clock.Second
	// MaxCells bounds the keys of each level. The least recently used ones are dropped.
	MaxCells = 4096

	pathBuckets = 64
	// sizeFactorBits is the binary logarithm of the ratio of the sizes in one bucket.
	sizeFactorBits = 2
	// priorWeight is the number of observations that a key needs to count as much as the
	// coarser one.
	priorWeight = 2.0
	// maxInertia bounds the evidence that new evidence on a key is weighed against, so that a change shows
	// after as many requests.
	maxInertia = 32.0
	// priorVariance is the variance of the logarithm of a cost of which little is known, and
	// maxVariance bounds the one that an estimate uses.
	priorVariance = 0.5
	maxVariance   = 1.0
	// minDifference is the standard deviation, of the logarithms of the estimates of a service,
	// from which on its costs differ. minEvidence is the number of observations that it takes.
	minDifference = 0.4
	minEvidence   = 20.0
	// foldInterval is the time between two additions of own evidence.
	foldInterval = 100 * clock.Millis(1)
	// maxEstimateAge is how long an estimate is used if the evidence does not change.
	maxEstimateAge = 1 * clock.Second
	// rateHalfLife is the time in which evidence on the rate of requests loses half of its weight. That of
	// other entries is up to evidenceLag late. Before minSpan the rate is not known well enough.
	rateHalfLife = 10 * clock.Second
	evidenceLag  = 3 * clock.Second
	minSpan      = 2 * evidenceLag
	// ownPrior is the number of requests of this entry that count as much as the assumption that it has none.
	ownPrior = 10.0
)

// The levels of keys, from coarse to fine.
const (
	levelService = iota
	levelRoute
	levelSize
	levelPath
	levelOrganisation
	levelAll
	levelCount
)

type (
	// Subject is what is known of a request before it runs. It holds hashes, so that its size does
	// not depend on what callers send.
	Subject struct {
		Service, Route, Organisation uint32
		Path, Size                   uint8
	}

	// Observation is the evidence of a number of requests that are alike.
	Observation struct {
		Subject Subject
		// Count is the number of requests; fractions are partial evidence. Mean and Variance
		// are those of the logarithms of their costs in milliseconds.
		Count, Mean, Variance float64
	}

	// Estimate is what a request is expected to cost, in milliseconds. Weight is the evidence on
	// its service, zero if there is none.
	Estimate struct{ Mean, Deviation, Weight float64 }

	// Mix is how the requests of a service differ. Differs reports whether they are known to differ in
	// cost, BusySlots is how many slots they keep busy on average, OwnSlots how many those of this entry do at least,
	// and MeanCost their mean cost in milliseconds.
	Mix struct {
		Differs                       bool
		BusySlots, OwnSlots, MeanCost float64
	}

	// Estimator holds what was learned.
	Estimator struct {
		levels   [levelCount]*cells
		services map[uint32]*service
		// fresh holds the evidence of this entry since foldedAt, which is added to the cells at intervals.
		fresh    pending
		foldedAt clock.Millis
		// own holds the evidence for the entries of this failure domain that was not passed on
		// yet, and remote that of other failure domains.
		own, remote pending
		// estimates holds those given since estimatedAt, unless the cells have changed.
		estimates   map[Subject]Estimate
		estimatedAt clock.Millis
	}

	// service sums up the evidence on one service.
	service struct {
		// difference is the distribution of the logarithms of the estimates about that of the service.
		difference Cell
		// work is the decayed distribution of the costs since startedAt, and ownWork that of this entry.
		work, ownWork Cell
		startedAt     clock.Millis
		// isShared reports whether other entries get the evidence of this one.
		isShared bool
	}
)

// NewSubject returns the subject of a request. path is the part of its path after the prefix of the
// route, and size the size of the request in bytes or tokens.
func NewSubject(service ident.Service, route string, organisation ident.Organisation, path string, size int) Subject {
	segment := path
	for i := range len(path) {
		if path[i] == '/' || path[i] == '?' {
			segment = path[:i]
			break
		}
	}
	return Subject{
		Service: hash(string(service)), Route: hash(route), Organisation: hash(string(organisation)),
		Path: uint8(xxhash.Sum64String(segment) % pathBuckets), Size: sizeBucket(size),
	}
}

func hash(text string) uint32 { return uint32(xxhash.Sum64String(text)) }

func sizeBucket(size int) uint8 {
	bucket := uint8(0)
	for ; size > 0; size >>= sizeFactorBits {
		bucket++
	}
	return bucket
}

// key returns the key of the subject at a level.
func (s Subject) key(level int) Subject {
	switch level {
	case levelService:
		return Subject{Service: s.Service}
	case levelRoute:
		return Subject{Service: s.Service, Route: s.Route}
	case levelSize:
		return Subject{Service: s.Service, Route: s.Route, Size: s.Size}
	case levelPath:
		return Subject{Service: s.Service, Route: s.Route, Path: s.Path}
	case levelOrganisation:
		return Subject{Service: s.Service, Route: s.Route, Organisation: s.Organisation}
	}
	return s
}

// New returns an estimator without evidence.
func New() *Estimator {
	e := &Estimator{services: map[uint32]*service{}, fresh: pending{}, own: pending{}, remote: pending{}, estimates: map[Subject]Estimate{}}
	for level := range e.levels {
		e.levels[level] = newCells()
	}
	return e
}

// Observe adds evidence of this entry. The cost is taken to be at most limit; weight is the part of an
// observation that it counts as.
func (e *Estimator) Observe(subject Subject, cost, limit clock.Millis, weight float64, now clock.Millis) {
	e.fresh.add(Observation{Subject: subject, Count: weight, Mean: math.Log(float64(max(min(cost, limit), 1)))})
	if now-e.foldedAt >= foldInterval {
		e.fold(now)
	}
}

// fold adds the evidence of this entry to the cells.
func (e *Estimator) fold(now clock.Millis) {
	e.foldedAt = now
	for _, o := range e.fresh.take(maxPending) {
		e.add(o, now)
		if total := e.services[o.Subject.Service]; total != nil {
			total.ownWork.Add(o.Count, o.cost(), 0, rateHalfLife, now)
			if total.isShared {
				e.own.add(o)
			}
		}
	}
}

// add adds evidence to the keys of its subject. The requests of one organisation weigh in a key that it
// shares with others by the logarithm of their number.
func (e *Estimator) add(o Observation, now clock.Millis) {
	if !o.isValid() {
		return
	}
	clear(e.estimates)
	e.addToService(o, now)
	ofCaller := e.levels[levelOrganisation].at(o.Subject.key(levelOrganisation), now).Weight
	ofSubject := e.levels[levelAll].at(o.Subject, now).Weight
	for level, cells := range e.levels {
		count := o.Count
		switch level {
		case levelService, levelRoute:
			count = math.Log1p(count / (1 + ofCaller))
		case levelSize, levelPath:
			count = math.Log1p(count / (1 + ofSubject))
		}
		cells.add(o.Subject.key(level), count, o.Mean, o.Variance, now)
	}
}

// addToService adds evidence to the sums of its service. Whether costs differ is told from what was
// estimated before.
func (e *Estimator) addToService(o Observation, now clock.Millis) {
	total := e.services[o.Subject.Service]
	if total == nil {
		if len(e.services) >= MaxCells {
			return
		}
		total = &service{startedAt: now}
		e.services[o.Subject.Service] = total
	}
	total.work.Add(o.Count, o.cost(), 0, rateHalfLife, now)
	base := e.levels[levelService].at(o.Subject.key(levelService), now)
	total.difference.Add(o.Count, e.blend(o.Subject, now).Mean-base.Mean, 0, HalfLife, now)
}

// Estimate returns what a request is expected to cost.
func (e *Estimator) Estimate(subject Subject, now clock.Millis) Estimate {
	if now-e.estimatedAt >= maxEstimateAge {
		e.estimatedAt = now
		clear(e.estimates)
	}
	if known, isKnown := e.estimates[subject]; isKnown {
		return known
	}
	weight := e.levels[levelService].at(subject.key(levelService), now).Weight
	if weight == 0 {
		return Estimate{}
	}
	blended := e.blend(subject, now)
	variance := min(blended.Variance, maxVariance)
	mean := math.Exp(blended.Mean + variance/2)
	estimate := Estimate{Mean: mean, Deviation: mean * math.Sqrt(math.Exp(variance)-1), Weight: weight}
	if len(e.estimates) >= maxPending {
		clear(e.estimates)
	}
	e.estimates[subject] = estimate
	return estimate
}

// blend returns the distribution of the logarithm of the cost. The finest key that has evidence
// weighs most; among size, path and organisation it follows the one that leaves the least variance.
func (e *Estimator) blend(subject Subject, now clock.Millis) Cell {
	at := func(level int) Cell { return e.levels[level].at(subject.key(level), now) }
	base := at(levelService)
	base = base.shrink(Cell{Mean: base.Mean, Variance: priorVariance})
	base = at(levelRoute).shrink(base)
	best := base
	for level := levelSize; level <= levelOrganisation; level++ {
		if next := at(level).shrink(base); next.Variance < best.Variance {
			best = next
		}
	}
	return at(levelAll).shrink(best)
}

// Mix returns how the requests of a service differ.
func (e *Estimator) Mix(subject Subject, now clock.Millis) Mix {
	total := e.services[subject.Service]
	if total == nil {
		return Mix{}
	}
	span := now - total.startedAt
	seen := 1 - math.Exp(-math.Ln2*float64(max(span, minSpan)-evidenceLag)/float64(rateHalfLife))
	busySlots := func(work Cell) float64 {
		return work.weightAt(rateHalfLife, now) * work.Mean * math.Ln2 / float64(rateHalfLife) / seen
	}
	own := total.ownWork.weightAt(rateHalfLife, now)
	return Mix{
		Differs: span >= minSpan && total.difference.weightAt(HalfLife, now) >= minEvidence &&
			total.difference.Variance >= minDifference*minDifference,
		BusySlots: busySlots(total.work), OwnSlots: busySlots(total.ownWork) * own / (own + ownPrior), MeanCost: total.work.Mean,
	}
}

// Share sets whether other entries get the evidence of this one on a service.
func (e *Estimator) Share(subject Subject, isShared bool) {
	if total := e.services[subject.Service]; total != nil {
		total.isShared = isShared
	}
}
