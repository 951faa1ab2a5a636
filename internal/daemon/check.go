package daemon

import (
	"cmp"
	"fmt"
	"io"
	"strings"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/discovery"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/eventloop"
)

// Check reads and validates the files that Serve would read, and prints what they
// configure. It opens no socket and starts nothing. An error names the file and the key
// that is wrong.
func Check(files Files, env func(string) string, out io.Writer) error {
	loaded, err := load(files, env)
	if err != nil {
		return err
	}
	dispatcher, err := dispatch.New(eventloop.New(), loaded.settings, loaded.config.seed())
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	err = discovery.New(dispatcher, nil, loaded.config.Discovery).CheckList(loaded.config.Known)
	if err != nil {
		return err
	}
	loaded.explainConfig(out)
	loaded.explainFaktory(out)
	if files.Operator != "" {
		if err := loaded.explainOperator(out); err != nil {
			return fmt.Errorf("%s: %w", files.Operator, err)
		}
	}
	fmt.Fprintln(out, "good")
	return nil
}

// explainConfig prints a summary of the configuration: the addresses, the resource
// limits, and a line for each class.
func (l *loadedFiles) explainConfig(out io.Writer) {
	fileConfig := &l.config
	fmt.Fprintf(out, "name %s, listen %s, discovery %s, admin API %s\n", fileConfig.Name,
		cmp.Or(fileConfig.Listen, "(off)"), cmp.Or(fileConfig.Discovery, "(none)"), cmp.Or(fileConfig.Admin, "(off)"))
	fmt.Fprintf(out, "descriptors %d, buffers up to %d MB\n", fileConfig.descriptors(), fileConfig.bufferMemory()/bytesPerMB)
	for _, class := range l.settings.Classes {
		repeat := "must not run twice"
		if class.Idempotency != decision.NonIdempotent {
			repeat = "may be repeated"
		}
		fmt.Fprintf(out, "class %s: deadline %v, %s\n", class.Name, class.Deadline, repeat)
	}
}

// explainFaktory prints the addresses and the durable queues of the Faktory front end, if
// it is on.
func (l *loadedFiles) explainFaktory(out io.Writer) {
	if !l.hasFaktory {
		return
	}
	if durable := l.faktory.Durable; durable.Path != "" {
		fmt.Fprintf(out, "durable queues: %s, stored in %s\n", strings.Join(durable.Queues, " "), durable.Path)
	}
	fmt.Fprintf(out, "Faktory front end: listen %s, upstream %s\n", cmp.Or(l.faktory.Listen, "(off)"), cmp.Or(l.faktory.Source.Address, "(off)"))
}

// explainOperator validates and prints the tables [connections] and [membership] of the
// operator's file.
func (l *loadedFiles) explainOperator(out io.Writer) error {
	if _, err := gateConfig(&l.connections, l.config.connectionDescriptors()); err != nil {
		return err
	}
	if _, err := followConfig(&l.membership, &l.config, &l.settings); err != nil {
		return err
	}
	l.connections.Explain(out)
	l.membership.Explain(out)
	return nil
}
