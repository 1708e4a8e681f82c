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
	// benchFlags are the flags of the load tool.
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
		Short: "Put load of mixed prompt lengths on entries and report times by length",
		Long: "Without --url it starts stand-ins and entries in this process. The load is bounded by the workload's\n" +
			"rate and time, and goes to loopback addresses unless --url says otherwise.",
		Example: "  mustardhook bench --workload examples/workloads/cork.jsonc --report cork.svg",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	cmd.Flags().StringVar(&f.workload, "workload", "", "workload file; without it, a mixed workload")
	cmd.Flags().StringSliceVar(&f.urls, "url", nil, "callers' ports of entries, as http://ADDRESS:PORT")
	cmd.Flags().StringVar(&f.model, "model", stack.ModelName, "model to ask")
	cmd.Flags().StringVar(&f.organisation, "organisation", stack.OrganisationName, "organisation to ask as")
	cmd.Flags().StringVar(&f.report, "report", "", "file for a plot (svg, png or pdf)")
	cmd.Flags().BoolVar(&f.json, "json", false, "print JSON")
	cmd.Flags().IntVar(&f.pid, "pid", 0, "process whose processor time and memory to report")
	cmd.Flags().IntVar(&f.entries, "entries", 3, "entries to start without --url")
	cmd.Flags().IntVar(&f.engines, "engines", 6, "engines to start without --url")
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
	began := time.Now()
	report := bench.Run(cmd.Context(), client.New(f.organisation), bench.Target{URLs: f.urls, Model: f.model}, workload,
		func(sent int) { cmd.PrintErrf("\r%d prompts sent", sent) })
	cmd.PrintErrln()
	after, err := f.readUsage()
	if err != nil {
		return err
	}
	if f.pid > 0 {
		cmd.Printf("process %d: %.1f%% of a core, %.1f MB resident\n", f.pid,
			100*(after.Seconds-before.Seconds)/time.Since(began).Seconds(), float64(after.Resident)/1e6)
	}
	return f.print(cmd, report)
}

func (f *benchFlags) readUsage() (bench.Usage, error) {
	if f.pid == 0 {
		return bench.Usage{}, nil
	}
	return bench.ReadUsage(f.pid)
}

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
