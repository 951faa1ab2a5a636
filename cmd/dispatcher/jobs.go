package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// jobsCmd is the command line of the commands on durable jobs. They work on the store file of a stopped dispatcher, or
// through the admin API of a running one. Each change of a job needs a reason, which is kept in the audit.
type jobsCmd struct {
	Store        string `placeholder:"FILE" help:"The file of a stopped dispatcher."`
	AdminAddress string `name:"door" placeholder:"HOST:PORT" help:"Address of the admin API of a running one."`

	List struct {
		State string `help:"Only in this state, as 'in doubt'."`
		Class string `help:"Only of this class."`
		Limit int    `default:"0" help:"So many at the most; 0: all."`
	} `cmd:"" help:"List jobs, a line each, oldest first."`
	Show struct {
		ID string `arg:""`
	} `cmd:"" help:"All that is known of one, as JSON."`
	Retry struct {
		ID     string `arg:""`
		Reason string `required:"" help:"For the audit."`
	} `cmd:"" help:"Let one that waits or is dead run now, one that must not run twice too."`
	Discard struct {
		ID     string `arg:""`
		Reason string `required:"" help:"For the audit."`
	} `cmd:"" help:"Let one that waits or is dead not run."`
	Resolve struct {
		ID     string `arg:""`
		Ran    bool   `xor:"fate" required:"" help:"It ran: it is done."`
		NotRan bool   `xor:"fate" required:"" help:"It did not run: it runs now."`
		Reason string `required:"" help:"For the audit: how you know."`
	} `cmd:"" name:"settle" help:"End the doubt about one."`
	Export   struct{} `cmd:"" help:"All jobs with what they ask for, a line of JSON each."`
	Audit    struct{} `cmd:"" help:"What was done to jobs and by whose word, a line of JSON each; of a stopped dispatcher."`
	Snapshot struct {
		Name string `arg:""`
	} `cmd:"" help:"A copy of the file as it is at one moment, under that name beside it."`
	Compact struct{} `cmd:"" help:"Write the file anew without the room that is free inside it; of a stopped dispatcher."`
	Verify  struct{} `cmd:"" help:"Check the file's structure and every record; of a stopped dispatcher."`
}

// compactTimeout is how long compact waits for another process to close the file.
const compactTimeout = time.Second

// jobChange is a change of a job that an operator requests. Its text is the admin API's path.
type jobChange string

const (
	retryJob   jobChange = "retry"
	discardJob jobChange = "discard"
	resolveJob jobChange = "settle"
)

// jobsBackend is where the commands look for jobs: a store file or the admin API.
type jobsBackend interface {
	// page lists some jobs, those that were accepted after a sequence number; next is the one to continue after; 0:
	// there are no more.
	page(state, class string, after uint64, withPayload bool) (list []durable.View, next uint64, err error)
	show(id string) (durable.View, error)
	// change changes a job; ran matters to resolveJob only.
	change(change jobChange, id string, reason jobs.Reason, ran bool) error
	snapshot(name string) error
}

// run carries out one of the commands by its name.
func (c *jobsCmd) run(verb string, out io.Writer) error {
	if (c.Store == "") == (c.AdminAddress == "") {
		return errors.New("jobs: either --store or --door is needed")
	}
	switch verb {
	case "verify", "audit", "compact":
		return c.runOnStore(verb, out)
	}
	if c.Store == "" {
		return c.runOnBackend(adminAPI(c.AdminAddress), verb, out)
	}
	offline, err := openOffline(c.Store)
	if err != nil {
		return err
	}
	defer offline.Close()
	return c.runOnBackend(storeFile{offline, c.Store}, verb, out)
}

// runOnStore carries out the commands that need the store of a stopped dispatcher.
func (c *jobsCmd) runOnStore(verb string, out io.Writer) error {
	if c.Store == "" {
		return fmt.Errorf("jobs: %s needs --store: the file of a stopped dispatcher", verb)
	}
	switch verb {
	case "compact":
		return compactStore(c.Store, out)
	case "verify":
		return verifyStore(c.Store, out)
	default:
		return printAudits(c.Store, out)
	}
}

// runOnBackend carries out the other commands.
func (c *jobsCmd) runOnBackend(backend jobsBackend, verb string, out io.Writer) error {
	switch verb {
	case "list":
		return c.list(backend, out)
	case "export":
		return exportJobs(backend, out)
	case "show":
		return showJob(backend, c.Show.ID, out)
	case "snapshot":
		return backend.snapshot(c.Snapshot.Name)
	case "retry":
		return backend.change(retryJob, c.Retry.ID, jobs.Reason(c.Retry.Reason), false)
	case "discard":
		return backend.change(discardJob, c.Discard.ID, jobs.Reason(c.Discard.Reason), false)
	default:
		return backend.change(resolveJob, c.Resolve.ID, jobs.Reason(c.Resolve.Reason), c.Resolve.Ran)
	}
}

// list prints a line for each job that is asked for.
func (c *jobsCmd) list(backend jobsBackend, out io.Writer) error {
	listed := 0
	return forEachJob(backend, c.List.State, c.List.Class, false, func(view durable.View) (more bool) {
		reason := strings.ReplaceAll(string(view.Reason), "\n", " ")
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\n", view.ID, view.Class, view.State, reason)
		listed++
		return listed != c.List.Limit
	})
}

// exportJobs prints all jobs with their payloads.
func exportJobs(backend jobsBackend, out io.Writer) error {
	lines := json.NewEncoder(out)
	var encodeErr error
	err := forEachJob(backend, "", "", true, func(view durable.View) (more bool) {
		encodeErr = lines.Encode(view)
		return encodeErr == nil
	})
	return errors.Join(err, encodeErr)
}

func showJob(backend jobsBackend, id string, out io.Writer) error {
	view, err := backend.show(id)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(view, "", "  ")
	fmt.Fprintf(out, "%s\n", text)
	return err
}

// forEachJob visits all jobs of a state and class, each empty for all, until visit returns false.
func forEachJob(backend jobsBackend, state, class string, withPayload bool, visit func(durable.View) (more bool)) error {
	after := uint64(0)
	for {
		list, next, err := backend.page(state, class, after, withPayload)
		if err != nil {
			return err
		}
		for _, view := range list {
			if !visit(view) {
				return nil
			}
		}
		if next == 0 {
			return nil
		}
		after = next
	}
}

func compactStore(path string, out io.Writer) error {
	before, after, err := store.Compact(path, compactTimeout)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %d bytes before, %d bytes now\n", path, before, after)
	return nil
}

func verifyStore(path string, out io.Writer) error {
	file, err := store.Open(path, store.Options{})
	if err != nil {
		return err
	}
	defer file.Close()
	records, err := file.Verify()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintf(out, "%s: %d records, all whole\n", path, records)
	return nil
}

func printAudits(path string, out io.Writer) error {
	offline, err := openOffline(path)
	if err != nil {
		return err
	}
	defer offline.Close()
	lines := json.NewEncoder(out)
	for _, audit := range offline.Audits {
		if err := lines.Encode(audit); err != nil {
			return err
		}
	}
	return nil
}
