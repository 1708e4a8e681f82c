// Command mustardhook runs an entry of the serving layer and the tools for its
// operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// version is the release; the build may set it.
var version = "0.1.0-dev"

func main() {
	// A second signal does not cut what is in flight: the context ends once, and
	// the signals stay caught.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// Settings are read anew at a start; a notice of a change must not end the process.
	signal.Ignore(syscall.SIGHUP)
	defer stop()
	root := newRoot()
	if err := root.ExecuteContext(ctx); err != nil {
		root.PrintErrln("mustardhook: " + err.Error())
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "mustardhook",
		Short:         "Serving layer for prompts of very unlike lengths, driven by change tickets",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       version,
	}
	root.SetOut(os.Stdout)
	root.AddCommand(
		newServe(), newRelay(), newTicket(), newSettings(), newStatus(), newAudit(), newDrain(), newReplay(), newDemo(),
		newBench(), newVersion(),
	)
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { cmd.Println("mustardhook " + version) },
	}
}
