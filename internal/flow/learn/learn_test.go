package learn

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/pool"
)

const limit = 4 * clock.Second

func subject(route, organisation, path string) Subject {
	return NewSubject("desk", route, ident.Organisation(organisation), path, 600)
}

// observe adds a number of observations of a cost, one each 100 ms.
func observe(e *Estimator, s Subject, count int, cost, now clock.Millis) clock.Millis {
	for range count {
		now += 100
		e.Observe(s, cost, limit, 1, now)
	}
	return now
}

// Guards against callers that grow the memory of an entry with names and paths of their own.
func TestMemoryIsBounded(t *testing.T) {
	e, delays := New(), NewDelays()
	for i := range 3 * MaxCells {
		s := NewSubject(ident.Service(fmt.Sprint(i)), fmt.Sprint(i), ident.Organisation(fmt.Sprint(i)), fmt.Sprint(i), i)
		e.Observe(s, 20, limit, 1, clock.Millis(i))
		e.Forward(Sketch{{Subject: s, Count: 1}}, true)
		delays.Observe(pool.Hash(i), ident.Domain(fmt.Sprint(i)), 20, 20, 1, clock.Millis(i))
	}
	for _, level := range e.levels {
		require.LessOrEqual(t, len(level.elements), MaxCells)
		require.Equal(t, len(level.elements), level.order.Len())
	}
	require.LessOrEqual(t, len(e.services), MaxCells)
	require.LessOrEqual(t, max(len(e.own), len(e.remote)), maxPending)
	require.LessOrEqual(t, max(len(delays.paces), len(delays.ways)), MaxCells)
}

// Guards against a caller whose requests cost much, or little, and make those of others look alike: the
// estimate of another caller must stay within a factor of 1.5.
func TestHostileCallerMovesNoOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New()
		honest := subject("order", "city", "list")
		honestCost := clock.Millis(rapid.IntRange(5, 500).Draw(t, "cost"))
		now := observe(e, honest, 20, honestCost, 0)
		before := e.Estimate(honest, now).Mean
		hostileCost := clock.Millis(rapid.Int64Range(math.MinInt32, math.MaxInt32).Draw(t, "hostile"))
		paths := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,4}/?[a-z]?`), 1, 20).Draw(t, "paths")
		for i := range rapid.IntRange(1, 2000).Draw(t, "count") {
			e.Observe(subject("order", "hostile", paths[i%len(paths)]), hostileCost, limit, 1, now+clock.Millis(i))
		}
		e.Merge(Sketch{{Subject: honest, Count: math.Inf(1)}, {Subject: honest, Count: 1, Mean: math.NaN()}, {Subject: honest, Count: 1, Mean: 99}}, now)
		now += 2 * clock.Second
		require.InDelta(t, 0, math.Log(e.Estimate(honest, now).Mean/before), math.Log(1.5))
		require.LessOrEqual(t, e.Estimate(subject("order", "new", "list"), now).Mean, math.Exp(maxVariance)*float64(limit))
	})
}

// Guards against costs of the past: after a change the estimate must follow within some requests, and
// evidence must vanish.
func TestCostsAreForgotten(t *testing.T) {
	e := New()
	s := subject("order", "city", "list")
	now := observe(e, s, 200, 20, 0)
	require.InDelta(t, 20, e.Estimate(s, now).Mean, 10)
	now = observe(e, s, 100, 400, now+2*HalfLife)
	require.InDelta(t, 400, e.Estimate(s, now).Mean, 100)
	require.Less(t, e.Estimate(s, now+10*HalfLife).Weight, 1.0)
}

// A route of which nothing is known must start from its service, and one whose requests differ by path or organisation
// must tell them apart after some of them.
func TestEstimateFollowsTheFinestKey(t *testing.T) {
	e := New()
	require.Zero(t, e.Estimate(subject("order", "city", "list"), 0))
	now := observe(e, subject("order", "city", "list"), 30, 50, 0)
	require.InDelta(t, 50, e.Estimate(subject("new", "other", "list"), now).Mean, 25)
	now = observe(e, subject("order", "city", "export"), 10, 1000, now)
	require.Greater(t, e.Estimate(subject("order", "city", "export"), now).Mean, 10*e.Estimate(subject("order", "city", "list"), now).Mean)
	now = observe(e, subject("order", "city", "list"), 30, 50, now)
	require.True(t, e.Mix(subject("order", "city", "export"), now).Differs)
	// Another caller of the same path has not sent any request yet.
	other := e.Estimate(subject("order", "other", "export"), now).Mean
	require.Greater(t, other, 2*e.Estimate(subject("order", "other", "list"), now).Mean)
}

// Guards against a choice by cost in deployments whose requests differ by chance only.
func TestEqualCostsDoNotDiffer(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for seed := range 20 {
		e := New()
		for i := range 1500 {
			cost := 60 * math.Exp(0.5*random.NormFloat64())
			if random.IntN(100) == 0 {
				cost *= 5
			}
			organisation := fmt.Sprint(int(24 * random.Float64() * random.Float64()))
			s := NewSubject("desk", fmt.Sprint(i%2), ident.Organisation(organisation), fmt.Sprint(random.IntN(60)), random.IntN(1200))
			now := clock.Millis(i * 64)
			e.Observe(s, clock.Millis(cost), limit, 1, now)
			require.False(t, e.Mix(s, now).Differs, "seed %d, request %d", seed, i)
		}
	}
}

// Guards against sketches that are lost or come twice: the estimate must not change by more than a factor of 1.5.
func TestSketchesSurviveLossAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, target := New(), New()
		s := subject("order", "city", "list")
		now := clock.Millis(0)
		source.Observe(s, 200, limit, 1, now+foldInterval)
		source.Share(s, true)
		for range rapid.IntRange(3, 10).Draw(t, "sketches") {
			now = observe(source, s, 10, 200, now)
			sketch := source.TakeOwn()
			require.LessOrEqual(t, len(sketch), MaxRows)
			for range rapid.IntRange(0, 2).Draw(t, "copies") {
				target.Merge(sketch, now)
			}
		}
		require.Empty(t, source.TakeOwn())
		if got := target.Estimate(s, now); got.Weight > 0 {
			require.InDelta(t, 0, math.Log(got.Mean/source.Estimate(s, now).Mean), math.Log(1.5))
		}
	})
}

// Guards against an endpoint that is slow for a while and shunned forever, and against noise that counts as a pace.
func TestPaceIsForgotten(t *testing.T) {
	d := NewDelays()
	now := clock.Millis(0)
	for range 20 {
		now += 100
		d.Observe(1, "north", 400, 50, 10, now)
		d.Observe(2, "north", 55, 50, 10, now)
	}
	require.Greater(t, d.Pace(1, now), 3.0)
	require.Less(t, d.Pace(2, now), 1.2)
	require.Less(t, d.Pace(1, now+4*PaceHalfLife), 1.5)
	require.LessOrEqual(t, d.Way("south", "north"), MaxWay)
	require.Zero(t, d.Way("north", "north"))
}
