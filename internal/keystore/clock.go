package keystore

import (
	"encoding/binary"
	"fmt"
)

// ClockReading is one reading of the wall clock, the uptime and the boot ID.
type ClockReading struct {
	Wall   int64  // microseconds since the epoch; may be set
	Uptime int64  // microseconds since boot; only advances
	BootID uint64 // identifies the boot; 0 = not known
}

// maxClockDriftUS is how far wall clock and uptime may drift apart without being a jump.
const maxClockDriftUS = 50_000

// WindowExtension returns by how much windows written by a process last active at
// last must be extended in one that starts at now: the part of the wall clock's
// advance that exceeds the time that has passed. After a reboot the time passed is
// not known and counts as none.
func WindowExtension(last, now ClockReading) int64 {
	passed := int64(0)
	if last.BootID != 0 && last.BootID == now.BootID && now.Uptime >= last.Uptime {
		passed = now.Uptime - last.Uptime
	}
	jump := now.Wall - last.Wall - passed
	if jump <= maxClockDriftUS {
		return 0
	}
	return jump
}

// encode returns the stored form: the reading and the sum of all extensions up to it.
func (m ClockReading) encode(extension int64) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(m.Wall))
	b = binary.BigEndian.AppendUint64(b, uint64(m.Uptime))
	b = binary.BigEndian.AppendUint64(b, m.BootID)
	return binary.BigEndian.AppendUint64(b, uint64(extension))
}

// decodeClockReading reads the stored form.
func decodeClockReading(b []byte) (m ClockReading, extension int64, err error) {
	if len(b) != 32 {
		return m, 0, fmt.Errorf("%w: clock reading of %d bytes", ErrInvalidRecord, len(b))
	}
	u := binary.BigEndian.Uint64
	return ClockReading{Wall: int64(u(b)), Uptime: int64(u(b[8:])), BootID: u(b[16:])}, int64(u(b[24:])), nil
}
