// What callers are told: health, load signal, idle timeout.

package kiteslip

import (
	"fmt"
	"math"
)

// advise sets health, idle timeout and load signal according to this worker's load.
func (w *Worker) advise(acts []Action) []Action {
	healthy := (w.stopAt == 0 || w.handedOver) && w.failureRate < unhealthyFailureRate && !w.stalled()
	if healthy != w.healthy {
		w.healthy = healthy
		acts = append(acts, Action{Kind: Health, On: healthy, Cached: true})
		acts = append(acts, Action{Kind: Log, Text: fmt.Sprintf("health %v: failing %.2f, last progress %d ms ago",
			healthy, w.failureRate, (w.now-w.lastProgress)/1000)})
	}
	if w.now < w.nextAdvice {
		return acts
	}
	w.nextAdvice = w.now + idleTimerUS
	acts = w.adviseIdleTimeout(acts)
	if w.cfg.LoadSignal == LoadSignalNone {
		return acts
	}
	signal := 0.0
	switch {
	case w.cfg.LoadSignal == LoadSignalMinRank:
		move := w.waitRatio - 1
		if !healthy {
			move = 1
		}
		// At most the rank of the least valuable class (classes share the ranks evenly): beyond it, load
		// oscillates.
		w.minRank = max(0, min(1/float64(len(w.cfg.Classes)), w.minRank+minRankStep*max(-1, min(2, move))))
		signal = w.minRank
	case healthy && w.cfg.LoadSignal == LoadSignalAllowance:
		signal = allowanceTargetShare * w.meanTarget * float64(w.cfg.Cores) / w.meanWork / float64(w.cfg.Callers)
		signal *= (1 - w.failureRate) / max(1, w.waitRatio)
	case healthy:
		signal = 1 / max(1, w.waitRatio)
	}
	if math.Abs(signal-w.lastSignal) > 0.01 {
		w.lastSignal = signal
		acts = append(acts, Action{Kind: SetLoadSignal, Value: signal})
	}
	return acts
}

// adviseIdleTimeout prevents a table full of connections that nobody uses: if the mean interval between a
// caller's requests exceeds IdleAfter, connections are closed at once. It is wrong where a few of many
// callers send nearly all requests. In a retry storm the timeout stays long, since a full table rejects tries
// unread; that is wrong if the storm is short, since the table takes part of the cores.
func (w *Worker) adviseIdleTimeout(acts []Action) []Action {
	w.retryStorm = (w.retryStorm || w.readDelay > backlogTargetShare*w.minTarget) &&
		w.refusalRate > retryStormRefusalRate
	closeEarly := float64(w.cfg.Callers)*decayTimeUS > w.arrivals*float64(w.cfg.IdleAfter) && !w.retryStorm
	if closeEarly == w.closeIdleEarly || w.cfg.IdleAfter <= 0 {
		return acts
	}
	timeout := w.cfg.IdleAfter
	if w.closeIdleEarly = closeEarly; closeEarly {
		timeout = min(timeout, shortIdleTimeoutUS)
	}
	return append(acts, Action{Kind: SetIdleTimeout, After: timeout})
}

// stalled reports whether no run makes progress. One long run on a small machine is not a stall.
func (w *Worker) stalled() bool {
	return float64(w.now-w.lastProgress)*float64(min(w.onCore-w.peerRuns, w.cfg.Cores)) >
		stallMeanRuns*w.meanWork
}

// armTimer keeps a timer running.
func (w *Worker) armTimer(acts []Action) []Action {
	interval := int64(idleTimerUS)
	if len(w.reqs) > 0 {
		interval = busyTimerUS
	}
	if w.timerAt != 0 && w.timerAt <= w.now+interval {
		return acts
	}
	w.timerToken++
	w.timerAt = w.now + interval
	return append(acts, Action{Kind: SetTimer, After: interval, Token: w.timerToken})
}
