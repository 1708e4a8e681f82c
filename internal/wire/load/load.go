// Package load maps the reports of the load tool.
package load

import (
	"encoding/json"

	"mustardhook/internal/tool/bench"
)

type (
	rowWire struct {
		Band     string  `json:"band"`
		Prompts  int     `json:"prompts"`
		Whole    int     `json:"whole"`
		Refused  int     `json:"refused"`
		Late     int     `json:"late"`
		Broken   int     `json:"broken"`
		P50      float64 `json:"firstTokenP50Millis"`
		P95      float64 `json:"firstTokenP95Millis"`
		P99      float64 `json:"firstTokenP99Millis"`
		TokenGap float64 `json:"tokenGapP95Millis"`
	}

	reportWire struct {
		Workload string    `json:"workload"`
		Seconds  float64   `json:"seconds"`
		Tokens   int       `json:"tokens"`
		Rows     []rowWire `json:"bands"`
	}
)

// Encode maps a report.
func Encode(report bench.Report) ([]byte, error) {
	w := reportWire{Workload: report.Workload, Seconds: report.Seconds, Tokens: report.Tokens}
	for _, row := range report.Rows {
		w.Rows = append(w.Rows, rowWire{
			row.Band, row.Prompts, row.Completed, row.Refused, row.Late, row.Broken, row.P50, row.P95, row.P99, row.Gap,
		})
	}
	return json.MarshalIndent(w, "", "  ")
}
