package childprocess

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// startShell starts a shell that runs script, and waits until the script has written its first line.
func startShell(t *testing.T, script string) *Process {
	t.Helper()
	output, input, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	command := exec.Command("sh", "-c", script)
	command.Stdout = input
	process, err := Start(command)
	input.Close()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := output.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return process
}

func TestProcessEndsByItself(t *testing.T) {
	process := startShell(t, "echo started; exit 3")
	select {
	case <-process.Done():
	case <-time.After(testTimeout):
		t.Fatal("the process has not ended")
	}
	if got, want := process.Outcome(), "exit status 3"; got != want {
		t.Errorf("outcome %q, want %q", got, want)
	}
	if err := process.Signal(syscall.SIGTERM); err == nil {
		t.Error("sending a signal to an ended process succeeded")
	}
}

func TestStartReportsMissingProgram(t *testing.T) {
	if _, err := Start(exec.Command("/nonexistent/program")); err == nil {
		t.Error("a program that does not exist was started")
	}
}

func TestStopBySignal(t *testing.T) {
	process := startShell(t, "echo started; exec sleep 60")
	if Stop(process, syscall.SIGTERM, testTimeout) {
		t.Error("the process was killed, although SIGTERM ends it")
	}
	if got, want := process.Outcome(), "signal: terminated"; got != want {
		t.Errorf("outcome %q, want %q", got, want)
	}
}

func TestStopKillsAfterTimeout(t *testing.T) {
	process := startShell(t, "trap '' TERM; echo started; while :; do sleep 0.05; done")
	if !Stop(process, syscall.SIGTERM, 100*time.Millisecond) {
		t.Error("a process that ignores SIGTERM was not killed")
	}
	if got, want := process.Outcome(), "signal: killed"; got != want {
		t.Errorf("outcome %q, want %q", got, want)
	}
}

func TestResidentKiB(t *testing.T) {
	if resident := ResidentKiB(os.Getpid()); resident <= 0 {
		t.Errorf("this process has %d KiB of resident memory, want more than 0", resident)
	}
	process := startShell(t, "echo started")
	<-process.Done()
	if resident := ResidentKiB(process.command.Process.Pid); resident != 0 {
		t.Errorf("an ended process has %d KiB of resident memory, want 0", resident)
	}
}
