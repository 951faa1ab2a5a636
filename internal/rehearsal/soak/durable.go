package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
)

// The dispatchers with durable queues, by number.
const (
	restartedQueue   = iota // is ended and restarted
	diskFailingQueue        // writes and syncs of its file fail
	replacedQueue           // its process is replaced by successors, and HTTP clients send it requests with keys
	durableQueues
)

const (
	durableProducers = 2 // for each queue
	durableWorkers   = 2 // for each queue

	pushInterval          = 50 * time.Millisecond
	invalidReportInterval = 15 * time.Millisecond
	retryPause            = 20 * time.Millisecond // before a client reconnects or repeats a command
	jobRunTime            = 2 * time.Millisecond

	// noRunTimeout is how long, after the faults have ended, the wait for accepted jobs continues without any run of a
	// job. The time for all of these jobs together has no limit: it depends on the disk, because each job takes several
	// syncs.
	noRunTimeout = 10 * time.Second

	minRestartPause = 2 * time.Second // minimum time that a dispatcher runs before it is ended
	maxRestartPause = 6 * time.Second // maximum of that time
	maxRestartTime  = time.Second     // maximum time until it is started again

	durableLeaseSeconds = 1
)

// durableQueue is a dispatcher with a durable queue for renewals, and records what its producers and workers observed.
type durableQueue struct {
	*daemon
	address string // address of the Faktory front end
	number  int    // restartedQueue, diskFailingQueue or replacedQueue

	mutex    sync.Mutex
	pushed   []string        // every jid that was pushed, in order
	accepted map[string]bool // by jid, whether the producer has received +OK
	runs     map[string]int  // by jid, number of runs
	lastRun  time.Time
	keyed    []keyedRequest // of HTTP clients
	direct   directJobs     // of restartedQueue, whose status-checks are not durable
}

// newDurableQueue prepares the dispatcher with a durable queue that has a number.
func (r *run) newDurableQueue(number int, seed uint64) (*durableQueue, error) {
	daemon, err := r.newDaemon(r.config.Daemons+number, false, seed)
	if err != nil {
		return nil, err
	}
	daemon.name = fmt.Sprintf("q%02d", number)
	daemon.config.Name = daemon.name
	daemon.config.Discovery = "" // it needs no list of workers, since its workers fetch jobs
	daemon.config.InitialList = nil
	address, err := childprocess.FreeAddress()
	if err != nil {
		return nil, err
	}
	queues := fmt.Sprintf("%q", classRenewal)
	if number == replacedQueue {
		queues = fmt.Sprintf("%q, %q, %q", classRenewal, classStatusCheck, classTransfer) // a direct queue could not be handed over
		if err := daemon.inheritListener(r.dir); err != nil {
			return nil, err
		}
	}
	optionsPath := filepath.Join(r.dir, daemon.name+".toml")
	options := fmt.Sprintf("listen = %q\n[durable]\npath = %q\nqueues = [%s]\nlease_s = %d\ngrace_s = %d\n",
		address, filepath.Join(r.dir, daemon.name+".db"), queues, durableLeaseSeconds, durableLeaseSeconds)
	if err := os.WriteFile(optionsPath, []byte(options), filePermissions); err != nil {
		return nil, err
	}
	daemon.options = []string{traceOption, "--faktory", optionsPath}
	if number == diskFailingQueue {
		daemon.tracer = newDiskTracer(seed, r.config.Duration)
	}
	daemon.isHealthy = func() bool { return acceptsFaktory(address) }
	return &durableQueue{daemon: daemon, address: address, number: number, accepted: map[string]bool{}, runs: map[string]int{},
		direct: directJobs{runs: map[string]int{}}}, nil
}

// startDurable starts the dispatchers with durable queues, and waits until they are ready.
func (r *run) startDurable() error {
	random := rand.New(rand.NewPCG(r.config.Seed, durableSeedStream))
	for number := range durableQueues {
		queue, err := r.newDurableQueue(number, random.Uint64())
		if err != nil {
			return err
		}
		r.queues = append(r.queues, queue)
		if err := queue.launch(); err != nil {
			return err
		}
		if !queue.awaitReady(startTimeout) {
			return fmt.Errorf("%s is not ready after %v: %s", queue.name, startTimeout, queue.currentProcess().logTail())
		}
	}
	return nil
}

