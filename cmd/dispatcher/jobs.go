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

// jobsVerb is the name of a command on jobs, as the command line has it.
type jobsVerb string

const (
	verbList     jobsVerb = "list"
	verbShow     jobsVerb = "show"
	verbRetry    jobsVerb = "retry"
	verbDiscard  jobsVerb = "discard"
	verbExport   jobsVerb = "export"
	verbAudit    jobsVerb = "audit"
	verbSnapshot jobsVerb = "snapshot"
	verbCompact  jobsVerb = "compact"
	verbVerify   jobsVerb = "verify"
)

// changeKind is what an operator decides about a job. Its text is the admin API's path.
type changeKind string

const (
	retryJob   changeKind = "retry"
	discardJob changeKind = "discard"
	resolveJob changeKind = "settle"
)

// jobChange is a change of a job that an operator requests.
type jobChange struct {
	kind   changeKind
	id     string
	reason jobs.Reason
	ran    bool // of resolveJob: the job ran
}

// jobsFilter says which jobs are listed, and how.
type jobsFilter struct {
	state       string // empty: all
	class       string // empty: all
	withPayload bool
}

// jobsBackend is where the commands look for jobs: a store file or the admin API.
type jobsBackend interface {
	// page lists some jobs, those that were accepted after a sequence number; next is the one to continue after; 0:
	// there are no more.
	page(filter jobsFilter, after uint64) (list []durable.View, next uint64, err error)
	show(id string) (durable.View, error)
	change(change jobChange) error
	snapshot(name string) error
}

// run carries out one of the commands.
func (c *jobsCmd) run(verb jobsVerb, out io.Writer) error {
	if (c.Store == "") == (c.AdminAddress == "") {
		return errors.New("jobs: either --store or --door is needed")
	}
	switch verb {
	case verbVerify, verbAudit, verbCompact:
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
func (c *jobsCmd) runOnStore(verb jobsVerb, out io.Writer) error {
	if c.Store == "" {
		return fmt.Errorf("jobs: %s needs --store: the file of a stopped dispatcher", verb)
	}
	switch verb {
	case verbCompact:
		return compactStore(c.Store, out)
	case verbVerify:
		return verifyStore(c.Store, out)
	default:
		return printAudits(c.Store, out)
	}
}

// runOnBackend carries out the other commands.
func (c *jobsCmd) runOnBackend(backend jobsBackend, verb jobsVerb, out io.Writer) error {
	switch verb {
	case verbList:
		return c.list(backend, out)
	case verbExport:
		return exportJobs(backend, out)
	case verbShow:
		return showJob(backend, c.Show.ID, out)
	case verbSnapshot:
		return backend.snapshot(c.Snapshot.Name)
	default:
		return backend.change(c.requestedChange(verb))
	}
}

// requestedChange returns the change that the command line requests.
func (c *jobsCmd) requestedChange(verb jobsVerb) jobChange {
	switch verb {
	case verbRetry:
		return jobChange{kind: retryJob, id: c.Retry.ID, reason: jobs.Reason(c.Retry.Reason)}
	case verbDiscard:
		return jobChange{kind: discardJob, id: c.Discard.ID, reason: jobs.Reason(c.Discard.Reason)}
	default:
		return jobChange{
			kind:   resolveJob,
			id:     c.Resolve.ID,
			reason: jobs.Reason(c.Resolve.Reason),
			ran:    c.Resolve.Ran,
		}
	}
}

// list prints a line for each job that is asked for.
func (c *jobsCmd) list(backend jobsBackend, out io.Writer) error {
	filter := jobsFilter{state: c.List.State, class: c.List.Class}
	listed := 0
	return forEachJob(backend, filter, func(view durable.View) (more bool) {
		reason := strings.ReplaceAll(string(view.Reason), "\n", " ")
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\n", view.ID, view.Class, view.State, reason)
		listed++
		return listed != c.List.Limit
	})
}

// exportJobs prints all jobs with their payloads.
func exportJobs(backend jobsBackend, out io.Writer) error {
	encoder := json.NewEncoder(out)
	var encodeErr error
	err := forEachJob(backend, jobsFilter{withPayload: true}, func(view durable.View) (more bool) {
		encodeErr = encoder.Encode(view)
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

// forEachJob visits the jobs that the filter selects, until visit returns false.
func forEachJob(backend jobsBackend, filter jobsFilter, visit func(durable.View) (more bool)) error {
	after := uint64(0)
	for {
		list, next, err := backend.page(filter, after)
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
	encoder := json.NewEncoder(out)
	for _, audit := range offline.Audits {
		if err := encoder.Encode(audit); err != nil {
			return err
		}
	}
	return nil
}
