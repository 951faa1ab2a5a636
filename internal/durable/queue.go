package durable

// jobQueues holds the ids of runnable jobs that have not been passed to the dispatcher, in a queue for each class. A job
// is queued at most once.
type jobQueues struct {
	byClass []classQueue
	queued  map[string]bool // the ids in any queue, and those of postponed jobs
}

// classQueue is the queue of one class. Jobs in rejected come before those in waiting.
type classQueue struct {
	rejected []string // rejected by the dispatcher, and requeued after a wait
	waiting  []string
}

func newJobQueues(classCount int) jobQueues {
	return jobQueues{byClass: make([]classQueue, classCount), queued: map[string]bool{}}
}

// add appends a job to the queue of its class.
func (q *jobQueues) add(class int, id string) {
	q.queued[id] = true
	q.byClass[class].waiting = append(q.byClass[class].waiting, id)
}

// postpone records a rejected job, so that enqueue does not add it again before requeue puts it into its queue.
func (q *jobQueues) postpone(id string) { q.queued[id] = true }

// requeue puts a job that was postponed behind the other rejected jobs of its class.
func (q *jobQueues) requeue(class int, id string) {
	q.byClass[class].rejected = append(q.byClass[class].rejected, id)
}

// contains reports whether a job is queued or postponed.
func (q *jobQueues) contains(id string) bool { return q.queued[id] }

// isEmpty reports whether no job is queued or postponed.
func (q *jobQueues) isEmpty() bool { return len(q.queued) == 0 }

// length is the number of jobs in the queue of a class, without postponed jobs.
func (q *jobQueues) length(class int) int {
	queue := &q.byClass[class]
	return len(queue.rejected) + len(queue.waiting)
}

// pop removes and returns the first job of a class, whose queue must not be empty.
func (q *jobQueues) pop(class int) (id string) {
	ids := &q.byClass[class].rejected
	if len(*ids) == 0 {
		ids = &q.byClass[class].waiting
	}
	id = (*ids)[0]
	*ids = (*ids)[1:]
	delete(q.queued, id)
	return id
}
