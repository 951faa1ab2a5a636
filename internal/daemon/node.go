// Package node is the dispatcher as one process: it reads what it is told, joins
// fronts, core and carriers, and knows the states of the running dispatcher. It
// must never decide where a job goes, nor who may connect.
package daemon

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/faktory"
	"hollyyoke.example/hollyyoke/internal/handover"
	"hollyyoke.example/hollyyoke/internal/httpfront"
	"hollyyoke.example/hollyyoke/internal/listener"
	"hollyyoke.example/hollyyoke/internal/settings"
	"hollyyoke.example/hollyyoke/internal/transport"
	"hollyyoke.example/hollyyoke/internal/workerclient"
)

// This file owns the states of the running dispatcher: in service, drained,
// beside a predecessor or a successor, and at its planned end. It must never end
// a process that owes an answer, take clients before it can serve them, nor keep
// more of the limits than the other process leaves.

const (
	// arrivalWindow is how long new connections and requests may still come after
	// SIGTERM: 0.4 s by the platform's page, and some for a slow machine.
	arrivalWindow = 600 * time.Millisecond
	// lastWindow is how long what was on its way by then may be read. What came
	// 0.7 s after SIGTERM and SIGKILL finds unanswered is lost.
	lastWindow = 60 * time.Millisecond

	callPatience  = 300 * time.Millisecond  // for a predecessor to take the call
	helloPatience = time.Second             // and for its first word
	backendsTime  = 3 * time.Second         // then clients are taken, though no backend is known
	startStep     = 10 * time.Millisecond   // between looks whether they can be
	roomStep      = 100 * time.Millisecond  // between words of what the old one keeps
	leaveRest     = 1500 * time.Millisecond // sessions left to a successor may rest so long
	killAfter     = 700 * time.Millisecond  // SIGKILL comes so long after the longest deadline,
	killDeadline  = 3 * time.Second         // which counts as this at the most
	killMargin    = 250 * time.Millisecond  // what is still open so long before it has its last moment
	roomMargin    = 8                       // descriptors that may come between two words of room
)

// node is the running dispatcher as operators, signals and the other process see it.
type node struct {
	core     *dispatch.Dispatcher
	engine   *transport.Engine
	registry *discovery.Registry
	workers  *workerclient.Client
	fronts   fronts
	entry    *listener.Gate    // who decides on connections; nil: nobody
	follows  bool              // versioned changes are followed in place of the discovery watch
	config   config            // in force
	told     decision.Settings // as the file words them
	listener net.Listener
	sessions int // of clients, at a time

	inherited bool // the listener is the platform's, and other processes have it
	path      string
	meeting   *transport.Acceptor // where a successor calls
	link      *handover.Link      // to the other process, nil without one
	greeted   bool                // the predecessor has spoken, or has had its time
	theirs    bool                // the successor takes clients
	serving   bool                // clients are taken here
	stopping  bool
	released  bool         // the Faktory front has been let go of, for the successor
	open      func() error // opens the Faktory front that a predecessor has; nil: nothing is to be opened
	room      eventloop.Deadline
}

// former calls the process whose successor this one may be; nil: there is none.
func (n *node) former(env func(string) string) net.Conn {
	if n.inherited = env("BALANCER_FD") != "" && n.listener != nil; !n.inherited {
		return nil
	}
	n.path = handover.SocketPath(env("TMPDIR"), n.config.Name+" "+n.config.Listen)
	conn, err := handover.Dial(n.path, callPatience)
	if err != nil {
		return nil
	}
	return conn
}

// start takes clients, beside a predecessor only once they can be served.
func (n *node) start(former net.Conn) {
	n.room.Fire = n.tellRoom
	if former != nil {
		n.keep(n.config.descriptors()/4, n.memory()/4)
		err := n.engine.Adopt(former, func(c *transport.Conn) transport.Handler {
			n.link = handover.NewLink(n.engine, c, n.heardFormer, n.formerGone)
			n.listenIn()
			return n.link
		})
		if err == nil {
			n.core.Loop.After(helloPatience, func() { n.greet(nil) })
			return
		}
		n.keep(n.config.descriptors(), n.memory())
	}
	n.greeted = true
	n.known(nil)
	if n.fronts.platform != nil {
		n.serve()
	}
	n.meet()
}