// runDurable runs the producers, workers and faults of a queue until ctx ends. After that only the workers continue,
// until all accepted jobs have run or no job has run for noRunTimeout.
func (r *run) runDurable(ctx context.Context, number int, queue *durableQueue) {
	random := func(stream uint64) *rand.Rand {
		return rand.New(rand.NewPCG(r.config.Seed, durableSeedStream+uint64(number+1)*durableStreamStride+stream))
	}
	workersCtx, stopWorkers := context.WithCancel(context.Background())
	var workers, producersAndFaults sync.WaitGroup
	for i := range uint64(durableWorkers) {
		workers.Go(func() { queue.runWorker(workersCtx, fmt.Sprintf("w%d", i), random(i)) })
	}
	for i := range uint64(durableProducers) {
		producersAndFaults.Go(func() { queue.runProducer(ctx, int(i), random(10+i)) })
	}
	producersAndFaults.Go(func() { queue.runInvalidReporter(ctx, "rogue", random(20)) })
	producersAndFaults.Go(func() { queue.runInvalidReporter(ctx, "", random(21)) })
	producersAndFaults.Go(func() { queue.runUnrulyClients(ctx, random(50)) })
	switch queue.number {
	case restartedQueue:
		for i := range directProducers {
			producersAndFaults.Go(func() { queue.runDirectProducer(ctx, i) })
		}
		for i := range uint64(directWorkers) {
			workers.Go(func() { queue.runDirectWorker(workersCtx, fmt.Sprintf("d%d", i), random(60+i)) })
		}
		producersAndFaults.Go(func() { queue.restartRepeatedly(ctx, random(30)) })
	case replacedQueue:
		producersAndFaults.Go(func() { r.replaceRepeatedly(ctx, queue.daemon, random(30)) })
		producersAndFaults.Go(func() { r.runKeyedClients(ctx, queue, random(40)) })
	}
	producersAndFaults.Wait()
	for faultsEnd := time.Now(); !queue.allAcceptedRan() && !queue.noRunSince(faultsEnd); {
		time.Sleep(retryPause)
	}
	stopWorkers()
	workers.Wait()
}

// restartRepeatedly ends the dispatcher by SIGKILL or by the signals of a graceful shutdown and starts it again, until
// ctx ends.
func (q *durableQueue) restartRepeatedly(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, minRestartPause+time.Duration(random.Int64N(int64(maxRestartPause-minRestartPause)))) {
		if random.IntN(2) == 0 {
			q.recordKill()
			q.end(syscall.SIGKILL)
		} else {
			q.terminate(drawSignals(true, random))
		}
		sleep(ctx, time.Duration(random.Int64N(int64(maxRestartTime))))
		q.launchAndAwait()
	}
}

// connect tries to connect until it succeeds. It returns nil if ctx ends first.
func (q *durableQueue) connect(ctx context.Context, wid string) *faktoryConn {
	for ctx.Err() == nil {
		conn, err := dialFaktory(q.address, wid)
		if err == nil {
			return conn
		}
		sleep(ctx, retryPause)
	}
	return nil
}

// sendUntilReply sends a command, each time on a new connection, until it receives a reply. replied is false if ctx
// ends first.
func (q *durableQueue) sendUntilReply(ctx context.Context, wid, command string) (reply string, replied bool) {
	for {
		conn := q.connect(ctx, wid)
		if conn == nil {
			return "", false
		}
		reply, err := conn.do(command)
		conn.close()
		if err == nil {
			return reply, true
		}
		if !sleep(ctx, retryPause) {
			return "", false
		}
	}
}

// runProducer pushes renewals until ctx ends. For some of them it closes the connection without waiting for the reply.
// It repeats the push of each other job until the reply is +OK.
func (q *durableQueue) runProducer(ctx context.Context, producer int, random *rand.Rand) {
	const abandonOneIn = 10 // one push in this many is sent without waiting for its reply
	for number := 0; sleep(ctx, pushInterval); number++ {
		jid := fmt.Sprintf("%s-p%d-%05d", q.name, producer, number)
		q.recordPush(jid)
		command := fmt.Sprintf(`PUSH {"jid":%q,"queue":%q,"jobtype":"x","args":[1]}`, jid, classRenewal)
		if random.IntN(abandonOneIn) == 0 {
			if conn := q.connect(ctx, ""); conn != nil {
				fmt.Fprint(conn.conn, command+"\r\n")
				conn.close()
			}
			continue
		}
		for {
			reply, replied := q.sendUntilReply(ctx, "", command)
			if !replied {
				return
			}
			if reply == "+OK" {
				q.recordAccepted(jid)
				break
			}
			if !sleep(ctx, retryPause) {
				return
			}
		}
	}
}

// runWorker fetches jobs until ctx ends, and runs those that it is allowed to start. Sometimes it closes the connection
// after it has fetched a job and before it starts the job, or reports a job twice.
func (q *durableQueue) runWorker(ctx context.Context, wid string, random *rand.Rand) {
	const (
		abandonOneIn     = 20 // one fetched job in this many is not started
		reportTwiceOneIn = 10 // one started job in this many is reported twice
	)
	for {
		conn := q.connect(ctx, wid)
		if conn == nil {
			return
		}
		for {
			job, found, err := conn.fetch(classRenewal)
			if err != nil || ctx.Err() != nil {
				break
			}
			if !found {
				continue
			}
			if random.IntN(abandonOneIn) == 0 {
				break
			}
			q.runJob(ctx, wid, job, random.IntN(reportTwiceOneIn) == 0)
		}
		conn.close()
	}
}

