package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"mustardhook/internal/serve/answer"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/serve/parts"
	"mustardhook/internal/wire/admin"
	"mustardhook/internal/wire/trail"
)

const (
	callTimeout         = 5 * time.Second
	maxResponseBytes    = 64 << 20
	operatorKeyVariable = "MUSTARDHOOK_OPERATOR_KEY"
)

type (
	// operator calls the operators' port of an entry.
	operator struct {
		address string
		json    bool
	}

	// responseError reports an error response of an entry.
	responseError struct {
		status string
		text   string
	}

	// replayError reports the first step at which a replay produced other actions than
	// the recorded ones.
	replayError struct {
		step     int
		recorded string
		replayed string
	}
)

// operatorClient rejects broken answers.
var operatorClient = &http.Client{Transport: answer.NewTransport(http.DefaultTransport)}

// Error returns the message with the status and the body of the response.
func (e *responseError) Error() string { return "entry answered " + e.status + ": " + e.text }

// Error returns the message with the recorded and the replayed actions.
func (e *replayError) Error() string {
	return fmt.Sprintf("step %d differs\nrecorded:\n%sreplayed:\n%s", e.step, e.recorded, e.replayed)
}

func (o *operator) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.address, "entry", "127.0.0.1:7003", "address of the entry's operators' port")
	cmd.Flags().BoolVar(&o.json, "json", false, "print JSON")
}

// call sends a request and returns the body of the response. The operator key is read
// from the environment, because arguments are visible in the list of processes.
func (o *operator) call(ctx context.Context, method, path string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set(admin.HeaderOperatorKey, os.Getenv(operatorKeyVariable))
	response, err := operatorClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response.Body, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := limit.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	return nil, &responseError{response.Status, string(text)}
}

func newStatus() *cobra.Command {
	o := &operator{}
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show an entry's state, peers and endpoints",
		Example: "  mustardhook status --entry 10.1.2.3:7003",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
			defer cancel()
			body, err := o.call(ctx, http.MethodGet, admin.PathStatus)
			if err != nil {
				return err
			}
			defer func() { _ = body.Close() }()
			text, err := limit.ReadAll(body, maxResponseBytes)
			if err != nil {
				return errors.Wrap(err, "read status")
			}
			if o.json {
				cmd.Println(string(text))
				return nil
			}
			status, err := admin.DecodeStatus(text)
			if err != nil {
				return err
			}
			return printStatus(cmd.OutOrStdout(), status)
		},
	}
	o.addFlags(cmd)
	return cmd
}

func printStatus(out io.Writer, s admin.Status) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format+"\n", values...) }
	row("ENTRY\tDOMAIN\tSYNCED\tMAY ORDER\tSTOPPING\tHIGHEST TICKET\tOBJECTS\tREFUSED\tPROMPTS\tCALLS")
	row("%s\t%s\t%t\t%t\t%t\t%d\t%d\t%v\t%d\t%d",
		s.Entry, s.Domain, s.Synced, s.MayOrder, s.Stopping, s.HighestTicket, s.Objects, s.PendingTickets, s.Prompts, s.Calls)
	row("\nPLATFORM ERA\tREVISION\tFAILURES\tREAD AGO")
	row("%d\t%d\t%d\t%s", s.Platform.Era, s.Platform.Revision, s.Platform.Failures, s.Platform.LastReadAge)
	row("\nPEER\tDOMAIN\tADDRESS\tLIVE\tLEAVING\tHEARD AGO")
	for _, p := range s.Peers {
		row("%s\t%s\t%s\t%t\t%t\t%s", p.Entry, p.Domain, p.Address, p.Live, p.Leaving, p.LastSeenAge)
	}
	row("\nENDPOINT\tDOMAIN\tADDRESS\tSERVICE\tLEAVING\tDOWN\tAGREES\tQUEUED\tFREE\tREAD AGO")
	for _, e := range s.Endpoints {
		row("%s\t%s\t%s\t%s\t%t\t%t\t%t\t%d\t%d\t%s",
			e.Name, e.Domain, e.Address, e.Service, e.Leaving, e.Down, e.MatchesOrder, e.Queued, e.Free, e.LastReportAge)
	}
	return table.Flush()
}

func newAudit() *cobra.Command {
	o := &operator{}
	var since uint64
	var object string
	var follow bool
	cmd := &cobra.Command{
		Use:     "audit",
		Short:   "Show the audit records of an entry",
		Example: "  mustardhook audit --object endpoint/runner-3 --follow",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			query := url.Values{}
			query.Set("since", strconv.FormatUint(since, 10))
			query.Set("object", object)
			ctx := cmd.Context()
			if follow {
				query.Set("follow", "true")
			} else {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, callTimeout)
				defer cancel()
			}
			body, err := o.call(ctx, http.MethodGet, admin.PathAudit+"?"+query.Encode())
			if err != nil {
				return err
			}
			defer func() { _ = body.Close() }()
			return o.printRecords(cmd, body)
		},
	}
	o.addFlags(cmd)
	cmd.Flags().Uint64Var(&since, "since", 0, "show only records after this sequence number")
	cmd.Flags().StringVar(&object, "object", "", "show only records of this object, as KIND/NAME")
	cmd.Flags().BoolVar(&follow, "follow", false, "keep printing new records as they are written")
	return cmd
}

func (o *operator) printRecords(cmd *cobra.Command, body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if o.json {
			cmd.Println(lines.Text())
			continue
		}
		record, err := admin.DecodeRecord(lines.Bytes())
		if err != nil {
			return err
		}
		cmd.Printf("%6d  %s  %-10s  ticket %-6d  %-28s  %s\n", record.Sequence,
			record.At.Time().UTC().Format(time.RFC3339), record.Kind, record.Number, record.Object, record.Text)
	}
	return lines.Err()
}

func newDrain() *cobra.Command {
	o := &operator{}
	cmd := &cobra.Command{
		Use:   "drain",
		Short: "Ask an entry to finish its requests and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
			defer cancel()
			body, err := o.call(ctx, http.MethodPost, admin.PathDrain)
			if err != nil {
				return err
			}
			cmd.Println("The entry will finish its requests and exit.")
			return body.Close()
		},
	}
	o.addFlags(cmd)
	return cmd
}

func newReplay() *cobra.Command {
	return &cobra.Command{
		Use:   "replay FILE",
		Short: "Replay recorded events and check that they produce the recorded actions",
		Long: "Reads the events recorded by an entry (from /trail on its operators' port), feeds them to a new\n" +
			"core and compares the resulting actions byte by byte with the recorded ones.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			file, err := os.Open(files[0])
			if err != nil {
				return errors.Wrap(err, "open trail")
			}
			defer func() { _ = file.Close() }()
			steps, err := trail.Read(file)
			if err != nil {
				return err
			}
			core := parts.NewCore()
			for i, step := range steps {
				got := trail.FormatActions(core.Step(step.At, step.Event))
				if got != step.Actions {
					return &replayError{i + 1, step.Actions, got}
				}
			}
			cmd.Printf("%d steps replayed, all actions equal.\n", len(steps))
			return nil
		},
	}
}
