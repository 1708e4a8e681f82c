package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"mustardhook"
	"mustardhook/internal/flow/proxy"
	"mustardhook/internal/flow/setup"
	"mustardhook/internal/serve/logs"
	"mustardhook/platform"
)

func newRelay() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "relay [--settings FILE]",
		Short: "Relay requests according to the configuration that the platform publishes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// Registered before the settings are read, so that no change is missed.
			changes := make(chan os.Signal, 1)
			signal.Notify(changes, syscall.SIGHUP)
			defer signal.Stop(changes)
			settings, err := readRelaySettings(file)
			if err != nil {
				return err
			}
			output := logs.NewBounded(cmd.OutOrStdout())
			defer func() { _ = output.Close() }()
			logger := logs.New(output, settings.LogLevel)
			store := platform.NewStore(settings.Publisher, proxy.NewClient())
			relay := mustardhook.NewRelay(settings, platform.Dialect{}, store, mustardhook.WithRelayLogger(logger))
			go reloadOnSignal(cmd.Context(), changes, file, relay, logger)
			return relay.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&file, "settings", platform.SettingsPath(), "settings file; the default depends on the platform")
	return cmd
}

func readRelaySettings(file string) (setup.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return setup.Settings{}, errors.Wrap(err, "read settings")
	}
	return setup.Parse(file, text)
}

// reloadOnSignal reads the settings again at each signal. If they are invalid, the
// previous settings stay in force.
func reloadOnSignal(ctx context.Context, changes <-chan os.Signal, file string, relay mustardhook.Relay, logger logs.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
		settings, err := readRelaySettings(file)
		if err != nil {
			logger.Part("entry").Warn("Settings can't be read; the previous ones stay in force.", "err", err)
			continue
		}
		relay.Reload(settings)
	}
}
