package learn

import (
	"container/list"
	"math"

	"mustardhook/internal/core/clock"
)

// decaySteps is the number of steps in which evidence loses half of its weight.
const decaySteps = 64

type (
	// Cell is a weighted mean and variance whose evidence is forgotten over time.
	Cell struct {
		Weight, Mean, Variance float64
		decayedAt              clock.Millis
	}

	// cells holds at most MaxCells cells, the least recently updated of which is dropped.
	cells struct {
		elements map[Subject]*list.Element
		order    *list.List
	}

	// keyedCell is the cell of one key.
	keyedCell struct {
		Cell
		key Subject
	}
)

// Add adds a number of values with the given mean and variance.
func (c *Cell) Add(count, mean, variance float64, halfLife, now clock.Millis) {
	c.decay(halfLife, now)
	c.add(count, mean, variance, math.Inf(1))
}

// add adds values. The evidence before counts as at most inertia of them.
func (c *Cell) add(count, mean, variance, inertia float64) {
	previous := min(c.Weight, inertia)
	total := previous + count
	if total <= 0 {
		return
	}
	difference := mean - c.Mean
	c.Variance = (previous*c.Variance + count*variance + previous*count/total*difference*difference) / total
	c.Mean += difference * count / total
	c.Weight += count
}

// decay reduces the weight of the evidence to what is left of it.
func (c *Cell) decay(halfLife, now clock.Millis) {
	if c.isDecayDue(halfLife, now) {
		c.Weight = c.weightAt(halfLife, now)
		c.decayedAt = now
	}
}

func (c *Cell) isDecayDue(halfLife, now clock.Millis) bool {
	return decaySteps*(now-c.decayedAt) >= halfLife
}

// weightAt returns the weight that is left of the evidence.
func (c *Cell) weightAt(halfLife, now clock.Millis) float64 {
	if !c.isDecayDue(halfLife, now) {
		return c.Weight
	}
	return c.Weight * math.Exp(-math.Ln2*float64(now-c.decayedAt)/float64(halfLife))
}

// shrink returns the distribution that the evidence and the prior give together.
func (c Cell) shrink(prior Cell) Cell {
	total := c.Weight + priorWeight
	return Cell{
		Weight: total, Mean: (c.Weight*c.Mean + priorWeight*prior.Mean) / total,
		Variance: (c.Weight*c.Variance + priorWeight*prior.Variance) / total,
	}
}

func newCells() *cells { return &cells{elements: map[Subject]*list.Element{}, order: list.New()} }

func (c *cells) add(key Subject, count, mean, variance float64, now clock.Millis) {
	element := c.elements[key]
	if element == nil {
		if c.order.Len() >= MaxCells {
			delete(c.elements, c.order.Remove(c.order.Back()).(*keyedCell).key)
		}
		element = c.order.PushFront(&keyedCell{key: key})
		c.elements[key] = element
	}
	c.order.MoveToFront(element)
	cell := element.Value.(*keyedCell)
	cell.decay(HalfLife, now)
	cell.add(count, mean, variance, maxInertia)
}

// at returns the evidence on a key that is left.
func (c *cells) at(key Subject, now clock.Millis) Cell {
	element := c.elements[key]
	if element == nil {
		return Cell{}
	}
	cell := element.Value.(*keyedCell).Cell
	cell.Weight = cell.weightAt(HalfLife, now)
	return cell
}
