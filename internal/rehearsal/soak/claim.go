package soak

// claim gives one fault at a time a dispatcher, whose process it ends or holds.
func (d *daemon) claim() bool { return d.claimed.CompareAndSwap(false, true) }

func (d *daemon) release() { d.claimed.Store(false) }

// claim gives one fault at a time a worker, whose place in the list it changes.
func (w *worker) claim() bool { return w.claimed.CompareAndSwap(false, true) }

func (w *worker) release() { w.claimed.Store(false) }
