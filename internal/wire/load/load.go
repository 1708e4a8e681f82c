// Package load encodes the reports of the benchmark tool.
package load

import (
	"encoding/json"

	"mustardhook/internal/tool/bench"
)

type (
	rowWire struct {
		Band          string  `json:"band"`
		Prompts       int     `json:"prompts"`
		Complete      int     `json:"whole"`
		Refused       int     `json:"refused"`
		Late          int     `json:"late"`
		Broken        int     `json:"broken"`
		FirstTokenP50 float64 `json:"firstTokenP50Millis"`
		FirstTokenP95 float64 `json:"firstTokenP95Millis"`
		FirstTokenP99 float64 `json:"firstTokenP99Millis"`
		TokenGapP95   float64 `json:"tokenGapP95Millis"`
	}

	reportWire struct {
		Workload string    `json:"workload"`
		Seconds  float64   `json:"seconds"`
		Tokens   int       `json:"tokens"`
		Rows     []rowWire `json:"bands"`
	}
)

// Encode encodes a report as indented JSON. Latencies are in milliseconds. The error is
// that of the JSON encoder.
func Encode(report bench.Report) ([]byte, error) {
	w := reportWire{Workload: report.Workload, Seconds: report.Seconds, Tokens: report.Tokens}
	for _, row := range report.Rows {
		w.Rows = append(w.Rows, rowWire{
			row.Band, row.Prompts, row.Completed, row.Refused, row.Late, row.Broken, row.FirstTokenP50, row.FirstTokenP95, row.FirstTokenP99, row.TokenGapP95,
		})
	}
	return json.MarshalIndent(w, "", "  ")
}