// runJob asks by START whether it may start a job. If the reply is +OK, it runs the job and reports it by ACK.
func (q *durableQueue) runJob(ctx context.Context, wid string, job fetchedJob, reportTwice bool) {
	reply, replied := q.sendUntilReply(ctx, wid, "START "+job.report())
	if !replied || reply != "+OK" {
		return
	}
	q.recordRun(job.Jid)
	time.Sleep(jobRunTime)
	q.sendUntilReply(ctx, wid, "ACK "+job.report())
	if reportTwice {
		q.sendUntilReply(ctx, wid, "ACK "+job.report())
	}
}

// runInvalidReporter sends reports on jobs of which it holds no lease, until ctx ends. It connects as a worker, which
// never fetches a job, or as a producer if wid is empty.
func (q *durableQueue) runInvalidReporter(ctx context.Context, wid string, random *rand.Rand) {
	reports := []string{
		`ACK {"jid":%q}`, `ACK {"jid":%q,"fence":1}`, `FAIL {"jid":%q}`, `FAIL {"jid":%q,"started":false}`,
		`START {"jid":%q}`, `TRACK SET {"jid":%q,"percent":1,"reserve_until":"2999-01-01T00:00:00Z"}`,
		`BEAT {"wid":"w0","current_state":"quiet","jid":%q}`,
	}
	conn := q.connect(ctx, wid)
	for conn != nil && sleep(ctx, invalidReportInterval) {
		jid := q.recentJid(random)
		if jid == "" {
			continue
		}
		if _, err := conn.do(fmt.Sprintf(reports[random.IntN(len(reports))], jid)); err != nil {
			conn.close()
			conn = q.connect(ctx, wid)
		}
	}
	if conn != nil {
		conn.close()
	}
}

func (q *durableQueue) recordPush(jid string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.pushed = append(q.pushed, jid)
}

func (q *durableQueue) recordAccepted(jid string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.accepted[jid] = true
}

func (q *durableQueue) recordRun(jid string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.runs[jid]++
	q.lastRun = time.Now()
}

// recentJid returns a random one of the 20 jids that were pushed last. It returns an empty string if none was pushed.
func (q *durableQueue) recentJid(random *rand.Rand) string {
	const recent = 20
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.pushed) == 0 {
		return ""
	}
	return q.pushed[len(q.pushed)-1-random.IntN(min(recent, len(q.pushed)))]
}

// allAcceptedRan reports whether every accepted job has run.
func (q *durableQueue) allAcceptedRan() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for jid := range q.accepted {
		if q.runs[jid] == 0 {
			return false
		}
	}
	return true
}

// noRunSince reports whether more than noRunTimeout has passed since the last run of a job or since start, whichever is
// later.
func (q *durableQueue) noRunSince(start time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	last := start
	if q.lastRun.After(last) {
		last = q.lastRun
	}
	return time.Since(last) > noRunTimeout
}

// askAfterRun sends a command after the clients and faults have ended, and returns the reply. The reply is empty if the
// dispatcher does not answer within endTimeout.
func (q *durableQueue) askAfterRun(command string) string {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	reply, _ := q.sendUntilReply(ctx, "", command)
	return reply
}

// stateOf returns the state of a job according to TRACK GET.
func (q *durableQueue) stateOf(jid string) string {
	reply := q.askAfterRun("TRACK GET " + jid)
	_, rest, _ := strings.Cut(reply, `"state":"`)
	state, _, _ := strings.Cut(rest, `"`)
	return state
}

// violations describes the violations that the dispatcher itself has reported, each job that ran more than once, and
// each accepted job that has not run and whose state is not "in doubt".
func (q *durableQueue) violations() []string {
	found := append(q.daemon.violations(), q.directViolations()...)
	if q.askAfterRun("INFO") == "" {
		return append(found, fmt.Sprintf("%s: %s does not answer after the run; its log ends %s", ruleLost, q.name, q.currentProcess().logTail()))
	}
	for jid, runs := range q.runs {
		if runs > 1 {
			found = append(found, fmt.Sprintf("%s: %s ran %d times", ruleDuplicate, jid, runs))
		}
	}
	waiting := 0
	for jid := range q.accepted {
		if state := q.stateOf(jid); q.runs[jid] == 0 && state != "in doubt" {
			waiting++
			found = append(found, fmt.Sprintf("%s: %s was accepted and has not run, though nothing else ran for %v; its state is %q", ruleLost, jid, noRunTimeout, state))
		}
	}
	if waiting > 0 { // adds information for finding the cause
		info := q.askAfterRun("INFO")
		found = append([]string{fmt.Sprintf("%s has %d accepted jobs that have not run; INFO %s; its log ends %s", q.name, waiting, info, q.currentProcess().logTail())}, found...)
	}
	return found
}
