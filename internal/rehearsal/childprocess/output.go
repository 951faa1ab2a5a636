// Package childprocess runs programs of this project as child processes of the rehearsal kit and of tests: it starts and
// stops them, collects their output, reads their memory and chooses addresses for them to listen on. It does
// not depend on what the programs do.
package childprocess

import (
	"bytes"
	"sync"
)

// Output collects the output of a process. It is safe for concurrent use. The zero value keeps all output.
type Output struct {
	// Limit is a size in bytes. Once the kept output has reached it, later writes are dropped; the write that reaches it
	// is kept whole. 0 means no limit. It must not change after the first write.
	Limit int

	mutex sync.Mutex
	text  bytes.Buffer
}

// Write implements io.Writer. It never fails.
func (o *Output) Write(text []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.Limit == 0 || o.text.Len() < o.Limit {
		o.text.Write(text)
	}
	return len(text), nil
}

// String returns the output so far.
func (o *Output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.String()
}