// known starts from a list, the configuration's where there is no newer one.
func (n *node) known(list []byte) {
	if len(list) > 0 {
		err := n.registry.LoadInitial(list)
		if err == nil {
			return
		}
		n.core.Log(fmt.Sprintf("the list handed over: %v", err))
	}
	if err := n.registry.LoadInitial(n.config.Known); err != nil { // checked at the start
		n.core.Log(err.Error())
	}
}

func (n *node) serve() {
	n.serving = true
	n.fronts.platform.Serve(n.listener, n.sessions)
}

// ready tells whether this process takes clients.
func (n *node) ready() bool {
	return !n.stopping && (n.fronts.platform == nil || n.serving && n.fronts.platform.Ready())
}

var errStopping = errors.New("the dispatcher is ending and does not come back into service")

// service takes the dispatcher out of service or back in; said again, it changes nothing.
func (n *node) service(out bool) error {
	switch {
	case n.stopping && !out:
		return errStopping
	case n.fronts.platform == nil:
		return errors.New("the Faktory front alone tells no health, and cannot be taken out of service")
	}
	n.tell(handover.Message{OutOfService: &out})
	n.drain(out)
	return nil
}

func (n *node) drain(out bool) {
	switch {
	case n.stopping: // it is out already
	case out:
		n.core.Log("out of service")
		n.fronts.platform.Drain()
	default:
		n.core.Log("in service")
		n.fronts.platform.EndDrain()
	}
}

// ---- The other process.

// tell tells the other process, if there is one.
func (n *node) tell(m handover.Message) {
	if n.link != nil {
		n.link.Send(m)
	}
}

// listenIn lets the other process know what it must not do again.
func (n *node) listenIn() {
	n.core.OnAccepted = n.link.SendAccepted
	n.core.OnReserved = func(backend string, amount float64) {
		n.tell(handover.Message{Reservation: &handover.Reservation{Worker: backend, Amount: amount}})
	}
}

// alone is told that the other process has gone: all limits are this one's.
func (n *node) alone() {
	n.link, n.theirs = nil, false
	n.core.OnAccepted, n.core.OnReserved, n.registry.OnUpdate = nil, nil, nil
	n.core.Loop.Clear(&n.room)
	n.keep(n.config.descriptors(), n.memory())
	if n.fronts.platform != nil {
		n.fronts.platform.SetShared(false)
	}
}

// heard takes in what either process may tell.
func (n *node) heard(m handover.Message) {
	if m.IDs != "" {
		names, err := m.ReadIDs()
		if err != nil {
			n.core.Log("handover: " + err.Error())
		}
		n.core.BlockIDs(names)
	}
	if m.Reservation != nil {
		n.core.ReservedElsewhere(m.Reservation.Worker, m.Reservation.Amount)
	}
	if m.OutOfService != nil {
		n.drain(*m.OutOfService)
	}
	if m.DiscoveryMoved != "" && m.DiscoveryMoved != n.config.Discovery {
		n.core.Log("discovery moves to " + m.DiscoveryMoved + ", the other process says")
		n.config.Discovery = m.DiscoveryMoved
		n.registry.MoveTo(m.DiscoveryMoved)
	}
}

// memory is what all processes of the dispatcher may take up; 0: not told.
func (n *node) memory() int64 { return int64(n.config.Limits.MemoryMB * (1 << 20)) }

// keep makes this process keep to a part of the limits.
func (n *node) keep(descriptors int, memory int64) {
	n.engine.Resize(descriptors - (n.config.descriptors() - n.config.clients()))
	if n.entry != nil {
		n.entry.SetShare(float64(descriptors) / float64(n.config.descriptors()))
	}
	if n.config.Limits.MemoryMB < 1 {
		return
	}
	debug.SetMemoryLimit(int64(float64(memory) * (0.6 - bufferShare)))
	if n.fronts.platform != nil {
		n.fronts.platform.SetMemoryLimit(int(float64(memory) * bufferShare))
	}
}

