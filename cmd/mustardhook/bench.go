package main

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"mustardhook/internal/core/ident"
	"mustardhook/internal/fake/stack"
	"mustardhook/internal/serve/logs"
	"mustardhook/internal/tool/bench"
	"mustardhook/internal/tool/client"
	"mustardhook/internal/wire/load"
)

type (
	// benchFlags holds the flags of the bench command.
	benchFlags struct {
		workload     string
		urls         []string
		model        string
		organisation string
		report       string
		json         bool
		pid          int
		entries      int
		engines      int
	}
)

func newBench() *cobra.Command {
	f := &benchFlags{}
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Send prompts of mixed lengths to entries and report response times by length",
		Long: "Without --url, it starts stand-ins and entries on loopback addresses in this process. The rate and\n" +
			"duration of the workload limit the load.",
		Example: "  mustardhook bench --workload examples/workloads/cork.jsonc --report cork.svg",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	cmd.Flags().StringVar(&f.workload, "workload", "", "workload file (default: a built-in mixed workload)")
	cmd.Flags().StringSliceVar(&f.urls, "url", nil, "URL of an entry's port for callers, as http://ADDRESS:PORT; may be repeated")
	cmd.Flags().StringVar(&f.model, "model", stack.ModelName, "model to request")
	cmd.Flags().StringVar(&f.organisation, "organisation", stack.OrganisationName, "organisation that sends the requests")
	cmd.Flags().StringVar(&f.report, "report", "", "write a plot of the report to this file (svg, png or pdf)")
	cmd.Flags().BoolVar(&f.json, "json", false, "print the report as JSON")
	cmd.Flags().IntVar(&f.pid, "pid", 0, "report the processor time and memory of the process with this ID")
	cmd.Flags().IntVar(&f.entries, "entries", 3, "number of entries to start without --url")
	cmd.Flags().IntVar(&f.engines, "engines", 6, "number of engines to start without --url")
	return cmd
}

func (f *benchFlags) run(cmd *cobra.Command) error {
	workload := bench.Mixed()
	if f.workload != "" {
		text, err := os.ReadFile(f.workload)
		if err != nil {
			return errors.Wrap(err, "read workload")
		}
		if workload, err = bench.ParseWorkload(f.workload, text); err != nil {
			return err
		}
	}
	if len(f.urls) == 0 {
		started, err := f.startCluster()
		if err != nil {
			return err
		}
		defer started.Close()
	}
	before, err := f.readUsage()
	if err != nil {
		return err
	}
	start := time.Now()
	report := bench.Run(cmd.Context(), client.New(f.organisation), bench.Target{URLs: f.urls, Model: f.model}, workload,
		func(sent int) { cmd.PrintErrf("\r%d prompts sent", sent) })
	cmd.PrintErrln()
	after, err := f.readUsage()
	if err != nil {
		return err
	}
	if f.pid > 0 {
		cmd.Printf("process %d: %.1f%% of a core, %.1f MB resident\n", f.pid,
			100*(after.CPUSeconds-before.CPUSeconds)/time.Since(start).Seconds(), float64(after.ResidentBytes)/1e6)
	}
	return f.print(cmd, report)
}

// readUsage returns the usage of the process selected by --pid, or zero without it.
func (f *benchFlags) readUsage() (bench.Usage, error) {
	if f.pid == 0 {
		return bench.Usage{}, nil
	}
	return bench.ReadUsage(f.pid)
}

// startCluster starts a cluster in this process and sets the URLs of its entries as the
// targets.
func (f *benchFlags) startCluster() (*stack.Cluster, error) {
	started, err := stack.Start(stack.Spec{
		Domains: []ident.Domain{"north", "south", "harbour"}, Entries: f.entries, Engines: f.engines, Services: 3,
		Logger: logs.Discard(), Seed: 1,
	})
	if err != nil {
		return nil, err
	}
	for _, entry := range started.Entries {
		f.urls = append(f.urls, entry.URL(""))
	}
	return started, nil
}

func (f *benchFlags) print(cmd *cobra.Command, report bench.Report) error {
	if f.report != "" {
		if err := report.Plot(f.report); err != nil {
			return err
		}
	}
	if !f.json {
		cmd.Print(report.Table())
		return nil
	}
	text, err := load.Encode(report)
	if err != nil {
		return err
	}
	cmd.Println(string(text))
	return nil
}
