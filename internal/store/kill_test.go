package store

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// Environment of the child process of TestKilled: the file to write to, and the prefix of its ids.
const (
	killedChild = "STORE_CHILD"
	killedRound = "STORE_ROUND"
)

func TestMain(m *testing.M) {
	if path := os.Getenv(killedChild); path != "" {
		writeUntilKilled(path)
	}
	os.Exit(m.Run())
}

// writeUntilKilled writes records, and prints each id whose record the store has reported as stored.
func writeUntilKilled(path string) {
	store, err := Open(path, Options{})
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	var printing sync.Mutex
	var running sync.WaitGroup
	for producer := range 8 {
		running.Go(func() {
			for i := 0; ; i++ {
				id := fmt.Sprintf("%s-%d-%06d", os.Getenv(killedRound), producer, i)
				printStored := func(err error) {
					if err != nil {
						return
					}
					printing.Lock()
					defer printing.Unlock()
					fmt.Println(id)
				}
				putAndReport(store, printStored, withTwin(id, strings.Repeat("x", i%700))...)
			}
		})
	}
	running.Wait()
}

// writeAndKill runs a child process that writes to a file, and kills it after it has reported more than killAfter
// records as stored. It returns the ids of all records that were reported before the process ended.
func writeAndKill(t *testing.T, path string, round, killAfter int) (acknowledged []string) {
	t.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), killedChild+"="+path, fmt.Sprint(killedRound, "=", round))
	output, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(output)
	for count := 0; lines.Scan(); count++ {
		acknowledged = append(acknowledged, lines.Text())
		if count == killAfter {
			child.Process.Signal(syscall.SIGKILL)
		}
	}
	child.Wait()
	return acknowledged
}

// checkAfterKill checks that a file opens, and holds all records that were reported as stored and both records of each
// Put or none.
func checkAfterKill(t *testing.T, path string, round int, acknowledged map[string]bool) {
	t.Helper()
	when := fmt.Sprint("after kill ", round)
	store, err := Open(path, Options{})
	if err != nil {
		t.Fatalf("%s: %v", when, err)
	}
	records, err := store.Verify()
	states := mustLoad(t, store)
	if err != nil || records != len(states) {
		t.Fatalf("%s: %d records, want %d, %v", when, records, len(states), err)
	}
	for id := range acknowledged {
		if states[id] != "accepted" {
			t.Fatalf("%s: %s was reported as stored and is not there", when, id)
		}
	}
	checkTwins(t, when, states)
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

// A process that writes to the file is killed at arbitrary moments, several times: the file opens each time, and holds
// all records that were reported as stored, and both records of each Put or none.
func TestKilled(t *testing.T) {
	path := newPath(t)
	acknowledged := map[string]bool{}
	for round := range 12 {
		for _, id := range writeAndKill(t, path, round, 20+round*13) {
			acknowledged[id] = true
		}
		checkAfterKill(t, path, round, acknowledged)
	}
	if len(acknowledged) < 500 {
		t.Errorf("only %d records were reported as stored", len(acknowledged))
	}
}
