// Command standin runs stand-ins for the systems that the serving layer depends on: the
// platform's configuration service, a model engine and a plain service.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/fake/config"
	"mustardhook/internal/fake/engine"
	"mustardhook/internal/fake/host"
	"mustardhook/internal/fake/plain"
	"mustardhook/internal/fake/sched"
	"mustardhook/internal/wire/watch"
)

const (
	// scanInterval is the time between two scans of the folder of tickets.
	scanInterval = 200 * time.Millisecond
	// instanceFields is the number of fields of an --entry flag.
	instanceFields = 3
)

type (
	// instanceFlagError reports a malformed --entry flag.
	instanceFlagError struct{ value string }
)

// Error returns the message with the value of the flag.
func (e *instanceFlagError) Error() string {
	return "entry " + e.value + " must be NAME@DOMAIN@ADDRESS"
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use: "standin", Short: "Stand-ins for the platform, an engine and a service",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetOut(os.Stdout)
	root.AddCommand(newPlatform(), newEngine(), newService())
	if err := root.ExecuteContext(ctx); err != nil {
		root.PrintErrln("standin: " + err.Error())
		os.Exit(1)
	}
}

// serve serves the handler until the command is interrupted or the channel crashed is
// closed.
func serve(cmd *cobra.Command, address string, handler http.Handler, crashed <-chan struct{}) error {
	started, err := host.Start(address, handler)
	if err != nil {
		return err
	}
	cmd.Println("listening on " + started.Address())
	defer started.Close()
	select {
	case <-cmd.Context().Done():
	case <-crashed:
		cmd.Println("crashed by a prompt")
	}
	return nil
}

func newPlatform() *cobra.Command {
	var address, folder string
	var entries []string
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Publish the tickets of a folder, including files added later",
		Example: "  standin platform --listen 127.0.0.1:7100 --tickets examples/cork/tickets",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			server := config.New()
			// Revisions begin anew with the process.
			server.SetEra(uint64(time.Now().UnixMilli()))
			if err := setInstances(server, entries); err != nil {
				return err
			}
			go publishTickets(cmd.Context(), server, folder)
			return serve(cmd, address, server, nil)
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:7100", "address and port to listen on")
	cmd.Flags().StringVar(&folder, "tickets", "", "folder with the ticket files")
	cmd.Flags().StringSliceVar(&entries, "entry", nil, "entry to add to the list of instances, as NAME@DOMAIN@ADDRESS; may be repeated")
	return cmd
}

// publishTickets publishes the files of a folder until the context is done. A file is
// published again when its text changes.
func publishTickets(ctx context.Context, server *config.Server, folder string) {
	published := map[string]string{}
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		files, err := filepath.Glob(filepath.Join(folder, "*.jsonc"))
		if err != nil {
			return
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err == nil && published[file] != string(text) {
				published[file] = string(text)
				server.Set(watch.TicketPrefix+filepath.Base(file), text)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// setInstances publishes the entries given as NAME@DOMAIN@ADDRESS.
func setInstances(server *config.Server, entries []string) error {
	for _, entry := range entries {
		fields := strings.Split(entry, "@")
		if len(fields) != instanceFields {
			return &instanceFlagError{entry}
		}
		server.SetInstance(event.Instance{
			Name: fields[0], Domain: ident.Domain(fields[1]), Address: fields[2], IsEntry: true,
		})
	}
	return nil
}

func newEngine() *cobra.Command {
	var address, model, version string
	var fences bool
	engineConfig := sched.DefaultConfig()
	var lag int64
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Run a simulated model engine",
		Example: "  standin engine --listen 127.0.0.1:7201 --model snowdesk-llm",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			engineConfig.Lag = clock.Millis(lag)
			options := []engine.Option{engine.WithConfig(engineConfig)}
			if fences {
				options = append(options, engine.WithFences())
			}
			if model != "" {
				loaded := fleet.Model{Name: ident.Model(model), Version: version}
				options = append(options, engine.WithModel(loaded))
			}
			server := engine.New(options...)
			return serve(cmd, address, server, server.Done())
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "address and port to listen on")
	cmd.Flags().StringVar(&model, "model", "", "model to load at start")
	cmd.Flags().StringVar(&version, "model-version", "1", "version of that model")
	cmd.Flags().BoolVar(&fences, "fences", false, "refuse orders with an outdated fencing number")
	cmd.Flags().IntVar(&engineConfig.Rate, "rate", engineConfig.Rate, "prefill rate in tokens per second")
	cmd.Flags().IntVar(&engineConfig.Memory, "memory", engineConfig.Memory, "memory size in tokens")
	cmd.Flags().Int64Var(&lag, "lag", 0, "age of load reports in milliseconds")
	return cmd
}

func newService() *cobra.Command {
	var address string
	var checks bool
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Run a plain service that counts its runs per idempotency key",
		Example: "  standin service --listen 127.0.0.1:7301",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, address, plain.New(plain.NewLedger(), checks), nil)
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "address and port to listen on")
	cmd.Flags().BoolVar(&checks, "checks-keys", false, "run each idempotency key only once")
	return cmd
}
