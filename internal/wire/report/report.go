// Package report encodes the result of the check of a configuration as JSON.
package report

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"mustardhook/internal/flow/verify"
	"mustardhook/internal/wire/strict"
)

type (
	// Finding is a problem of a configuration at its place in the file.
	Finding struct {
		Level verify.Level
		At    strict.FileError
	}

	// Report is the result of a check.
	Report struct {
		Findings    []Finding
		Differences []verify.Difference
	}

	jsonReport struct {
		Findings    []jsonFinding    `json:"findings"`
		Differences []jsonDifference `json:"differences"`
	}

	jsonFinding struct {
		Level   string `json:"level"`
		File    string `json:"file"`
		Line    int    `json:"line"`
		Column  int    `json:"column"`
		Field   string `json:"field,omitempty"`
		Problem string `json:"problem"`
	}

	jsonDifference struct {
		Change string `json:"change"`
		Kind   string `json:"kind"`
		Name   string `json:"name"`
		Field  string `json:"field,omitempty"`
		From   string `json:"from,omitempty"`
		To     string `json:"to,omitempty"`
	}
)

// Encode returns the report as indented JSON.
func Encode(r Report) ([]byte, error) {
	encoded := jsonReport{Findings: []jsonFinding{}, Differences: []jsonDifference{}}
	for _, f := range r.Findings {
		encoded.Findings = append(encoded.Findings, jsonFinding{
			Level: string(f.Level), File: f.At.File, Line: f.At.Line, Column: f.At.Column, Field: f.At.Field, Problem: f.At.Reason,
		})
	}
	for _, d := range r.Differences {
		encoded.Differences = append(encoded.Differences, jsonDifference{
			Change: string(d.Change), Kind: string(d.Kind), Name: d.Name, Field: d.Field, From: d.From, To: d.To,
		})
	}
	text, err := json.MarshalIndent(encoded, "", "  ")
	return text, errors.Wrap(err, "encode report")
}
