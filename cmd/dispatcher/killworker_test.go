package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// runKillWorker is a worker process with two slots. It writes what it ran to the ledger
// file, and its calls to a history of its own. It does not return.
func runKillWorker(dir, wid, promise string, seed uint64, slow float64) {
	open := func(name string) *os.File {
		f, err := os.OpenFile(filepath.Join(dir, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			panic(err)
		}
		return f
	}
	books, history := open("books"), open("history-"+wid)
	for slot := range 2 {
		go func() {
			random := rand.New(rand.NewPCG(seed, uint64(slot)))
			client := int(seed)*2 + slot
			var c *faktoryClient
			// ask repeats a command until it is answered, over restarts of the dispatcher.
			ask := func(kind, jid string, fence uint64, command string, tries int) (got string, answered bool) {
				for range tries {
					if c == nil {
						labels := []string{"born_ms:1"}
						if promise != "" {
							labels = append(labels, promise)
						}
						var err error
						if c, err = dialFaktory(dir, map[string]any{"wid": wid, "labels": labels}); err != nil {
							c = nil
							time.Sleep(3 * time.Millisecond)
							continue
						}
					}
					k := historyCall{Client: client, Kind: kind, Jid: jid, Fence: fence, Began: time.Now().UnixNano()}
					line := func() {
						if raw, _ := json.Marshal(k); kind != "lease" {
							history.Write(append(raw, '\n'))
						}
					}
					line() // a kill leaves it without an end
					got, err := c.do(command)
					if err != nil {
						c.conn.Close()
						c = nil
						if kind == "lease" {
							return "", false
						}
						continue
					}
					k.Ended, k.OK = time.Now().UnixNano(), got == "+OK"
					line()
					return got, true
				}
				return "", false
			}
			for {
				began := time.Now().UnixNano()
				got, ok := ask("lease", "", 0, "FETCH renewal", 1000)
				var job struct {
					Jid    string
					Custom struct{ Fence uint64 }
				}
				if !ok || json.Unmarshal([]byte(got), &job) != nil || job.Jid == "" {
					continue
				}
				raw, _ := json.Marshal(historyCall{client, "lease", job.Jid, job.Custom.Fence, began, time.Now().UnixNano(), true})
				history.Write(append(raw, '\n'))
				lease := fmt.Sprintf(`{"jid":%q,"fence":%d}`, job.Jid, job.Custom.Fence)
				if random.Float64() < slow { // half of these longer than the lease
					time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
				}
				if promise == "fences:1" {
					if got, ok := ask("start", job.Jid, job.Custom.Fence, "START "+lease, 1000); !ok || got != "+OK" {
						continue
					}
				}
				if promise == "idempotent:1" {
					f, err := os.OpenFile(filepath.Join(dir, "till", job.Jid), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
					if err == nil {
						f.Close() // the file says that it ran
					}
				} else {
					fmt.Fprintf(books, "%s %d %s\n", job.Jid, job.Custom.Fence, wid)
				}
				time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
				ask("ack", job.Jid, job.Custom.Fence, "ACK "+lease, 1000)
			}
		}()
	}
	select {}
}
