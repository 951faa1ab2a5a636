package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Numbers of jobs that TestJobsCommands pushes.
const (
	scheduledJobs = 250               // those with the ids later-1000 to later-1249
	jobCount      = scheduledJobs + 3 // number of all jobs
)

// jobsTest runs the jobs commands on the jobs of a dispatcher with a durable queue.
type jobsTest struct {
	t            *testing.T
	dir          string
	dispatcher   *exec.Cmd
	adminAddress string // of the admin API of the dispatcher that was started last
	producer     *faktoryClient
}

// jobsTarget is what a jobs command works on.
type jobsTarget string

const (
	runningDispatcher jobsTarget = "admin" // a running dispatcher, through its admin API
	stoppedDispatcher jobsTarget = "file"  // the store file of a stopped dispatcher
)

// start starts the dispatcher. lease is the length of leases in seconds.
func (j *jobsTest) start(lease float64) {
	j.t.Helper()
	writeDurableConfig(j.t, j.dir, lease)
	j.dispatcher = startDurable(j.t, builtProgram, j.dir)
	address, err := os.ReadFile(filepath.Join(j.dir, adminAddressFileName))
	if err != nil {
		j.t.Fatal(err)
	}
	j.adminAddress = string(address)
}

func (j *jobsTest) storePath() string { return filepath.Join(j.dir, storeFileName) }

// run runs a jobs command, and returns its output.
func (j *jobsTest) run(target jobsTarget, args ...string) (string, error) {
	targetFlag := []string{"--door", j.adminAddress}
	if target == stoppedDispatcher {
		targetFlag = []string{"--store", j.storePath()}
	}
	commandLine := append([]string{"jobs"}, targetFlag...)
	commandLine = append(commandLine, args...)
	var output bytes.Buffer
	err := runCommand(commandLine, func(string) string { return "" }, &output, &output)
	return output.String(), err
}

// mustPrint runs a command, and fails the test unless the command succeeds and prints want. It
// returns the whole output.
func (j *jobsTest) mustPrint(want string, target jobsTarget, args ...string) string {
	j.t.Helper()
	got, err := j.run(target, args...)
	if err != nil || !strings.Contains(got, want) {
		j.t.Fatalf("%s %v: %q, %v; want %q", target, args, got, err, want)
	}
	return got
}

// mustSucceed runs a command, and fails the test if the command fails. It returns the
// command's output.
func (j *jobsTest) mustSucceed(target jobsTarget, args ...string) string {
	j.t.Helper()
	return j.mustPrint("", target, args...)
}

// mustFail runs a command, and fails the test unless the command fails with an error that
// contains want.
func (j *jobsTest) mustFail(want string, target jobsTarget, args ...string) {
	j.t.Helper()
	got, err := j.run(target, args...)
	if err == nil || !strings.Contains(err.Error(), want) {
		j.t.Fatalf("%s %v: %q, %v; want the error %q", target, args, got, err, want)
	}
}

// connect connects a Faktory worker, or a producer if workerID is empty.
func (j *jobsTest) connect(workerID string) *faktoryClient {
	j.t.Helper()
	client, err := dialFaktory(j.dir, faktoryHello(workerID))
	if err != nil {
		j.t.Fatal(err)
	}
	return client
}

// push pushes a renewal. fields are as for pushRenewal.
func (j *jobsTest) push(id, fields string) {
	j.t.Helper()
	command := pushRenewal(id, `["member 7"]`, fields)
	got, err := j.producer.do(command)
	if err != nil || strings.HasPrefix(got, "-") {
		j.t.Fatalf("%s: %q, %v", command, got, err)
	}
}

// fetch sends FETCH until the worker gets a job.
func (j *jobsTest) fetch(worker *faktoryClient) {
	j.t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		got, err := worker.do("FETCH renewal")
		if err != nil || time.Now().After(end) {
			j.t.Fatalf("FETCH: %q, %v", got, err)
		}
		if strings.Contains(got, "jid") {
			return
		}
	}
}

// waitUntilInDoubt waits until the leases of count jobs have expired and the jobs are in doubt.
func (j *jobsTest) waitUntilInDoubt(count int) {
	j.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		list := j.mustSucceed(runningDispatcher, "list", "--state", "in doubt")
		if strings.Count(list, "may have run") == count {
			return
		}
		if time.Now().After(end) {
			j.t.Fatal("the jobs were not in doubt in time")
		}
	}
}

// The jobs commands work through the admin API of a running dispatcher and on the store
// file of a stopped one. Each change is in the audit log with its reason.
func TestJobsCommands(t *testing.T) {
	jobs := &jobsTest{t: t, dir: t.TempDir()}
	jobs.start(0.2)
	defer func() { jobs.dispatcher.Process.Kill() }()
	jobs.producer = jobs.connect("")
	jobs.push("doubt-0001", "")
	jobs.fetch(jobs.connect("w1"))
	jobs.push("doubt-0002", "")
	jobs.fetch(jobs.connect("w2"))
	jobs.waitUntilInDoubt(2)
	inAnHour := time.Now().Add(time.Hour).Format(time.RFC3339)
	jobs.push("later-0001", `,"at":"`+inAnHour+`"`)
	for i := range scheduledJobs {
		jobs.push(fmt.Sprintf("later-1%03d", i), `,"at":"`+inAnHour+`"`)
	}

	jobs.checkCommandsOfRunning()
	jobs.dispatcher.Process.Kill()
	jobs.dispatcher.Wait()
	jobs.checkCommandsOfStopped()
	jobs.checkResolvedJobsRun()
	jobs.checkDamagedRecord()
}

