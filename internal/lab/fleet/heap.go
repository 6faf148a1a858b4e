package fleet

import "math"

// heap is an indexed heap of moments: each party has one, ties go by number.
type heap struct {
	at    []int64 // by party
	order []int   // parties, as a heap
	place []int   // by party: where it is in order
}

func (h *heap) init(n int) {
	h.at, h.order, h.place = make([]int64, n), make([]int, n), make([]int, n)
	for i := range n {
		h.at[i], h.order[i], h.place[i] = math.MaxInt64, i, i
	}
}

func (h *heap) less(i, j int) bool {
	a, b := h.order[i], h.order[j]
	return h.at[a] < h.at[b] || h.at[a] == h.at[b] && a < b
}

func (h *heap) swap(i, j int) {
	h.order[i], h.order[j] = h.order[j], h.order[i]
	h.place[h.order[i]], h.place[h.order[j]] = i, j
}

// first is the party whose moment is the earliest.
func (h *heap) first() (who int, at int64) { return h.order[0], h.at[h.order[0]] }

// set gives a party its next moment.
func (h *heap) set(who int, at int64) {
	if len(h.at) == 0 || h.at[who] == at {
		return
	}
	h.at[who] = at
	i := h.place[who]
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
