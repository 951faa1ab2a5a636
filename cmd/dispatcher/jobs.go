package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/durable"
	"hollyyoke.example/hollyyoke/internal/jobs"
	"hollyyoke.example/hollyyoke/internal/store"
)

// This file owns the operators' commands on durable jobs. It must never change a
// job without a reason, nor open a file that a dispatcher has open: that one is
// spoken to through its door.

type jobsCmd struct {
	Store string `placeholder:"FILE" help:"The file of a stopped dispatcher."`
	Door  string `placeholder:"HOST:PORT" help:"The operators' door of a running one."`

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
	Settle struct {
		ID     string `arg:""`
		Ran    bool   `xor:"fate" required:"" help:"It ran: it is done."`
		NotRan bool   `xor:"fate" required:"" help:"It did not run: it runs now."`
		Reason string `required:"" help:"For the audit: how you know."`
	} `cmd:"" help:"End the doubt about one."`
	Export   struct{} `cmd:"" help:"All jobs with what they ask for, a line of JSON each."`
	Audit    struct{} `cmd:"" help:"What was done to jobs and by whose word, a line of JSON each; of a stopped dispatcher."`
	Snapshot struct {
		Name string `arg:""`
	} `cmd:"" help:"A copy of the file as it is at one moment, under that name beside it."`
	Compact struct{} `cmd:"" help:"Write the file anew without the room that is free inside it; of a stopped dispatcher."`
	Verify  struct{} `cmd:"" help:"Check the file's structure and every record; of a stopped dispatcher."`
}

// desk is where the commands go: a file or a door.
type desk interface {
	page(state, class string, after uint64, full bool) (list []durable.View, next uint64, err error)
	show(id string) (durable.View, error)
	decide(act, id, reason string, ran bool) error
	snapshot(name string) error
}

func (c *jobsCmd) run(verb string, out io.Writer) error {
	if (c.Store == "") == (c.Door == "") {
		return errors.New("jobs: either --store or --door is needed")
	}
	if verb == "verify" || verb == "audit" || verb == "compact" {
		if c.Store == "" {
			return fmt.Errorf("jobs: %s needs --store: the file of a stopped dispatcher", verb)
		}
	}
	if verb == "compact" {
		before, after, err := store.Compact(c.Store, time.Second)
		if err == nil {
			fmt.Fprintf(out, "%s: %d bytes before, %d bytes now\n", c.Store, before, after)
		}
		return err
	}
	if verb == "verify" {
		st, err := store.Open(c.Store, store.Options{})
		if err != nil {
			return err
		}
		defer st.Close()
		n, err := st.Verify()
		if err != nil {
			return fmt.Errorf("%s: %w", c.Store, err)
		}
		fmt.Fprintf(out, "%s: %d records, all whole\n", c.Store, n)
		return nil
	}
	var d desk = door(c.Door)
	if c.Store != "" {
		b, err := durable.OpenOffline(c.Store, func() time.Duration { return time.Duration(time.Now().UnixNano()) })
		if err != nil {
			return err
		}
		defer b.Close()
		if verb == "audit" {
			lines := json.NewEncoder(out)
			for _, a := range b.Audits {
				if err := lines.Encode(a); err != nil {
					return err
				}
			}
			return nil
		}
		d = file{b, c.Store}
	}
	switch verb {
	case "list":
		n := 0
		return each(d, c.List.State, c.List.Class, false, func(v durable.View) bool {
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\n", v.ID, v.Class, v.State, strings.ReplaceAll(string(v.Reason), "\n", " "))
			n++
			return n != c.List.Limit
		})
	case "export":
		lines := json.NewEncoder(out)
		var failed error
		err := each(d, "", "", true, func(v durable.View) bool {
			failed = lines.Encode(v)
			return failed == nil
		})
		return errors.Join(err, failed)
	case "show":
		v, err := d.show(c.Show.ID)
		if err != nil {
			return err
		}
		text, err := json.MarshalIndent(v, "", "  ")
		fmt.Fprintf(out, "%s\n", text)
		return err
	case "snapshot":
		return d.snapshot(c.Snapshot.Name)
	case "retry":
		return d.decide("retry", c.Retry.ID, c.Retry.Reason, false)
	case "discard":
		return d.decide("discard", c.Discard.ID, c.Discard.Reason, false)
	default:
		return d.decide("settle", c.Settle.ID, c.Settle.Reason, c.Settle.Ran)
	}
}

// each goes over all pages until it is told to end.
func each(d desk, state, class string, full bool, f func(durable.View) bool) error {
	for after := uint64(0); ; {
		list, next, err := d.page(state, class, after, full)
		if err != nil {
			return err
		}
		for _, v := range list {
			if !f(v) {
				return nil
			}
		}
		if next == 0 {
			return nil
		}
		after = next
	}
}

// file is the store of a stopped dispatcher.
type file struct {
	*durable.OfflineStore
	path string
}

func (f file) snapshot(name string) error { return f.Snapshot(f.path, name) }

func (f file) page(state, class string, after uint64, full bool) (views []durable.View, next uint64, err error) {
	chosen, err := durable.Filter(state, class)
	if err != nil {
		return nil, 0, err
	}
	list, next := f.Page(after, 1000, 1_000_000, chosen)
	for _, j := range list {
		views = append(views, durable.NewView(j, full))
	}
	return views, next, nil
}

func (f file) show(id string) (durable.View, error) {
	j, known := f.Get(id)
	if !known {
		return durable.View{}, fmt.Errorf("no job %s", id)
	}
	return durable.NewView(j, true), nil
}

func (f file) decide(act, id, reason string, ran bool) error {
	switch act {
	case "settle":
		return f.Resolve(id, ran, jobs.Reason(reason))
	case "retry":
		return f.Move(id, jobs.Requeue, jobs.Reason(reason))
	}
	return f.Move(id, jobs.Discard, jobs.Reason(reason))
}

// door is the operators' door of a running dispatcher.
type door string

const doorTime = 60 * time.Second // a snapshot of a large store takes its time

func (d door) call(method, path string, query url.Values, into any) error {
	r, err := http.NewRequest(method, "http://"+string(d)+"/control/jobs"+path+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	answer, err := (&http.Client{Timeout: doorTime}).Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		return err
	case answer.StatusCode != 200:
		return fmt.Errorf("the door at %s: %s", string(d), strings.TrimSpace(string(text)))
	case into == nil:
		return nil
	}
	return json.Unmarshal(text, into)
}

func (d door) snapshot(name string) error {
	return d.call("PUT", "/snapshot", url.Values{"name": {name}}, nil)
}

func (d door) page(state, class string, after uint64, full bool) ([]durable.View, uint64, error) {
	var p struct {
		Jobs []durable.View `json:"jobs"`
		Next uint64         `json:"next"`
	}
	err := d.call("GET", "", url.Values{"state": {state}, "class": {class}, "after": {fmt.Sprint(after)}, "full": {fmt.Sprint(full)}}, &p)
	return p.Jobs, p.Next, err
}

func (d door) show(id string) (v durable.View, err error) {
	err = d.call("GET", "/show", url.Values{"id": {id}}, &v)
	return v, err
}

func (d door) decide(act, id, reason string, ran bool) error {
	return d.call("PUT", "/"+act, url.Values{"id": {id}, "reason": {reason}, "ran": {fmt.Sprint(ran)}}, nil)
}
