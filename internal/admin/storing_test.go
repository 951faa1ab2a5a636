package admin

import (
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// putDiscard is a call that discards a job.
const putDiscard = "PUT /control/jobs/discard?id=job-1&reason=unwanted HTTP/1.1\r\n\r\n"

// An operator discards a job while the disk is full. The call is complete, so it must not be
// answered that it did not come in time: the operator would take the change for not made. It
// is answered that the change is not on disk yet, and the change comes when there is space.
func TestChangeOnFullDiskIsNotReportedAsIncompleteCall(t *testing.T) {
	var diskFull atomic.Bool
	api := newFullTestAPIWith(t, func() error {
		if diskFull.Load() {
			return syscall.ENOSPC
		}
		return nil
	})
	api.pushRenewal(t, "job-1")
	diskFull.Store(true)
	status, text := api.call(t, putDiscard)
	if status != http.StatusServiceUnavailable || !strings.Contains(text, "not on disk yet") {
		t.Errorf("the response on a full disk: %d %q", status, text)
	}
	diskFull.Store(false)
	api.mustStore(t, "the change when there is space", api.service.AfterSync)
	if _, text := api.call(t, "GET /control/jobs/show?id=job-1 HTTP/1.1\r\n\r\n"); !strings.Contains(text, `"discarded"`) {
		t.Errorf("the job afterwards: %q", text)
	}
}

// A process has given its store to its successor. It must neither change jobs nor list them
// as they were: what it knows of them is out of date.
func TestJobsOfGivenUpStoreAreNeitherListedNorChanged(t *testing.T) {
	api := newFullTestAPI(t)
	api.pushRenewal(t, "job-1")
	api.mustStore(t, "the close", func(done func(error)) {
		api.service.Close(api.dispatcher.Loop.Now()+time.Second, done)
	})
	for _, call := range []string{putDiscard, "GET /control/jobs HTTP/1.1\r\n\r\n", "GET /control/jobs/show?id=job-1 HTTP/1.1\r\n\r\n"} {
		status, text := api.call(t, call)
		if status != http.StatusServiceUnavailable || !strings.Contains(text, "the other process has the store") {
			t.Errorf("%.40q: %d %q", call, status, text)
		}
	}
}
