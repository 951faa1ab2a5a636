package daemon

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// stopSignalBuffer is how many SIGTERM and SIGINT signals may be pending while the process
// starts.
const stopSignalBuffer = 4

// signals are the signals that the process handles. They are caught before anything else is
// done: without that, a SIGHUP or SIGTERM during the start would kill the process.
type signals struct {
	reload chan os.Signal // SIGHUP; several that arrive while one is handled cause one reload
	stop   chan os.Signal // SIGTERM and SIGINT
}

func catchSignals() signals {
	caught := signals{reload: make(chan os.Signal, 1), stop: make(chan os.Signal, stopSignalBuffer)}
	signal.Notify(caught.reload, syscall.SIGHUP)
	signal.Notify(caught.stop, syscall.SIGTERM, syscall.SIGINT)
	return caught
}

// release restores the default actions of the signals.
func (s signals) release() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}

// handleReloadSignals reloads the configuration on each SIGHUP. It never returns.
func (p *process) handleReloadSignals(env func(string) string, reloads <-chan os.Signal) {
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

// handleStopSignals begins the graceful shutdown on the first signal. A later SIGINT, which
// a user at a terminal sends, exits at once; a later SIGTERM has no effect. It never returns.
func (p *process) handleStopSignals(stops <-chan os.Signal) {
	<-stops
	p.dispatcher.Loop.Post(p.shutdown)
	for sig := range stops {
		if sig == syscall.SIGINT {
			os.Exit(1)
		}
	}
}
