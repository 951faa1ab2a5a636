//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// DurableOptions are the options of the Faktory front end, with both classes durable.
type DurableOptions struct {
	Path    string // of the file with the options
	Address string // of the front end
	Store   string // path of the store
}

// WriteDurableOptions writes the file with the options.
func (r *Run) WriteDurableOptions(leaseSeconds int) DurableOptions {
	options := DurableOptions{
		Path:    filepath.Join(r.Folder, "faktory.toml"),
		Address: r.FreeAddress(),
		Store:   filepath.Join(r.Folder, "jobs.db"),
	}
	text := fmt.Sprintf("listen = %q\n[durable]\npath = %q\nqueues = [\"status-check\", \"renewal\"]\nlease_s = %d\ngrace_s = %d\n",
		options.Address, options.Store, leaseSeconds, leaseSeconds)
	r.Must(os.WriteFile(options.Path, []byte(text), 0o644))
	return options
}

// JobStates returns the state of each durable job by its idempotency key, as the admin API tells
// it.
func (r *Run) JobStates(admin string) map[string]string {
	states := map[string]string{}
	for after, more := uint64(0), true; more; {
		text := Get(fmt.Sprintf("http://%s/control/jobs?after=%d", admin, after))
		var page struct {
			Jobs []struct {
				ID    string `json:"id"`
				State string `json:"state"`
			} `json:"jobs"`
			Next uint64 `json:"next"`
		}
		if err := json.Unmarshal([]byte(text), &page); err != nil {
			r.NotRun("admin API: %v: %.200s", err, text)
		}
		for _, job := range page.Jobs {
			states[strings.TrimPrefix(job.ID, "idem:")] = job.State
		}
		after = page.Next
		more = after != 0
	}
	return states
}
