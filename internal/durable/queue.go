package durable

// jobQueues holds the ids of runnable jobs that have not been passed to the dispatcher, in a queue for each class. A job
// is queued at most once.
type jobQueues struct {
	byClass []classQueue
	queued  map[string]bool // the ids in any queue, and those of postponed jobs
}

// classQueue is the queue of one class. Its lists come in the order of the fields.
type classQueue struct {
	awaited  []string // a client waits for the result
	rejected []string // rejected by the dispatcher, and requeued after a wait
	waiting  []string
}

func newJobQueues(classCount int) jobQueues {
	return jobQueues{byClass: make([]classQueue, classCount), queued: map[string]bool{}}
}

// add appends a job to the queue of its class. awaited says that a client waits for its result.
func (q *jobQueues) add(class int, id string, awaited bool) {
	q.queued[id] = true
	queue := &q.byClass[class]
	if awaited {
		queue.awaited = append(queue.awaited, id)
		return
	}
	queue.waiting = append(queue.waiting, id)
}

// postpone records a rejected job, so that enqueue does not add it again before requeue puts it into its queue.
func (q *jobQueues) postpone(id string) { q.queued[id] = true }

// requeue puts a job that was postponed behind the other rejected jobs of its class, or behind the awaited ones.
func (q *jobQueues) requeue(class int, id string, awaited bool) {
	queue := &q.byClass[class]
	if awaited {
		queue.awaited = append(queue.awaited, id)
		return
	}
	queue.rejected = append(queue.rejected, id)
}

// contains reports whether a job is queued or postponed.
func (q *jobQueues) contains(id string) bool { return q.queued[id] }

// isEmpty reports whether no job is queued or postponed.
func (q *jobQueues) isEmpty() bool { return len(q.queued) == 0 }

// pop removes and returns the first job of a class. It returns false if there is none. With awaitedOnly it looks only at
// the jobs for which a client waits.
func (q *jobQueues) pop(class int, awaitedOnly bool) (id string, found bool) {
	queue := &q.byClass[class]
	for _, list := range []*[]string{&queue.awaited, &queue.rejected, &queue.waiting} {
		if len(*list) > 0 {
			id = (*list)[0]
			*list = (*list)[1:]
			delete(q.queued, id)
			return id, true
		}
		if awaitedOnly {
			break
		}
	}
	return "", false
}
