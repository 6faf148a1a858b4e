package soak

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"kiteslip/internal/faultnet"
)

// The timing of actions.
const (
	lockPollInterval   = 50 * time.Microsecond
	lockWait           = 3 * time.Second        // for a key store to be free
	earlyTerm          = 400 * time.Millisecond // a successor is told to stop within this time of its start
	registryDownFactor = 4                      // a registry is down this many times longer than a link
)

// carryOut carries out one step of the plan.
func (p *place) carryOut(s step, rng *rand.Rand) {
	p.game.counts.actions[s.action].Add(1)
	p.game.event("%s: %v", p.name, s.action)
	switch s.action {
	case actReload:
		p.reload(s)
	case actRestart:
		p.restart(s)
	case actUpgrade:
		p.upgrade(s)
	case actUpgradeTerm:
		p.upgradeTerminated(s, rng)
	case actKill:
		p.killAndStart()
	case actCutEngine:
		p.serving().link.CloseAfter(s.bytes)
		time.Sleep(s.hold)
		p.serving().link.Restore() //nolint:errcheck // fails only after Refuse
	case actSilenceEngine:
		link := p.serving().link
		link.Silence(faultnet.FromTarget)
		time.Sleep(s.hold)
		link.Restore() //nolint:errcheck // as above
	case actCutLedger:
		p.ledger.CloseAfter(s.bytes)
		time.Sleep(s.hold)
		p.ledger.Restore() //nolint:errcheck // as above
	case actSilenceLedger:
		p.ledger.Silence(faultnet.FromTarget)
		time.Sleep(s.hold)
		p.ledger.Restore() //nolint:errcheck // as above
	case actRegistryDown:
		p.game.registry.silence()
		time.Sleep(registryDownFactor * s.hold)
		if err := p.game.registry.listen(); err != nil {
			p.game.violate("rig", err.Error())
		}
	case actCrowd:
		crowd(p, rng)
	}
}

// serving returns the process that serves, or starts to.
func (p *place) serving() *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

func (p *place) setCurrent(pr *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = pr
}

// reload adds a class and sends SIGHUP, several times in a row. It may fall into any
// other work of the process.
func (p *place) reload(s step) {
	for i := range 1 + s.repeat {
		p.mu.Lock()
		p.extra++
		p.mu.Unlock()
		p.sendReload(p.serving())
		if i > 0 {
			p.game.counts.repeatedSignals.Add(1)
		}
		time.Sleep(s.gap)
	}
}

// sendReload writes the platform's file anew and sends SIGHUP.
func (p *place) sendReload(pr *process) {
	if err := pr.writeConfig(); err != nil {
		p.game.violate("rig", err.Error())
		return
	}
	pr.signal(syscall.SIGHUP)
}

// repeatSignals sends further signals into the work of a SIGTERM.
func (p *place) repeatSignals(pr *process, s step) {
	for range s.repeat {
		time.Sleep(s.gap)
		pr.signal(syscall.SIGTERM)
		p.game.counts.repeatedSignals.Add(1)
	}
	if s.reloaded {
		p.sendReload(pr)
	}
}

// restart tells the process to stop and starts a new one once it has ended.
func (p *place) restart(s step) {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	pr := p.serving()
	pr.terminate(false)
	p.repeatSignals(pr, s)
	<-pr.ended
	pr.link.Close()
	p.startNext()
}

// startNext starts a process and waits until it is ready.
func (p *place) startNext() {
	next, err := p.start()
	if err != nil {
		p.game.violate("rig", err.Error())
		return
	}
	p.setCurrent(next)
	next.awaitReady()
}

// upgrade starts a successor beside the process, and tells the process to stop once
// the successor is ready. It does not wait for the end: the next upgrade may begin
// before.
func (p *place) upgrade(s step) {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	old := p.serving()
	p.holdKeyStore(s)
	successor, err := p.start()
	if err != nil {
		p.game.violate("rig", err.Error())
		return
	}
	if !successor.awaitReady() {
		return // judged by its end
	}
	p.setCurrent(successor)
	old.terminate(true)
	p.repeatSignals(old, s)
}

// upgradeTerminated starts a successor and tells it to stop while it takes over. The
// process goes on and is replaced by another successor after that.
func (p *place) upgradeTerminated(s step, rng *rand.Rand) {
	p.lifecycle.Lock()
	p.holdKeyStore(s)
	successor, err := p.start()
	if err != nil {
		p.game.violate("rig", err.Error())
		p.lifecycle.Unlock()
		return
	}
	time.Sleep(time.Duration(rng.Int64N(int64(earlyTerm))))
	successor.terminate(false)
	p.repeatSignals(successor, s)
	<-successor.ended
	p.lifecycle.Unlock()
	p.upgrade(s)
}

// killAndStart kills the process with its engine and starts a new one.
func (p *place) killAndStart() {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	p.serving().kill()
	p.startNext()
}

// holdKeyStore keeps a successor from opening the key store for the time of the step,
// as a slow disk does: it takes the store's lock when the old process frees it.
func (p *place) holdKeyStore(s step) {
	if !p.plan.keyStore || s.hold == 0 {
		return
	}
	file, err := os.OpenFile(filepath.Join(p.keyFolder(), "LOCK"), os.O_RDWR, 0o600)
	if err != nil {
		p.game.violate("rig", err.Error())
		return
	}
	go func() {
		defer file.Close()
		lock := &unix.Flock_t{Type: unix.F_WRLCK}
		for began := time.Now(); time.Since(began) < lockWait; time.Sleep(lockPollInterval) {
			err := unix.FcntlFlock(file.Fd(), unix.F_SETLK, lock)
			if err == nil {
				p.game.counts.heldStores.Add(1)
				p.game.event("%s: the key store is held for %v", p.name, s.hold)
				time.Sleep(s.hold)
				return
			}
			if !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EACCES) {
				p.game.violate("rig", err.Error())
				return
			}
		}
	}()
}
