package faktory

import "math"

// memoryExhaustedReply answers a command for which there is no memory.
const memoryExhaustedReply = replyError + "REFUSED too many commands are half sent, sending it again is harmless; retry after 1.000 s"

// unlimitedBuffers is the buffer limit of a Server until SetBufferLimit is called.
const unlimitedBuffers = math.MaxInt

// SetBufferLimit sets how many bytes the buffers of the engine, which other components may share, may take up before
// incomplete commands are refused.
func (s *Server) SetBufferLimit(limit int) { s.bufferLimit = limit }

// buffersExhausted reports whether buffers take up more memory than the limit.
func (s *Server) buffersExhausted() bool { return s.engine.Pool.BytesInUse() > s.bufferLimit }

// freeBuffers refuses incomplete commands, the oldest first, until buffers take up no more than the limit.
func (s *Server) freeBuffers() {
	for s.buffersExhausted() {
		oldest := s.oldestIncomplete()
		if oldest == nil {
			return
		}
		oldest.writeLine(memoryExhaustedReply)
		oldest.closeGracefully()
	}
}

// oldestIncomplete returns the connection whose command has been incomplete for the longest time, or nil if there is none.
// Connections of workers are left out: their reports tell what has run.
func (s *Server) oldestIncomplete() (oldest *connection) {
	s.connections.ForEach(func(_ uint64, c *connection) {
		if c.busy || c.worker != nil || c.input.empty() {
			return
		}
		if oldest == nil || c.incompleteSince < oldest.incompleteSince {
			oldest = c
		}
	})
	return oldest
}
