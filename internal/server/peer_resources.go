package server

import (
	"runtime/debug"
)

// shareResources leaves half of the memory and of the connection slots to the peer;
// reclaimResources undoes it.
func (s *Server) shareResources() {
	debug.SetMemoryLimit(s.cfg.Limits.MaxHeapBytes() / sharedResourcesDivisor)
	s.reserveSlots()
}

func (s *Server) reclaimResources() {
	debug.SetMemoryLimit(s.cfg.Limits.MaxHeapBytes())
	for ; s.upgrade.reservedSlots > 0; s.upgrade.reservedSlots-- {
		s.releaseCallerSlot()
	}
}

// reserveSlots takes connection slots for the peer as they become free.
func (s *Server) reserveSlots() {
	for s.upgrade.peer != nil && s.upgrade.reservedSlots < cap(s.slots)/sharedResourcesDivisor {
		if !s.descriptors.TryAcquire(1) {
			return
		}
		select {
		case s.slots <- struct{}{}:
			s.upgrade.reservedSlots++
		default:
			s.descriptors.Release(1)
			return
		}
	}
}
