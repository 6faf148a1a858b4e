package keystore

import (
	"encoding/binary"
	"fmt"
)

// Moment is a point in time on the two clocks of a machine.
type Moment struct {
	Wall int64  // microseconds since the epoch; may be set
	Up   int64  // microseconds since the machine's start; only advances
	Boot uint64 // names that start; 0 = not known
}

// driftMost is how far the two clocks may part by themselves: less is no jump.
const driftMost = 50_000

// Shift is by how much windows written in a life that was last seen at last
// must be longer in one that begins at now: the part by which the wall clock
// has gone forward beyond the time that has passed. Where the machine was
// started anew the time passed is not known, and counts as none.
func Shift(last, now Moment) int64 {
	passed := int64(0)
	if last.Boot != 0 && last.Boot == now.Boot && now.Up >= last.Up {
		passed = now.Up - last.Up
	}
	jump := now.Wall - last.Wall - passed
	if jump <= driftMost {
		return 0
	}
	return jump
}

// encode is the form on disk: the moment, and the sum of all shifts up to it.
func (m Moment) encode(shift int64) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(m.Wall))
	b = binary.BigEndian.AppendUint64(b, uint64(m.Up))
	b = binary.BigEndian.AppendUint64(b, m.Boot)
	return binary.BigEndian.AppendUint64(b, uint64(shift))
}

func decodeMoment(b []byte) (m Moment, shift int64, err error) {
	if len(b) != 32 {
		return m, 0, fmt.Errorf("%w: a moment of %d bytes", ErrRecord, len(b))
	}
	u := binary.BigEndian.Uint64
	return Moment{Wall: int64(u(b)), Up: int64(u(b[8:])), Boot: u(b[16:])}, int64(u(b[24:])), nil
}
