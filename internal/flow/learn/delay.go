package learn

import (
	"math"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/pool"
)

const (
	// PaceHalfLife is the time in which evidence on the pace of an endpoint loses half of its weight. It
	// is short, so that an endpoint that has recovered is used again.
	PaceHalfLife = 5 * clock.Second
	// paceWeight is the number of answers that count as much as the assumption that the pace is normal.
	paceWeight = 4.0
	maxPace    = 8.0

	// DefaultWay is the price of the way to another failure domain of which nothing is known, in
	// milliseconds, and wayWeight the evidence that counts as much.
	DefaultWay = 5.0
	wayWeight  = 16.0
	// MaxWay bounds the price of a way.
	MaxWay = 50.0
	// wayDeviation is the deviation in milliseconds from which on an answer counts for less than one.
	wayDeviation = 10.0
)

// Delays holds how much longer answers took than predicted, by endpoint and by failure domain.
type Delays struct {
	paces map[pool.Hash]*Cell
	ways  map[ident.Domain]*Cell
}

// NewDelays returns delays without evidence.
func NewDelays() *Delays {
	return &Delays{paces: map[pool.Hash]*Cell{}, ways: map[ident.Domain]*Cell{}}
}

// Observe adds evidence: an answer took actual milliseconds in place of predicted, and deviation is how much
// its cost varies.
func (d *Delays) Observe(endpoint pool.Hash, domain ident.Domain, actual, predicted, deviation float64, now clock.Millis) {
	if predicted <= 0 {
		return
	}
	cellOf(d.paces, endpoint).Add(1, math.Log(max(actual, 1)/predicted), 0, PaceHalfLife, now)
	weight := 1 / (1 + deviation*deviation/wayDeviation/wayDeviation)
	cellOf(d.ways, domain).Add(weight, min(max(actual-predicted, -MaxWay), MaxWay), 0, HalfLife, now)
}

func cellOf[K comparable](cells map[K]*Cell, key K) *Cell {
	if cells[key] == nil {
		if len(cells) >= MaxCells {
			clear(cells)
		}
		cells[key] = &Cell{}
	}
	return cells[key]
}

// Pace returns by which factor the endpoint is slower than predicted, as far as it exceeds the error of the
// evidence; 1 if it is not.
func (d *Delays) Pace(endpoint pool.Hash, now clock.Millis) float64 {
	cell := d.paces[endpoint]
	if cell == nil {
		return 1
	}
	if cell.Mean <= 0 {
		return 1
	}
	weight := cell.weightAt(PaceHalfLife, now)
	total := weight + paceWeight
	deviation := math.Sqrt((weight*cell.Variance + paceWeight*priorVariance) / total / total)
	return math.Exp(min(max(cell.Mean*weight/total-deviation, 0), math.Log(maxPace)))
}

// Way returns the price of the way from the failure domain of the entry to another one, in milliseconds.
func (d *Delays) Way(home, domain ident.Domain) float64 {
	if domain == home {
		return 0
	}
	price := DefaultWay
	if there, here := d.ways[domain], d.ways[home]; there != nil && here != nil {
		weight := min(there.Weight, here.Weight)
		price = (weight*(there.Mean-here.Mean) + wayWeight*DefaultWay) / (weight + wayWeight)
	}
	return min(max(price, 0), MaxWay)
}
