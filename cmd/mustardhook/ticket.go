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
	// invalidTicketsError lists all errors in the checked tickets.
	invalidTicketsError struct{ errs []error }
)

// Error returns the message with one error per line.
func (e *invalidTicketsError) Error() string {
	lines := []string{"refused"}
	for _, err := range e.errs {
		lines = append(lines, err.Error())
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
		Long: "Reads the tickets in the given order, merges each into the state that results from the previous ones,\n" +
			"and prints every fault with file, line, column and field.",
		Example: "  mustardhook ticket check examples/cork/tickets/*.jsonc",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			errs := checkFiles(files)
			if len(errs) > 0 {
				return &invalidTicketsError{errs}
			}
			for _, file := range files {
				cmd.Println(file + ": ok")
			}
			return nil
		},
	}
}

// checkFiles returns the errors in all files. An invalid ticket does not change the
// state against which the next ones are checked.
func checkFiles(files []string) []error {
	var errs []error
	state := fleet.NewState()
	for _, file := range files {
		parsed, err := readTicket(file)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		next, result := state.With(parsed)
		ticketErrs := ticket.LocateErrors(file, parsed, next.CheckTicket(parsed))
		if numberErr := ticket.CheckNumber(file, parsed, state, result); numberErr != nil {
			ticketErrs = append(ticketErrs, numberErr)
		}
		errs = append(errs, ticketErrs...)
		if len(ticketErrs) == 0 {
			state = next
		}
	}
	return errs
}

func readTicket(file string) (fleet.Ticket, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return fleet.Ticket{}, errors.Wrap(err, "read ticket")
	}
	parsed, err := ticket.Parse(file, text)
	var fileErrs strict.FileErrors
	if errors.As(err, &fileErrs) {
		return fleet.Ticket{}, fileErrs
	}
	return parsed, err
}

func newTicketDiff() *cobra.Command {
	return &cobra.Command{
		Use:     "diff A B",
		Short:   "Show the objects that two tickets set differently",
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