// ---- The successor's side.

// heardFormer takes in what the predecessor says.
func (n *node) heardFormer(m handover.Message) {
	if m.Greeting != nil {
		n.greet(m.Greeting)
	}
	n.heard(m)
	if m.StoreReleased {
		n.take(n.core.Loop.Now() + takeTime)
	}
	if m.Limits != nil {
		n.keep(n.config.descriptors()-m.Limits.Descriptors, n.memory()-m.Limits.Memory)
	}
	if len(m.List) > 0 {
		if err := n.registry.Import(m.List); err != nil {
			n.core.Log(fmt.Sprintf("the list handed over: %v", err))
		}
	}
}

// greet begins, by the predecessor's word or, where it has none in time, without.
func (n *node) greet(hello *handover.Greeting) {
	if n.greeted {
		return
	}
	n.greeted = true
	var list []byte
	if hello != nil {
		n.core.Log("beside a running process, as its successor")
		n.core.AdoptIDKey(hello.IDKey)
		list = hello.List
		n.config.Discovery = cmp.Or(hello.Discovery, n.config.Discovery)
		n.registry.SetAddress(n.config.Discovery)
		if hello.OutOfService {
			n.drain(true)
		}
	}
	n.known(list)
	n.wait(n.core.Loop.Now() + backendsTime)
}

// wait takes clients once discovery has spoken, or has had its time and the list
// known holds: the predecessor serves until then.
func (n *node) wait(until time.Duration) {
	loop := n.core.Loop
	if n.stopping {
		return
	}
	if !(n.registry.Ready() && n.core.ReadyWorkers() > 0) && loop.Now() < until {
		loop.After(startStep, func() { n.wait(until) })
		return
	}
	if n.link != nil {
		n.fronts.platform.SetShared(true)
	}
	n.serve()
	n.core.Log("takes clients")
	n.tell(handover.Message{Ready: true})
}

// formerGone is told that the predecessor has ended, as planned or not.
func (n *node) formerGone() {
	n.core.Log("the former process has gone")
	n.alone()
	n.take(n.core.Loop.Now() + takeTime)
	n.greet(nil)
	if !n.stopping {
		n.meet()
	}
}

const (
	takeTime = 10 * time.Second // for the predecessor's address and store to become free
	takeStep = 20 * time.Millisecond
)

// take opens the Faktory front, which the predecessor has let go of.
func (n *node) take(until time.Duration) {
	if n.open == nil {
		return
	}
	err := n.open()
	switch {
	case err == nil:
		n.open = nil
		n.core.Log("has the durable jobs")
	case n.core.Loop.Now() < until:
		n.core.Loop.After(takeStep, func() { n.take(until) })
	default:
		n.core.Log(fmt.Sprintf("the durable jobs cannot be taken over, start anew: %v", err))
	}
}

// ---- The predecessor's side.

// meet waits for a successor, where the platform keeps the listener for one.
func (n *node) meet() {
	if !n.inherited {
		return
	}
	ln, err := handover.Listen(n.path)
	if err != nil {
		n.core.Log(fmt.Sprintf("a successor will not find this process: %v", err))
		return
	}
	n.meeting = n.engine.Serve(ln, 1, false, n.met, func() {}).FixLimit()
}

