package faktory

import (
	"strings"
	"testing"
	"time"
)

// A front end gives up its store while a producer and a worker wait for a disk that is
// slower than the time for which a release waits. Both must be answered: +OK if the
// change is stored after all, and otherwise that the command has to be sent again. A
// connection that is closed without a reply, or a report that is answered with VOID,
// leaves the outcome of a renewal open.
func TestReleaseAnswersCommandsOfSlowStore(t *testing.T) {
	for _, test := range []struct {
		name       string
		confirms   bool // the store confirms the changes before the front end has to answer
		push, fail string
	}{
		{"confirmed late", true, replyOK, replyOK},
		{"never confirmed", false, "-ERR REFUSED the store has not confirmed it; pushing it again is harmless",
			"-ERR REFUSED the store has not confirmed it; report it again"},
	} {
		t.Run(test.name, func(t *testing.T) {
			holding := make(chan struct{})
			release := make(chan struct{})
			hold := func() error {
				select {
				case <-holding:
					<-release
				default:
				}
				return nil
			}
			table := "[durable]\npath = \"" + newStorePath(t) + "\"\nqueues = [\"renewal\", \"status-check\"]\n"
			address, rig, frontEnd := openFrontEndWith(t, serverConfig+table, hold, nil)
			producer := dialProducer(t, address)
			worker := dialWorker(t, address, "w1")
			producer.expect(`PUSH {"jid":"job-00001","queue":"renewal","jobtype":"x","args":[1]}`, replyOK)
			job := worker.lease("renewal")
			close(holding)
			replies := make(chan [2]string, 2)
			go func() {
				replies <- [2]string{"push", producer.do(`PUSH {"jid":"job-00002","queue":"renewal","jobtype":"x","args":[1]}`)}
			}()
			go func() { replies <- [2]string{"fail", worker.do("FAIL " + job.leaseArgument())} }()
			for busy := 0; busy < 2; time.Sleep(time.Millisecond) {
				rig.Do(func() {
					busy = 0
					frontEnd.Server.connections.ForEach(func(_ uint64, c *connection) {
						if c.busy && c.fetch == nil {
							busy++
						}
					})
				})
			}
			released := make(chan struct{})
			const slower = releaseTimeout + 200*time.Millisecond
			rig.Do(func() {
				frontEnd.Release(rig.Dispatcher.Loop.Now()+slower+200*time.Millisecond, func() { close(released) })
			})
			if test.confirms {
				time.Sleep(slower)
				close(release)
			}
			want := map[string]string{"push": test.push, "fail": test.fail}
			for range want {
				reply := <-replies
				if reply[1] != want[reply[0]] || strings.HasPrefix(reply[1], brokenPrefix) {
					t.Errorf("the reply to the %s: %q, want %q", reply[0], reply[1], want[reply[0]])
				}
			}
			if !test.confirms {
				close(release)
			}
			<-released
		})
	}
}