// checkCommandsOfRunning checks the commands through the admin API of the running dispatcher,
// and that commands on its store file are rejected.
func (j *jobsTest) checkCommandsOfRunning() {
	j.t.Helper()
	j.mustPrint(`"member 7"`, runningDispatcher, "show", "doubt-0001")
	j.mustFail("either --store or --door", runningDispatcher, "--store", "x", "list")
	j.mustFail("state:", runningDispatcher, "list", "--state", "lost")
	j.mustFail("no such job", runningDispatcher, "show", "nobody")
	j.mustFail("reason", runningDispatcher, "settle", "doubt-0001", "--ran")
	j.mustFail("not in doubt", runningDispatcher, "settle", "later-0001", "--ran", "--reason", "x")
	j.mustFail("needs --store", runningDispatcher, "verify")
	j.mustSucceed(runningDispatcher, "settle", "doubt-0001", "--ran", "--reason", "the till shows it")
	j.mustPrint("done", runningDispatcher, "list", "--state", "done")
	j.mustSucceed(runningDispatcher, "discard", "later-0001", "--reason", "asked twice")
	if list := j.mustSucceed(runningDispatcher, "list"); strings.Count(list, "\n") != jobCount {
		j.t.Errorf("the list, which takes several pages, has %d lines", strings.Count(list, "\n"))
	}
	if list := j.mustSucceed(runningDispatcher, "list", "--limit", "3"); strings.Count(list, "\n") != 3 || !strings.HasPrefix(list, "doubt-0001") {
		j.t.Errorf("the list of three is %q", list)
	}
	j.mustFail("another process has it open", stoppedDispatcher, "list")
	j.mustFail("another process has it open", stoppedDispatcher, "compact")
	j.mustSucceed(runningDispatcher, "snapshot", "copy.db")
	j.mustFail("there is a file already", runningDispatcher, "snapshot", "copy.db")
	j.mustFail("no plain file name", runningDispatcher, "snapshot", "../copy.db")
}

// checkCommandsOfStopped checks the commands on the store file of the stopped dispatcher.
func (j *jobsTest) checkCommandsOfStopped() {
	j.t.Helper()
	j.mustPrint("whole", stoppedDispatcher, "verify")
	list := j.mustPrint("doubt-0002", stoppedDispatcher, "list")
	j.mustPrint("bytes now", stoppedDispatcher, "compact")
	j.mustSucceed(stoppedDispatcher, "snapshot", "second.db")
	for _, name := range []string{storeFileName, "copy.db", "second.db"} {
		var output bytes.Buffer
		err := runCommand([]string{"jobs", "--store", filepath.Join(j.dir, name), "list"}, os.Getenv, &output, &output)
		if err != nil || output.String() != list {
			j.t.Errorf("%s: %v; %d lines, want %d", name, err, strings.Count(output.String(), "\n"), strings.Count(list, "\n"))
		}
	}
	j.mustSucceed(stoppedDispatcher, "settle", "doubt-0002", "--not-ran", "--reason", "the till has no such member")
	j.mustFail("not in doubt", stoppedDispatcher, "settle", "doubt-0002", "--ran", "--reason", "x")
	j.mustPrint("ready", stoppedDispatcher, "list", "--state", "ready")
	j.mustSucceed(stoppedDispatcher, "retry", "later-1007", "--reason", "the member waits")
	if export := j.mustPrint(`"args":["member 7"]`, stoppedDispatcher, "export"); strings.Count(export, "\n") != jobCount {
		j.t.Errorf("the export has %d lines", strings.Count(export, "\n"))
	}
	audit := j.mustSucceed(stoppedDispatcher, "audit")
	for _, want := range []string{"in doubt", "the till shows it", "settled: it did not run", "asked twice", "the member waits"} {
		if !strings.Contains(audit, want) {
			j.t.Errorf("the audit log lacks %q: %s", want, audit)
		}
	}
}

// checkResolvedJobsRun checks that jobs that were resolved or retried in the store file are
// leased to workers after the next start.
func (j *jobsTest) checkResolvedJobsRun() {
	j.t.Helper()
	j.start(60) // seconds; no lease expires in this time, even on a slow machine
	j.fetch(j.connect("w3"))
	j.fetch(j.connect("w4"))
	leased := j.mustSucceed(runningDispatcher, "list", "--state", "leased")
	if !strings.Contains(leased, "doubt-0002") || !strings.Contains(leased, "later-1007") {
		j.t.Errorf("leased: %q", leased)
	}
	j.dispatcher.Process.Signal(syscall.SIGTERM)
	j.dispatcher.Wait()
}

// checkDamagedRecord checks that a damaged record is not skipped: commands fail with an error
// that contains the id of the record.
func (j *jobsTest) checkDamagedRecord() {
	j.t.Helper()
	text, err := os.ReadFile(j.storePath())
	if err != nil {
		j.t.Fatal(err)
	}
	damaged := bytes.ReplaceAll(text, []byte("later-1003\",\"Class"), []byte("later-1003\",\"Clqss"))
	writeFile(j.t, j.dir, storeFileName, string(damaged))
	j.mustFail("later-1003", stoppedDispatcher, "verify")
	j.mustFail("later-1003", stoppedDispatcher, "list")
}