// met is told of a successor.
func (n *node) met(c *transport.Conn) transport.Handler {
	if n.stopping || n.link != nil {
		return nil
	}
	addr, list, err := n.registry.Export()
	if err != nil {
		n.core.Log(fmt.Sprintf("the list cannot be handed over: %v", err))
	}
	key, names := n.core.RequestIDs()
	n.core.Log("a successor has started")
	n.link = handover.NewLink(n.engine, c, n.heardNext, n.nextGone)
	n.listenIn()
	n.registry.OnUpdate = func() {
		if _, list, err := n.registry.Export(); err == nil {
			n.tell(handover.Message{List: list})
		}
	}
	out := n.fronts.platform.Draining()
	n.tell(handover.Message{Greeting: &handover.Greeting{Discovery: addr, List: list, OutOfService: out, IDKey: key}})
	n.link.SendIDs(names)
	n.tellRoom()
	return n.link
}

// heardNext takes in what the successor says.
func (n *node) heardNext(m handover.Message) {
	n.heard(m)
	if m.Ready {
		n.core.Log("the successor takes clients")
		n.theirs = true
		n.fronts.platform.SetShared(true)
		n.tellRoom()
	}
}

// nextGone is told that the successor has ended.
func (n *node) nextGone() {
	n.core.Log("the successor has gone")
	n.alone()
}

// tellRoom tells the successor what is left of the limits for it: little while
// it starts, half once it takes clients, and all but what is held here at last.
func (n *node) tellRoom() {
	if n.link == nil {
		return
	}
	held, resident := usage()
	held += roomMargin
	descriptors, memory := n.config.descriptors()*3/4, n.memory()/2
	switch {
	case n.stopping:
		descriptors, memory = held, resident
	case n.theirs:
		descriptors = max(n.config.descriptors()/2, held)
	}
	memory = min(max(memory, resident), n.memory())
	if !n.stopping {
		n.keep(descriptors, memory)
	}
	n.tell(handover.Message{Limits: &handover.Limits{Descriptors: descriptors, Memory: memory}})
	n.core.Loop.Set(&n.room, n.core.Loop.Now()+roomStep)
}

// usage is how many descriptors and bytes the process holds, by the system's word.
func usage() (descriptors int, resident int64) {
	if list, err := os.ReadDir("/proc/self/fd"); err == nil {
		descriptors = len(list)
	}
	if text, err := os.ReadFile("/proc/self/statm"); err == nil {
		if fields := strings.Fields(string(text)); len(fields) > 1 {
			pages, _ := strconv.ParseInt(fields[1], 10, 64)
			resident = pages * int64(os.Getpagesize())
		}
	}
	return descriptors, resident
}

// leave ends the process beside a successor that takes clients. Nothing is
// accepted any more, sessions end with an answer, and only those that go on
// resting are closed. What cannot be done before SIGKILL is answered before it.
func (n *node) leave() {
	d, f, loop := n.core, n.fronts, n.core.Loop
	d.Log("the successor takes over")
	longest := time.Duration(0)
	for _, class := range d.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	began := loop.Now()
	last := began + min(longest, killDeadline) + killAfter - killMargin
	f.platform.HandOver()
	f.faktory.Stop()
	f.faktory.Release(func() {
		n.released = true
		n.tell(handover.Message{StoreReleased: true})
	})
	n.tellRoom()
	var step func()
	step = func() {
		now := loop.Now()
		if now >= began+leaveRest {
			f.close()
		}
		if now >= last {
			f.platform.StopReading()
			d.ExpireAll()
		}
		// At the very last, what has just been answered has half of what is left to be read.
		if n.released && d.Unanswered() == 0 && (f.platform.OpenConnections() == 0 || now >= last+killMargin/2) && !f.faktory.Busy() {
			loop.After(lastBytes, loop.Stop)
			return
		}
		loop.After(startStep, step)
	}
	step()
}

// ---- What is told anew, and the planned end.

