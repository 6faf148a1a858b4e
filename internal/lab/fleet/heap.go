package fleet

import "math"

// eventHeap is an indexed min-heap of the next event of each party. Events at the
// same instant are ordered by the number of their party.
type eventHeap struct {
	at       []int64 // by party: the instant of its next event; math.MaxInt64 = none
	order    []int   // parties, as a heap
	position []int   // by party: its index in order
}

// init makes the heap one of n parties that have no event.
func (h *eventHeap) init(n int) {
	h.at, h.order, h.position = make([]int64, n), make([]int, n), make([]int, n)
	for i := range n {
		h.at[i], h.order[i], h.position[i] = math.MaxInt64, i, i
	}
}

// less orders the parties at two indexes of order.
func (h *eventHeap) less(i, j int) bool {
	a, b := h.order[i], h.order[j]
	return h.at[a] < h.at[b] || h.at[a] == h.at[b] && a < b
}

// swap exchanges the parties at two indexes of order.
func (h *eventHeap) swap(i, j int) {
	h.order[i], h.order[j] = h.order[j], h.order[i]
	h.position[h.order[i]], h.position[h.order[j]] = i, j
}

// earliest returns the party whose event is the earliest, and its instant.
func (h *eventHeap) earliest() (party int, at int64) { return h.order[0], h.at[h.order[0]] }

// set sets the instant of a party's next event. It does nothing before init.
func (h *eventHeap) set(party int, at int64) {
	if len(h.at) == 0 || h.at[party] == at {
		return
	}
	h.at[party] = at
	i := h.position[party]
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		child := 2*i + 1
		if child >= len(h.order) {
			return
		}
		if child+1 < len(h.order) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
