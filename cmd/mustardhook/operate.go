package main

import (
	"bufio"
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

	"mustardhook/internal/serve/parts"
	"mustardhook/internal/wire/admin"
	"mustardhook/internal/wire/trail"
)

const (
	statusTimeout = 5 * time.Second
	statusBytes   = 64 << 20
	keyVariable   = "MUSTARDHOOK_OPERATOR_KEY"
)

type (
	// operator calls an entry's operators' port.
	operator struct {
		address string
		json    bool
	}

	// answerError says that an entry refused a call.
	answerError struct {
		status string
		text   string
	}

	// replayError says where a replay gave other actions than the record.
	replayError struct {
		step   int
		wanted string
		got    string
	}
)

// Error returns the entry's answer.
func (e *answerError) Error() string { return "entry answered " + e.status + ": " + e.text }

// Error returns both lists of actions.
func (e *replayError) Error() string {
	return fmt.Sprintf("step %d differs\nrecorded:\n%sreplayed:\n%s", e.step, e.wanted, e.got)
}

func (o *operator) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.address, "entry", "127.0.0.1:7003", "operators' port of the entry")
	cmd.Flags().BoolVar(&o.json, "json", false, "print JSON")
}

// call opens an answer of the entry. The key comes from the environment, so that
// it is not seen in the list of processes.
func (o *operator) call(cmd *cobra.Command, method, path string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(cmd.Context(), method, "http://"+o.address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set(admin.HeaderOperatorKey, os.Getenv(keyVariable))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response.Body, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, statusBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	return nil, &answerError{response.Status, string(text)}
}

func newStatus() *cobra.Command {
	o := &operator{}
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show an entry's state, peers and endpoints",
		Example: "  mustardhook status --entry 10.1.2.3:7003",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := o.call(cmd, http.MethodGet, admin.PathStatus)
			if err != nil {
				return err
			}
			defer func() { _ = body.Close() }()
			text, err := io.ReadAll(io.LimitReader(body, statusBytes))
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
	row("\nPLATFORM REVISION\tFAILURES\tREAD AGO")
	row("%d\t%d\t%s", s.Platform.Revision, s.Platform.Failures, s.Platform.LastReadAge)
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
		Short:   "Show what changed in force at an entry",
		Example: "  mustardhook audit --object endpoint/runner-3 --follow",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			query := url.Values{}
			query.Set("since", strconv.FormatUint(since, 10))
			query.Set("object", object)
			if follow {
				query.Set("follow", "true")
			}
			body, err := o.call(cmd, http.MethodGet, admin.PathAudit+"?"+query.Encode())
			if err != nil {
				return err
			}
			defer func() { _ = body.Close() }()
			return o.printRecords(cmd, body)
		},
	}
	o.addFlags(cmd)
	cmd.Flags().Uint64Var(&since, "since", 0, "only records after this sequence number")
	cmd.Flags().StringVar(&object, "object", "", "only records of this object")
	cmd.Flags().BoolVar(&follow, "follow", false, "go on as records come")
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
			body, err := o.call(cmd, http.MethodPost, admin.PathDrain)
			if err != nil {
				return err
			}
			cmd.Println("The entry finishes its requests and exits.")
			return body.Close()
		},
	}
	o.addFlags(cmd)
	return cmd
}

func newReplay() *cobra.Command {
	return &cobra.Command{
		Use:   "replay FILE",
		Short: "Replay recorded events and check that the same actions follow",
		Long: "Reads events that an entry recorded (its operators' port gives them at /trail), steps a new core\n" +
			"through them and compares the actions byte by byte.",
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
			cmd.Printf("%d steps, all actions equal.\n", len(steps))
			return nil
		},
	}
}
