package main

import (
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"mustardhook/internal/core/fleet"
	"mustardhook/internal/wire/strict"
	"mustardhook/internal/wire/ticket"
)

type (
	// refusedError lists all faults of all files.
	refusedError struct{ faults []error }
)

// Error returns the faults, one a line.
func (e *refusedError) Error() string {
	lines := []string{"refused"}
	for _, fault := range e.faults {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

func newTicket() *cobra.Command {
	cmd := &cobra.Command{Use: "ticket", Short: "Check and compare change tickets"}
	cmd.AddCommand(newTicketCheck(), newTicketDiff())
	return cmd
}

func newTicketCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check tickets in order, as an entry does",
		Long: "Reads the tickets in the order given, merges each into the state that the ones before it give,\n" +
			"and prints every fault with file, line, column and field.",
		Example: "  mustardhook ticket check examples/cork/tickets/*.jsonc",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			faults := checkFiles(files)
			if len(faults) > 0 {
				return &refusedError{faults}
			}
			for _, file := range files {
				cmd.Println(file + ": ok")
			}
			return nil
		},
	}
}

func checkFiles(files []string) []error {
	var faults []error
	state := fleet.NewState()
	for _, file := range files {
		parsed, err := readTicket(file)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		next, merge := state.With(parsed)
		found := ticket.LocateErrors(file, parsed, next.CheckTicket(parsed))
		if fault := ticket.CheckNumber(file, parsed, state, merge); fault != nil {
			found = append(found, fault)
		}
		faults = append(faults, found...)
		if len(found) == 0 {
			state = next
		}
	}
	return faults
}

func readTicket(file string) (fleet.Ticket, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return fleet.Ticket{}, errors.Wrap(err, "read ticket")
	}
	parsed, err := ticket.Parse(file, text)
	var faults strict.FileErrors
	if errors.As(err, &faults) {
		return fleet.Ticket{}, faults
	}
	return parsed, err
}

func newTicketDiff() *cobra.Command {
	return &cobra.Command{
		Use:     "diff A B",
		Short:   "Show which objects two tickets set differently",
		Example: "  mustardhook ticket diff tickets/0001.jsonc tickets/0002.jsonc",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, files []string) error {
			first, err := readTicket(files[0])
			if err != nil {
				return err
			}
			second, err := readTicket(files[1])
			if err != nil {
				return err
			}
			for _, line := range ticket.Diff(first, second) {
				cmd.Println(line)
			}
			return nil
		},
	}
}
