// Command mustardhook runs an entry or a relay of the serving layer and provides the
// tools for its operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// version is the release version. The linker can set it with -X.
var version = "0.1.0-dev"

func main() {
	// The signals stay caught until main returns, so that a second signal does not
	// abort the requests in flight.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// SIGHUP announces changed settings. Commands that read settings only at start must
	// not exit on it.
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
		Short:         "Serving layer for prompts of widely different lengths, configured by change tickets",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       version,
	}
	root.SetOut(os.Stdout)
	root.AddCommand(
		newServe(), newRelay(), newCheck(), newTicket(), newSettings(), newStatus(), newAudit(), newDrain(), newReplay(), newDemo(),
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
