package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// adminLogLine is the text before the address of the admin API in the log.
const adminLogLine = "admin API at "

// adminAddress waits until the program has logged the address of its admin API, and returns it.
func (d *testDaemon) adminAddress() string {
	d.t.Helper()
	d.waitForLog(adminLogLine)
	log := d.log.String()
	_, rest, found := strings.Cut(log, adminLogLine)
	if !found {
		_, rest, _ = strings.Cut(log, earlierLogLines[adminLogLine])
	}
	address, _, _ := strings.Cut(rest, `"`)
	return address
}

// callAdmin makes a call to the admin API. It returns status 0 if the call is not answered.
func (d *testDaemon) callAdmin(method, path string) (status int, body string) {
	d.t.Helper()
	request, _ := http.NewRequest(method, "http://"+d.adminAddress()+path, nil)
	response, err := newConnectionClient().Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// ready reports whether, according to the admin API, the process accepts clients.
func (d *testDaemon) ready() bool {
	status, _ := d.callAdmin(http.MethodGet, "/control/ready")
	return status == http.StatusOK
}

// setOutOfService begins a drain, and returns the status of the call.
func (d *testDaemon) setOutOfService() int {
	d.t.Helper()
	status, _ := d.callAdmin(http.MethodPut, "/control/out-of-service")
	return status
}

// setInService ends a drain, and returns the status of the call.
func (d *testDaemon) setInService() int {
	d.t.Helper()
	status, _ := d.callAdmin(http.MethodPut, "/control/in-service")
	return status
}

// adminCounters are the counters of the admin API. Those in maps are by class.
type adminCounters struct {
	Succeeded, Declined, Aborted               map[string]int
	Forwards, Outstanding, Discovered, Ejected int
}

func (d *testDaemon) counters() (counters adminCounters) {
	d.t.Helper()
	_, text := d.callAdmin(http.MethodGet, "/control/counters")
	if err := json.Unmarshal([]byte(text), &counters); err != nil {
		d.t.Fatalf("%q: %v", text, err)
	}
	return counters
}
