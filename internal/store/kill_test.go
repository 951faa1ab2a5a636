package store

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
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
	s, err := Open(path, Options{})
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	var mu sync.Mutex
	var running sync.WaitGroup
	for p := range 8 {
		running.Add(1)
		go func() {
			defer running.Done()
			for i := 0; ; i++ {
				id := fmt.Sprintf("%s-%d-%06d", os.Getenv(killedRound), p, i)
				done := make(chan struct{})
				s.Put([]Record{{id, testJob{"accepted", strings.Repeat("x", i%700)}}, {id + "+", testJob{"twin", ""}}}, func(err error) {
					if err == nil {
						mu.Lock()
						fmt.Println(id)
						mu.Unlock()
					}
					close(done)
				})
				<-done
			}
		}()
	}
	running.Wait()
}

// A process is killed at arbitrary moments, over and over on one file: all records that were reported as stored are
// there, those of one Put are there together, and the file opens at once.
func TestKilled(t *testing.T) {
	path := filepath.Join(t.TempDir(), "jobs.db")
	acknowledged := map[string]bool{}
	for round := range 12 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), killedChild+"="+path, fmt.Sprint(killedRound, "=", round))
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		in := bufio.NewScanner(out)
		for n := 0; in.Scan(); n++ {
			acknowledged[in.Text()] = true
			if n == 20+round*13 {
				cmd.Process.Signal(syscall.SIGKILL)
			}
		}
		cmd.Wait()
		s, err := Open(path, Options{})
		if err != nil {
			t.Fatalf("after kill %d: %v", round, err)
		}
		records, err := s.Verify()
		got := mustLoad(t, s)
		if err != nil || records != len(got) {
			t.Fatalf("after kill %d: %d records, %v", round, records, err)
		}
		for id := range acknowledged {
			if got[id] != "accepted" {
				t.Fatalf("after kill %d: %s was reported as stored and is not there", round, id)
			}
		}
		for id := range got {
			if twin, is := strings.CutSuffix(id, "+"); is && got[twin] == "" || !is && got[id+"+"] == "" {
				t.Fatalf("after kill %d: %s is there without the other record of its Put", round, id)
			}
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if len(acknowledged) < 500 {
		t.Errorf("only %d records were reported as stored", len(acknowledged))
	}
}
