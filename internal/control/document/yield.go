package document

import "runtime"

// entriesPerYield is after how many entries of a large version others may run: some
// 100 us of work.
const entriesPerYield = 32

// maybeYield lets others run, now and then in a walk over many entries. Guards what
// a server's loop answers meanwhile: where the process has one processor, as many
// as the platform grants cores, the scheduler would take it away only after 10 ms
// at a time, and one answer needs it several times. It decides nothing.
func maybeYield(i int) {
	if i%entriesPerYield == entriesPerYield-1 {
		runtime.Gosched()
	}
}
