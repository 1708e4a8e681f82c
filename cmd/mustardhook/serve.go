package main

import (
	"os"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"mustardhook"
	"mustardhook/internal/serve/logs"
	"mustardhook/internal/tool/demo"
	"mustardhook/internal/wire/setup"
)

func newServe() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run an entry until a signal or a drain request stops it",
		Example: "  mustardhook serve --settings examples/cork/entry.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := readSettings(file)
			if err != nil {
				return err
			}
			logger := logs.New(cmd.ErrOrStderr(), settings.LogLevel)
			return mustardhook.New(settings, mustardhook.WithLogger(logger)).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file")
	must(cmd.MarkFlagRequired("settings"))
	return cmd
}

func readSettings(file string) (setup.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return setup.Settings{}, errors.Wrap(err, "read settings")
	}
	return setup.Parse(file, text)
}

func newSettings() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Check settings files"}
	cmd.AddCommand(&cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file and print every fault with its position",
		Example: "  mustardhook settings check examples/cork/entry.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			if _, err := readSettings(files[0]); err != nil {
				return err
			}
			cmd.Println(files[0] + ": ok")
			return nil
		},
	})
	return cmd
}

func newDemo() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Run a complete cluster in this process and check the answers that callers receive",
		Long: "Starts stand-ins for the platform, engines and services with real entries on loopback ports,\n" +
			"sends requests of every kind and injects faults. Exits with status 1 if a check fails.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return demo.Run(cmd.Context(), cmd.OutOrStdout()) },
	}
}

// must panics on an error, which can only be a mistake in the declaration of a command.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
