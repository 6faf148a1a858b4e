// What callers are told: health, the free value, how long connections idle.

package kiteslip

import (
	"fmt"
	"math"
)

// advise tells callers how much to send, from this worker's own load.
func (w *Worker) advise(acts []Action) []Action {
	healthy := (w.stop == 0 || w.replaced) && w.failing < failOff && !w.stalled()
	if healthy != w.healthy {
		w.healthy = healthy
		acts = append(acts, Action{Kind: Health, On: healthy, Cached: true})
		acts = append(acts, Action{Kind: Log, Text: fmt.Sprintf("health %v: failing %.2f, last progress %d ms ago",
			healthy, w.failing, (w.now-w.progress)/1000)})
	}
	if w.now < w.adviseAt {
		return acts
	}
	w.adviseAt = w.now + idleTimer
	acts = w.connections(acts)
	if w.set.LoadSignal == LoadSignalNone {
		return acts
	}
	v := 0.0
	switch {
	case w.set.LoadSignal == LoadSignalMinRank:
		move := w.pressure - 1
		if !healthy {
			move = 1
		}
		// Up to the least valuable class (equal portions of rank): taking more, it swings from nothing to all.
		w.floor = max(0, min(1/float64(len(w.set.Classes)), w.floor+floorStep*max(-1, min(2, move))))
		v = w.floor
	case healthy && w.set.LoadSignal == LoadSignalAllowance:
		v = allowAim * w.meanAim * float64(w.set.Cores) / w.meanBase / float64(w.set.Callers)
		v *= (1 - w.failing) / max(1, w.pressure)
	case healthy:
		v = 1 / max(1, w.pressure)
	}
	if math.Abs(v-w.said) > 0.01 {
		w.said = v
		acts = append(acts, Action{Kind: SetLoadSignal, Value: v})
	}
	return acts
}

// connections guards against a table full of connections that nobody uses: where a caller comes back, on the
// mean, only after its connection has closed by itself, it is closed at once. It harms where few of many
// callers send nearly all. Not in a storm, where most is refused and read late: a full table turns tries away
// unread then. That harms if the storm is short: the table takes part of the cores.
func (w *Worker) connections(acts []Action) []Action {
	w.storm = (w.storm || w.unread > backlogAim*w.leastAim) && w.refused > refusedMost
	closing := float64(w.set.Callers)*rateOver > w.arrivals*float64(w.set.IdleAfter) && !w.storm
	if closing == w.closing || w.set.IdleAfter <= 0 {
		return acts
	}
	after := w.set.IdleAfter
	if w.closing = closing; closing {
		after = min(after, shortIdle)
	}
	return append(acts, Action{Kind: SetIdleTimeout, After: after})
}

// stalled says that none of what is on the cores gets on; one long run on a small machine is no stall.
func (w *Worker) stalled() bool {
	return float64(w.now-w.progress)*float64(min(w.onCore-w.besideRuns, w.set.Cores)) > stallRuns*w.meanBase
}

// arm keeps a timer going.
func (w *Worker) arm(acts []Action) []Action {
	span := int64(idleTimer)
	if len(w.reqs) > 0 {
		span = busyTimer
	}
	if w.timerAt != 0 && w.timerAt <= w.now+span {
		return acts
	}
	w.timerToken++
	w.timerAt = w.now + span
	return append(acts, Action{Kind: SetTimer, After: span, Token: w.timerToken})
}
