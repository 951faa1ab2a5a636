package main

import (
	"os"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"
)

// progressInterval is the shortest time between two updates of a progress bar.
const progressInterval = 200 * time.Millisecond

// progressBar returns a function that shows how much of a total is done; nil if standard error is no terminal.
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

// importProgressBar returns a bar over the bytes of the inputs of an import, which may be named as NAME=FILE.
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
