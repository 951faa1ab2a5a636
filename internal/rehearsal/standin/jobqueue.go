package standin

import (
	"slices"
	"time"
)

// queuedJob is a job that waits for free slots and memory.
type queuedJob struct {
	slots  float64
	memory float64
	begin  chan bool // receives true when the job starts, or false when a draining worker returns it
}

// enqueue queues a job. It returns false if the worker rejects the job: if the worker drains, its
// queue is full, or the job needs more than the worker has.
func (w *Worker) enqueue(slots float64) (*queuedJob, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.draining || slots > w.Slots || slots > w.Memory || len(w.queue) >= w.QueueLimit {
		return nil, false
	}
	queued := &queuedJob{slots: slots, memory: slots, begin: make(chan bool, 1)}
	w.queue = append(w.queue, queued)
	w.startQueued()
	return queued, true
}

// startQueued starts queued jobs in order until the next one does not fit. It starts none while the
// worker is stalled. The caller holds the lock.
func (w *Worker) startQueued() {
	for len(w.queue) > 0 && !time.Now().Before(w.stalledUntil) {
		first := w.queue[0]
		if w.usedSlots+first.slots > w.Slots || w.usedMemory+first.memory > w.Memory {
			return
		}
		w.queue = w.queue[1:]
		w.usedSlots += first.slots
		w.usedMemory += first.memory
		first.begin <- true
	}
}

// abandon removes a job from the queue. It returns false if the job was already started or returned.
func (w *Worker) abandon(queued *queuedJob) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	i := slices.Index(w.queue, queued)
	if i < 0 {
		return false
	}
	w.queue = append(w.queue[:i], w.queue[i+1:]...)
	w.startQueued()
	return true
}

// release frees the slots and the memory of a job that has ended.
func (w *Worker) release(slots float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.usedSlots -= slots
	w.usedMemory -= slots
	w.startQueued()
}

// Free returns the number of free slots and the number of queued jobs.
func (w *Worker) Free() (slots float64, queued int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.Slots - w.usedSlots, len(w.queue)
}
