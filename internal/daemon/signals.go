package daemon

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// signalQueue is how many signals to stop may wait while the process starts.
const signalQueue = 4

// signals are those that the process handles. They are caught from the first moment
// on: without that, a SIGHUP or SIGTERM during the start would kill the process.
type signals struct {
	reload chan os.Signal // SIGHUP; those that arrive while one is handled count once
	stop   chan os.Signal // SIGTERM, SIGINT
}

func catchSignals() signals {
	caught := signals{reload: make(chan os.Signal, 1), stop: make(chan os.Signal, signalQueue)}
	signal.Notify(caught.reload, syscall.SIGHUP)
	signal.Notify(caught.stop, syscall.SIGTERM, syscall.SIGINT)
	return caught
}

// release gives the signals back their default effects.
func (s signals) release() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}

// handleReloads reads the files again on each SIGHUP. It never returns.
func (p *process) handleReloads(env func(string) string, reloads <-chan os.Signal) {
	for range reloads {
		next, err := readForReload(p.files, env)
		p.dispatcher.Loop.Post(func() {
			if err == nil {
				err = p.reload(&next)
			}
			if err != nil {
				p.dispatcher.Log(fmt.Sprintf("reload: %v; configuration unchanged", err))
			}
		})
	}
}

// handleStops begins the graceful end on the first signal. A later SIGINT exits at
// once, since someone at a terminal insists; a later SIGTERM changes nothing. It
// never returns.
func (p *process) handleStops(stops <-chan os.Signal) {
	<-stops
	p.dispatcher.Loop.Post(p.shutdown)
	for sig := range stops {
		if sig == syscall.SIGINT {
			os.Exit(1)
		}
	}
}
