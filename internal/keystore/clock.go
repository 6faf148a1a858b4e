package keystore

import (
	"encoding/binary"
	"fmt"
)

// ClockReading is a point in time on the two clocks of a machine.
type ClockReading struct {
	Wall   int64  // microseconds since the epoch; may be set
	Uptime int64  // microseconds since the machine's start; only advances
	BootID uint64 // names that start; 0 = not known
}

// driftMost is how far the two clocks may part by themselves: less is no jump.
const driftMost = 50_000

// WindowExtension is by how much windows written in a life that was last seen at last
// must be longer in one that begins at now: the part by which the wall clock
// has gone forward beyond the time that has passed. Where the machine was
// started anew the time passed is not known, and counts as none.
func WindowExtension(last, now ClockReading) int64 {
	passed := int64(0)
	if last.BootID != 0 && last.BootID == now.BootID && now.Uptime >= last.Uptime {
		passed = now.Uptime - last.Uptime
	}
	jump := now.Wall - last.Wall - passed
	if jump <= driftMost {
		return 0
	}
	return jump
}

// encode is the form on disk: the moment, and the sum of all shifts up to it.
func (m ClockReading) encode(shift int64) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(m.Wall))
	b = binary.BigEndian.AppendUint64(b, uint64(m.Uptime))
	b = binary.BigEndian.AppendUint64(b, m.BootID)
	return binary.BigEndian.AppendUint64(b, uint64(shift))
}

func decodeMoment(b []byte) (m ClockReading, shift int64, err error) {
	if len(b) != 32 {
		return m, 0, fmt.Errorf("%w: a moment of %d bytes", ErrInvalidRecord, len(b))
	}
	u := binary.BigEndian.Uint64
	return ClockReading{Wall: int64(u(b)), Uptime: int64(u(b[8:])), BootID: u(b[16:])}, int64(u(b[24:])), nil
}
