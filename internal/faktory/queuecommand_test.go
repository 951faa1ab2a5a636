package faktory

import (
	"strings"
	"testing"
)

// INFO must not count jobs that QUEUE REMOVE, FLUSH or MUTATE has discarded. Guards against a count of the entries of
// the scheduler's queue, in which a discarded job stays until it is dequeued: after the removal of two jobs, INFO then
// reports "renewal":2, although "total_enqueued" is 0.
func TestInfoCountsNoDiscardedJobs(t *testing.T) {
	withDurableFrontEnd(t, newStorePath(t), "flush = true\n", func(address string) {
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

// A QUEUE with an unknown operation must be answered with MALFORMED, whatever its queues are. Guards against
// the answer UNKNOWN if a queue is unknown too, which attributes the error to the queue.
func TestUnknownQueueOperationIsMalformed(t *testing.T) {
	withDurableFrontEnd(t, newStorePath(t), "", func(address string) {
		producer := dialProducer(t, address)
		producer.expect("QUEUE STOP nothing", "-ERR MALFORMED")
		producer.expect("QUEUE STOP renewal", "-ERR MALFORMED")
		producer.expect("QUEUE PAUSE nothing", "-ERR UNKNOWN")
	})
}
