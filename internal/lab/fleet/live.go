package fleet

import (
	"math"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kiteslip/internal/core"
)

// RemoteTry is a try that is sent to a real program.
type RemoteTry struct {
	ID                  uint32 // the Reply carries the same
	Class, Team, Caller int
	Key                 string
	Subject             uint64
	Timeout             int64   // how long its caller still waits, microseconds
	Work                float64 // microseconds at speed 1
}

// Remote is a box whose server is a real program. Its methods do not block; each
// Send is followed by exactly one Reply, also if the connection ends.
type Remote interface {
	Send(s RemoteTry)
	Kill() // without answering what is queued or runs
	// Restart starts the box again at a share of its usual speed, which it reaches
	// after warmup microseconds.
	Restart(factor float64, warmup int64)
	SetSpeed(factor float64) // a share of the usual speed
	Pause(duration int64)    // microseconds
	Drain()                  // sends the shutdown notice
}

// Reply is the end of a try.
type Reply struct {
	Box    int
	ID     uint32
	Answer core.Answer
}

// busyWaitUS is the time before an event that is spent polling instead of on a
// timer, because timers are too coarse.
const busyWaitUS = 1500

// Lateness is by how much the callers sent their requests later than planned, in
// microseconds.
type Lateness struct{ P99, Max int64 }

// PlayLive plays a day against real programs, one for each box, in real time. Its
// random draws are the same as those of Play. watch, if not nil, is called four
// times a second with the time of the day and the outcome so far; closing stop ends
// the day early.
func PlayLive(day Day, remotes []Remote, replies <-chan Reply, stop <-chan struct{}, watch func(at int64, o *Outcome)) (*Outcome, Lateness, error) {
	if err := day.check(); err != nil {
		return nil, Lateness{}, err
	}
	sim, err := newSimulation(&day, remotes)
	if err != nil {
		return nil, Lateness{}, err
	}
	late := hdrhistogram.New(1, 60*Second, 3)
	started := time.Now()
	clock := func() int64 { return epoch + time.Since(started).Microseconds() }
	end := epoch + day.Length
	nextWatch := int64(epoch + Second/4)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		sim.now = max(sim.now, clock())
		party, at := sim.schedule.earliest()
		if at <= sim.now {
			if party >= day.Boxes && party < day.Boxes+len(sim.streams) {
				late.RecordValue(max(1, sim.now-at)) //nolint:errcheck // values above the range of the histogram are left out
			}
			sim.runParty(party)
			continue
		}
		if sim.now >= end && sim.score.openRequests == 0 || sim.now > end+30*Second {
			break
		}
		if sim.now >= nextWatch && watch != nil {
			nextWatch += Second / 4
			watch(sim.now-epoch, sim.interimOutcome())
		}
		until := min(at, nextWatch)
		if until == math.MaxInt64 {
			until = sim.now + Second/4
		}
		if until-sim.now <= busyWaitUS {
			select {
			case r := <-replies:
				sim.now = max(sim.now, clock())
				sim.handleRemoteReply(r)
			default:
				runtime.Gosched()
			}
			continue
		}
		timer.Reset(time.Duration(until-sim.now-busyWaitUS) * time.Microsecond)
		select {
		case r := <-replies:
			sim.now = max(sim.now, clock())
			sim.handleRemoteReply(r)
		case <-timer.C:
		case <-stop:
			sim.score.finish(&sim.Outcome)
			return &sim.Outcome, Lateness{late.ValueAtQuantile(99), late.Max()}, nil
		}
	}
	sim.score.finish(&sim.Outcome)
	return &sim.Outcome, Lateness{late.ValueAtQuantile(99), late.Max()}, nil
}

// handleRemoteReply processes the answer of a real program to a try.
func (sim *simulation) handleRemoteReply(r Reply) {
	m := sim.boxes[r.Box]
	t := m.tries[r.ID]
	delete(m.tries, r.ID)
	if t == nil || !t.pending {
		return
	}
	t.pending = false
	m.openTries--
	if sim.now > t.request.deadline+60_000 {
		sim.DeadlineExceeded++
	}
	sim.handleAnswer(t, r.Answer)
}

// interimOutcome returns the outcome so far.
func (sim *simulation) interimOutcome() *Outcome {
	o := sim.Outcome
	sim.score.finish(&o)
	return &o
}
