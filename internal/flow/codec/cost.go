package codec

import (
	"math"

	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/learn"
	"mustardhook/internal/flow/newspb"
)

const (
	// Counts of requests are sent as multiples of 1/countScale, logarithms as multiples of 1/logScale.
	countScale = 16
	logScale   = 256
)

func encodeCosts(sketch learn.Sketch) []*newspb.Cost {
	var rows []*newspb.Cost
	for _, row := range sketch {
		rows = append(rows, &newspb.Cost{
			Service: row.Subject.Service, Route: row.Subject.Route, Organisation: row.Subject.Organisation,
			Path: uint32(row.Subject.Path), Size: uint32(row.Subject.Size), Count: uint32(math.Ceil(row.Count * countScale)),
			Mean: uint32(math.Round(row.Mean * logScale)), Variance: uint32(math.Round(row.Variance * logScale)),
		})
	}
	return rows
}

func decodeCosts(batch *input.Batch, rows []*newspb.Cost) {
	for _, row := range rows[:min(len(rows), learn.MaxRows+learn.MaxRemoteRows)] {
		batch.Costs = append(batch.Costs, learn.Observation{
			Subject: learn.Subject{
				Service: row.Service, Route: row.Route, Organisation: row.Organisation, Path: uint8(row.Path), Size: uint8(row.Size),
			},
			Count: float64(row.Count) / countScale, Mean: float64(row.Mean) / logScale, Variance: float64(row.Variance) / logScale,
		})
	}
}
