package faktory

import (
	"strings"
	"testing"
)

// INFO counted the jobs of a queue that QUEUE REMOVE, FLUSH or MUTATE had discarded, until a worker fetched from it. The
// cause: it counted the entries of the scheduler's queue, where a job that was discarded stays until it comes up ("renewal":2
// after the removal, "total_enqueued":0 beside it).
func TestInfoCountsNoDiscardedJobs(t *testing.T) {
	withDurableFront(t, newStorePath(t), "flush = true\n", func(address string) {
		producer := dialProducer(t, address)
		for _, discard := range []string{"QUEUE REMOVE renewal", "FLUSH"} {
			for _, jid := range []string{"count-0001", "count-0002"} {
				producer.expect(pushCommand(jid+discard[:5], "renewal", ""), "+OK")
			}
			if info := producer.do("INFO"); !strings.Contains(info, `"renewal":2`) {
				t.Errorf("two jobs wait: %s", info)
			}
			producer.expect(discard, "+OK")
			if info := producer.do("INFO"); !strings.Contains(info, `"renewal":0`) {
				t.Errorf("after %s: %s", discard, info)
			}
		}
	})
}

// A QUEUE whose operation is unknown is malformed, whatever its queues are. It was answered as UNKNOWN, as if its queue
// were at fault.
func TestUnknownQueueOperationIsMalformed(t *testing.T) {
	withDurableFront(t, newStorePath(t), "", func(address string) {
		producer := dialProducer(t, address)
		producer.expect("QUEUE STOP nothing", "-ERR MALFORMED")
		producer.expect("QUEUE STOP renewal", "-ERR MALFORMED")
		producer.expect("QUEUE PAUSE nothing", "-ERR UNKNOWN")
	})
}
