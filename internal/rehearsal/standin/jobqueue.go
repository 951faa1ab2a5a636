package standin

import (
	"slices"
	"time"
)

// queuedJob is a job that waits for its slots.
type queuedJob struct {
	slots  float64
	memory float64
	begin  chan bool // true: start; false: returned by a draining worker
}

// enqueue queues a job. It reports false if the worker has no capacity for it, now or ever.
func (w *Worker) enqueue(slots float64) (*queuedJob, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.draining || slots > w.Cores || slots > w.Memory || len(w.queue) >= w.QueueLimit {
		return nil, false
	}
	queued := &queuedJob{slots: slots, memory: slots, begin: make(chan bool, 1)}
	w.queue = append(w.queue, queued)
	w.startQueued()
	return queued, true
}

// startQueued starts jobs in order until one does not fit. The caller holds the lock.
func (w *Worker) startQueued() {
	for len(w.queue) > 0 && !time.Now().Before(w.stalledUntil) {
		first := w.queue[0]
		if w.usedSlots+first.slots > w.Cores || w.usedMemory+first.memory > w.Memory {
			return
		}
		w.queue = w.queue[1:]
		w.usedSlots += first.slots
		w.usedMemory += first.memory
		first.begin <- true
	}
}

// abandon takes a job out of the queue. It reports false if the job has been started or returned.
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

// release frees the capacity of a job that has ended.
func (w *Worker) release(slots float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.usedSlots -= slots
	w.usedMemory -= slots
	w.startQueued()
}

// Free returns the number of free slots and of queued jobs.
func (w *Worker) Free() (slots float64, queued int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.Cores - w.usedSlots, len(w.queue)
}
