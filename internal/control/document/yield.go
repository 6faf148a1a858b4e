package document

import "runtime"

// entriesPerYield is after how many entries of a large version other goroutines may
// run: about 100 us of work.
const entriesPerYield = 32

// maybeYield lets other goroutines run, now and then in a loop over many entries.
// Where the process has one processor, as many as the platform grants cores, the
// scheduler would preempt the loop only after 10 ms at a time, and one answer of a
// server's event loop needs the processor several times. It changes no result.
func maybeYield(i int) {
	if i%entriesPerYield == entriesPerYield-1 {
		runtime.Gosched()
	}
}
