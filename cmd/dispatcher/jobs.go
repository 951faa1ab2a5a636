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
// through the admin API of a running one. Each change of a job needs a reason, which is kept in the audit log.
type jobsCmd struct {
	Store        string `placeholder:"FILE" help:"Store file of a stopped dispatcher."`
	AdminAddress string `name:"door" placeholder:"HOST:PORT" help:"Address of the admin API of a running dispatcher."`

	List struct {
		State string `help:"List only jobs in this state, such as 'in doubt'."`
		Class string `help:"List only jobs of this class."`
		Limit int    `default:"0" help:"Maximum number of jobs to list; 0 lists all."`
	} `cmd:"" help:"List jobs, one on each line, oldest first."`
	Show struct {
		ID string `arg:""`
	} `cmd:"" help:"Print one job with its payload, as JSON."`
	Retry struct {
		ID     string `arg:""`
		Reason string `required:"" help:"Reason, for the audit log."`
	} `cmd:"" help:"Run a waiting or dead job now, even if it must not run twice."`
	Discard struct {
		ID     string `arg:""`
		Reason string `required:"" help:"Reason, for the audit log."`
	} `cmd:"" help:"Discard a waiting or dead job, so that it does not run."`
	Resolve struct {
		ID     string `arg:""`
		Ran    bool   `xor:"fate" required:"" help:"The job ran: it is marked as done."`
		NotRan bool   `xor:"fate" required:"" help:"The job did not run: it runs now."`
		Reason string `required:"" help:"Reason, for the audit log: how you know."`
	} `cmd:"" name:"settle" help:"Resolve a job that is in doubt."`
	Export   struct{} `cmd:"" help:"Print all jobs with their payloads, one JSON object on each line."`
	Audit    struct{} `cmd:"" help:"Print the audit log: what was done to jobs and for which reason, one JSON object on each line. Needs a stopped dispatcher."`
	Snapshot struct {
		Name string `arg:""`
	} `cmd:"" help:"Write a consistent copy of the store file, under this name in the same directory."`
	Compact struct{} `cmd:"" help:"Rewrite the store file without its unused space. Needs a stopped dispatcher."`
	Verify  struct{} `cmd:"" help:"Check the structure of the store file and every record. Needs a stopped dispatcher."`
}

// compactTimeout is how long compact waits for another process to close the store file.
const compactTimeout = time.Second

// jobsVerb is the name of a command on jobs, as on the command line.
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

// changeKind is the kind of a change of a job. Its text is the last element of the admin API's path.
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
	ran    bool // for resolveJob: whether the job ran
}

// jobsFilter selects the jobs to list, and whether to list them with their payloads.
type jobsFilter struct {
	state       string // empty for all states
	class       string // empty for all classes
	withPayload bool
}

// jobsBackend gives the commands access to jobs: through a store file or through the admin API.
type jobsBackend interface {
	// page lists the first jobs whose sequence numbers are greater than after, in the order in which they were accepted.
	// next is the sequence number after which the next page begins, or 0 if there are no more jobs.
	page(filter jobsFilter, after uint64) (list []durable.View, next uint64, err error)
	show(id string) (durable.View, error)
	change(change jobChange) error
	snapshot(name string) error
}

// run runs the command with the given name.
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

// runOnStore runs a command that needs the store file of a stopped dispatcher.
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
		return printAuditLog(c.Store, out)
	}
}

// runOnBackend runs a command that works with either backend.
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

// list prints a line for each job that matches the command line.
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

// exportJobs prints all jobs with their payloads, as one JSON object on each line.
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

// forEachJob calls visit for each job that the filter selects, until visit returns false.
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

func printAuditLog(path string, out io.Writer) error {
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