// reload takes over from a file read anew what can change while the program
// runs: where discovery is, the bounds on connections, and from which servers
// versioned changes are followed. A file of which any part is wrong changes
// nothing; what needs a restart is named in the log.
func (n *node) reload(next config, now decision.Settings, operator settings.Operator, err error) {
	d, b, c := n.core, n.registry, n.config
	if err == nil {
		err = b.CheckList(next.Known)
	}
	if err == nil {
		if _, err = decision.New(now, 0); err != nil {
			err = fmt.Errorf("config: %w", err)
		}
	}
	var servers discovery.FollowConfig
	if err == nil && operator.Membership.On != n.follows {
		err = errors.New("membership.on: only a restart turns it on or off")
	}
	if err == nil {
		servers, err = follow(&operator.Membership, &n.config, &n.told)
	}
	var g listener.Config
	table := &operator.Connections
	if err == nil && n.entry != nil {
		if g, err = guard(table, n.config.clients()); err == nil && !table.On {
			err = errors.New("connections.on: only a restart turns it off")
		}
		if err == nil {
			err = n.entry.Reconfigure(g, transport.ConnectionDescriptors(n.config.clients()))
		}
	}
	if err != nil {
		d.Log(fmt.Sprintf("reload: %v; what was in force stays", err))
		return
	}
	if n.entry != nil {
		d.Log("reload: bounds on connections are as the operator's file says")
	}
	if n.follows {
		b.Follow(servers)
		d.Log(fmt.Sprintf("reload: versioned changes come from %d servers, zone %q first", len(servers.Servers), servers.Zone))
	}
	var restart []string
	for name, changed := range map[string]bool{
		"name": next.Name != c.Name, "listen": next.Listen != c.Listen, "admin_addr": next.Admin != c.Admin, "limits": next.Limits != c.Limits,
		"settings": !reflect.DeepEqual(now, n.told),
	} {
		if changed {
			restart = append(restart, name)
		}
	}
	slices.Sort(restart)
	text := "reload: discovery stays at " + c.Discovery
	if next.Discovery != c.Discovery {
		text = "reload: discovery moves to " + next.Discovery
		b.MoveTo(next.Discovery)
		n.tell(handover.Message{DiscoveryMoved: next.Discovery})
	}
	if len(restart) > 0 {
		text += "; changed, but only a restart takes over: " + strings.Join(restart, ", ")
	}
	d.Log(text)
	n.config.Discovery = next.Discovery
}

// fronts are those that are on.
type fronts struct {
	platform *httpfront.FrontEnd
	faktory  faktory.Front
}

// close ends what owes nothing, now and from now on, and tells whether all has ended.
func (f fronts) close() bool {
	ended := f.faktory.Idle()
	if f.platform != nil {
		f.platform.CloseIdle()
		ended = ended && f.platform.ConnectionCount() == 0
	}
	return ended
}

// stop is the planned end: all that comes in the arrival window is served like
// before, then sessions end between requests, and the front shuts: nothing that
// comes later is read. The last answer, once it is out, ends the program.
func (n *node) stop() {
	d, f, loop := n.core, n.fronts, n.core.Loop
	n.stopping = true
	if n.meeting != nil {
		n.meeting.Close()
	}
	if n.theirs {
		n.leave()
		return
	}
	if f.platform != nil {
		f.platform.BeginShutdown()
	}
	f.faktory.Stop()
	loop.After(arrivalWindow, func() {
		// For answers that clients have not read yet, and for closings that upstream has not taken.
		if f.platform != nil { // what comes now waits in the backlog, or is told that nobody listens
			f.platform.StopAccepting()
		}
		shut := loop.Now() + lastWindow
		patience, upstream := shut+transport.LingerTime, loop.Now()+8*time.Second
		var last func()
		last = func() {
			ended, now := f.close(), loop.Now()
			if f.platform != nil && now >= shut {
				f.platform.StopReading()
				ended = ended && f.platform.OpenConnections() == 0
			}
			if d.Unanswered() > 0 {
				patience = now + transport.LingerTime
			}
			if now >= shut && d.Unanswered() == 0 && (ended || now > patience && !f.faktory.Busy() || now > upstream) {
				// What was answered just now is still on its way out of the sockets.
				loop.After(lastBytes, loop.Stop)
				return
			}
			loop.After(5*time.Millisecond, last)
		}
		last()
	})
}

// lastBytes is left to sockets for their last bytes before the process ends.
const lastBytes = 50 * time.Millisecond
