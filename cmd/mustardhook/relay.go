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
		Short: "Relay requests as the platform's published configuration says",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := readRelaySettings(file)
			if err != nil {
				return err
			}
			lines := logs.NewBounded(cmd.OutOrStdout())
			defer func() { _ = lines.Close() }()
			logger := logs.New(lines, settings.LogLevel)
			store := platform.NewStore(settings.Publisher, proxy.NewClient())
			relay := mustardhook.NewRelay(settings, platform.Dialect{}, store, mustardhook.WithRelayLogger(logger))
			go reloadOnSignal(cmd.Context(), file, relay, logger)
			return relay.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&file, "settings", platform.SettingsPath(), "settings file; the platform names the default")
	return cmd
}

func readRelaySettings(file string) (setup.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return setup.Settings{}, errors.Wrap(err, "read settings")
	}
	return setup.Parse(file, text)
}

// reloadOnSignal reads the settings anew at each SIGHUP. Settings with a fault change
// nothing.
func reloadOnSignal(ctx context.Context, file string, relay mustardhook.Relay, logger logs.Logger) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		settings, err := readRelaySettings(file)
		if err != nil {
			logger.Part("entry").Warn("Settings can't be read; the old ones stay.", "err", err)
			continue
		}
		relay.Reload(settings)
	}
}
