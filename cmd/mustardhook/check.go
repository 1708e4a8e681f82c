package main

import (
	"os"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"mustardhook/internal/flow/verify"
	"mustardhook/internal/wire/report"
	"mustardhook/internal/wire/strict"
	"mustardhook/platform"
)

const (
	formatText = "text"
	formatJSON = "json"
)

type (
	// invalidConfigurationError reports that a check has found errors.
	invalidConfigurationError struct {
		file  string
		count int
	}

	// formatError reports an unknown format of the output.
	formatError struct{ format string }

	checkOptions struct {
		inForce string
		format  string
	}
)

// Error returns a message with the file and the number of errors.
func (e *invalidConfigurationError) Error() string {
	return e.file + " has errors: " + strconv.Itoa(e.count)
}

// Error returns a message with the format.
func (e *formatError) Error() string { return "unknown format " + strconv.Quote(e.format) }

func newCheck() *cobra.Command {
	var o checkOptions
	cmd := &cobra.Command{
		Use:   "check FILE [--in-force FILE] [--format text|json]",
		Short: "Check a configuration of the relay before it is published",
		Long: "Reads a configuration as it would be published and prints its errors, the entries that can never take\n" +
			"effect, the limits that contradict each other, and what differs from the configuration in force.\n" +
			"The exit code is 1 if there are errors, and 0 if there are only warnings.",
		Example: "  mustardhook check next.json --in-force current.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			result, err := checkConfiguration(files[0], o.inForce)
			if err != nil {
				return err
			}
			if err := printReport(cmd, result, o.format); err != nil {
				return err
			}
			if count := countErrors(result); count > 0 {
				return &invalidConfigurationError{files[0], count}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&o.inForce, "in-force", "", "configuration that is in force")
	cmd.Flags().StringVar(&o.format, "format", formatText, "format of the output: text or json")
	return cmd
}

// checkConfiguration checks a file, and compares it with the one in force if there is one.
func checkConfiguration(file, inForceFile string) (report.Report, error) {
	var result report.Report
	next, err := readConfiguration(file)
	var invalid strict.FileErrors
	if errors.As(err, &invalid) {
		for _, one := range invalid {
			result.Findings = append(result.Findings, report.Finding{Level: verify.LevelError, At: one})
		}
		return result, nil
	}
	if err != nil {
		return result, err
	}
	findings := verify.Check(next.Declared)
	if inForceFile != "" {
		inForce, err := readConfiguration(inForceFile)
		if err != nil {
			return result, err
		}
		findings = append(verify.CheckSuccessor(inForce.Declared, next.Declared), findings...)
		result.Differences = verify.Diff(inForce.Declared, next.Declared)
	}
	for _, finding := range findings {
		result.Findings = append(result.Findings, report.Finding{Level: finding.Level, At: next.Locate(finding)})
	}
	return result, nil
}

func readConfiguration(file string) (*platform.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	return platform.ReadDocument(file, text)
}

func printReport(cmd *cobra.Command, result report.Report, format string) error {
	switch format {
	case formatText:
		printText(cmd, result)
		return nil
	case formatJSON:
		text, err := report.Encode(result)
		if err != nil {
			return err
		}
		cmd.Println(string(text))
		return nil
	}
	return &formatError{format}
}

func printText(cmd *cobra.Command, result report.Report) {
	for _, finding := range result.Findings {
		cmd.Printf("%s: %s\n", finding.Level, finding.At.Error())
	}
	for _, difference := range result.Differences {
		if difference.Field == "" {
			cmd.Printf("%s: %s %s\n", difference.Change, difference.Kind, difference.Name)
			continue
		}
		cmd.Printf("%s: %s %s: %s from %s to %s\n", difference.Change, difference.Kind, difference.Name, difference.Field,
			strconv.Quote(difference.From), strconv.Quote(difference.To))
	}
	if len(result.Findings) == 0 {
		cmd.Println("no findings")
	}
}

func countErrors(result report.Report) int {
	count := 0
	for _, finding := range result.Findings {
		if finding.Level == verify.LevelError {
			count++
		}
	}
	return count
}
