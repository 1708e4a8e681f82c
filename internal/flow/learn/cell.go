package learn

import (
	"container/list"
	"math"

	"mustardhook/internal/core/clock"
)

type (
	// Cell is a weighted mean and variance whose evidence is forgotten over time.
	Cell struct {
		Weight, Mean, Variance float64
		updatedAt              clock.Millis
	}

	// cells holds at most MaxCells cells, the least recently updated of which is dropped.
	cells struct {
		cells map[Subject]Cell
		order *list.List
		index map[Subject]*list.Element
	}
)

// Add adds a number of values with the given mean and variance.
func (c *Cell) Add(count, mean, variance float64, halfLife, now clock.Millis) {
	weight := c.weightAt(halfLife, now)
	c.updatedAt = now
	c.Weight = weight + count
	if c.Weight <= 0 {
		return
	}
	difference := mean - c.Mean
	c.Variance = (weight*c.Variance + count*variance + weight*count/c.Weight*difference*difference) / c.Weight
	c.Mean += difference * count / c.Weight
}

// weightAt returns the weight that is left of the evidence.
func (c *Cell) weightAt(halfLife, now clock.Millis) float64 {
	return c.Weight * math.Exp2(-float64(max(now-c.updatedAt, 0))/float64(halfLife))
}

// shrink returns the distribution that the evidence and the prior give together.
func (c Cell) shrink(prior Cell) Cell {
	total := c.Weight + priorWeight
	difference := c.Mean - prior.Mean
	return Cell{
		Weight: total, Mean: (c.Weight*c.Mean + priorWeight*prior.Mean) / total,
		Variance: (c.Weight*c.Variance + priorWeight*prior.Variance + c.Weight*priorWeight/total*difference*difference) / total,
	}
}

func newCells() *cells {
	return &cells{cells: map[Subject]Cell{}, order: list.New(), index: map[Subject]*list.Element{}}
}

func (c *cells) add(key Subject, count, mean, variance float64, now clock.Millis) {
	cell := c.cells[key]
	cell.Add(count, mean, variance, HalfLife, now)
	c.cells[key] = cell
	if element := c.index[key]; element != nil {
		c.order.MoveToFront(element)
		return
	}
	c.index[key] = c.order.PushFront(key)
	if c.order.Len() > MaxCells {
		oldest := c.order.Remove(c.order.Back()).(Subject)
		delete(c.index, oldest)
		delete(c.cells, oldest)
	}
}

// at returns the evidence on a key that is left.
func (c *cells) at(key Subject, now clock.Millis) Cell {
	cell := c.cells[key]
	cell.Weight = cell.weightAt(HalfLife, now)
	return cell
}
