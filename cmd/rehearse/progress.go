package main

import (
	"os"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"
)

// progressInterval is the shortest time between two updates of a progress bar.
const progressInterval = 200 * time.Millisecond

// progressBar returns a function that shows how much of a total is done, or nil if standard error is not a terminal.
func progressBar(env *environment, total int) func(done int) {
	if !env.errIsTerminal {
		return nil
	}
	bar := progressbar.NewOptions(total,
		progressbar.OptionSetWriter(env.errOut),
		progressbar.OptionSetDescription("replay"),
		progressbar.OptionThrottle(progressInterval),
		progressbar.OptionClearOnFinish())
	return func(done int) { bar.Set(done) }
}

// importProgressBar returns a bar for the bytes of an import's inputs, which may have the form NAME=FILE.
func importProgressBar(env *environment, inputs []string) *progressbar.ProgressBar {
	total := int64(0)
	for _, path := range inputs {
		_, file, _ := strings.Cut("="+path, "=")
		if info, err := os.Stat(file); err == nil {
			total += info.Size()
		}
	}
	return progressbar.NewOptions64(total,
		progressbar.OptionSetWriter(env.errOut),
		progressbar.OptionShowBytes(true),
		progressbar.OptionSetDescription("import"),
		progressbar.OptionClearOnFinish())
}
