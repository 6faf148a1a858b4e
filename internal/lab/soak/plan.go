package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The settings of every server and of the load.
const (
	classTimeout     = 1500 * time.Millisecond
	answerSlack      = 110 * time.Millisecond // of the server's rules, and the time on the sockets
	stopTimeout      = 1500 * time.Millisecond
	supersededStop   = classTimeout + 700*time.Millisecond // from SIGTERM to SIGKILL once a successor serves
	drainGrace       = 300 * time.Millisecond
	socketSlack      = 50 * time.Millisecond // added to each time limit on the sockets
	keyWindow        = 2500 * time.Millisecond
	readyLimit       = 10 * time.Second
	memoryLimitMB    = 96
	descriptorLimit  = 256
	coreLimit        = 1.0
	engineCores      = 4
	callShare        = 0.6 // downstream calls at once for each server, on average
	callShareWindow  = 2 * time.Second
	ledgerCallTime   = 40 * time.Millisecond
	loadTime         = 8 * time.Second
	firstActionAfter = 600 * time.Millisecond
	minPlaces        = 3
	maxPlaces        = 5 // with successors at most eight processes at once
)

// action is what happens to one server at one moment.
type action uint8

// The actions.
const (
	actReload      action = iota // one or more SIGHUP
	actRestart                   // SIGTERM, and a new process after the end
	actUpgrade                   // a successor beside the process, and SIGTERM to that once it is ready
	actUpgradeTerm               // as actUpgrade, and SIGTERM to the successor while it takes over
	actKill                      // SIGKILL without a notice, with the engine, and a new process
	actCutEngine                 // the engine link ends after a number of bytes
	actSilenceEngine
	actCutLedger
	actSilenceLedger
	actRegistryDown
	actCrowd // many connections at once

	actions int = iota
)

var actionNames = [actions]string{"reload", "restart", "upgrade", "upgrade_term", "kill", "cut_engine", "silence_engine",
	"cut_ledger", "silence_ledger", "registry_down", "crowd"}

// String returns the name that the counts are printed under.
func (a action) String() string { return actionNames[a] }

// step is an action on a server at a time from the beginning of the load.
type step struct {
	at       time.Duration
	place    int
	action   action
	repeat   int           // further signals of the same kind inside the first one's work
	hold     time.Duration // how long the key store can't be opened, or the fault lasts
	bytes    int           // forwarded before a cut
	gap      time.Duration // between repeated signals
	reloaded bool          // SIGHUP inside the work of SIGTERM
}

// placePlan is what one server is.
type placePlan struct {
	upgrades bool // the platform holds the listening socket, and a successor starts beside the process
	keyStore bool
}

// plan is what one seed plays.
type plan struct {
	places []placePlan
	steps  []step
	quiet  time.Duration // at the beginning no request is sent for so long
}

// drawPlan draws a plan. Processes are restarted and upgraded in series: the steps of
// one server may fall into each other's work.
func drawPlan(rng *rand.Rand) plan {
	p := plan{}
	for range minPlaces + rng.IntN(maxPlaces-minPlaces+1) {
		p.places = append(p.places, placePlan{upgrades: rng.IntN(3) > 0, keyStore: rng.IntN(2) == 0})
	}
	if !slices.ContainsFunc(p.places, func(pl placePlan) bool { return pl.upgrades && pl.keyStore }) {
		p.places[0] = placePlan{upgrades: true, keyStore: true}
	}
	if rng.IntN(4) == 0 {
		p.quiet = 2 * time.Second
	}
	for i, pl := range p.places {
		for range 3 {
			p.steps = append(p.steps, drawSignal(rng, i, pl))
		}
		for range 2 {
			p.steps = append(p.steps, drawFault(rng, i))
		}
	}
	if rng.IntN(3) == 0 {
		p.steps = append(p.steps, step{at: drawTime(rng), place: rng.IntN(len(p.places)), action: actCrowd})
	}
	slices.SortFunc(p.steps, func(a, b step) int { return int(a.at - b.at) })
	return p
}

func drawTime(rng *rand.Rand) time.Duration {
	return firstActionAfter + time.Duration(rng.Int64N(int64(loadTime-2*firstActionAfter)))
}

func drawSignal(rng *rand.Rand, place int, pl placePlan) step {
	s := step{at: drawTime(rng), place: place, repeat: rng.IntN(3), gap: time.Duration(rng.IntN(200)) * time.Millisecond, reloaded: rng.IntN(3) == 0}
	switch n := rng.IntN(10); {
	case n < 2:
		s.action = actReload
	case n == 2:
		s.action = actKill
	case !pl.upgrades:
		s.action = actRestart
	case n < 8:
		s.action = actUpgrade
	default:
		s.action = actUpgradeTerm
	}
	if pl.keyStore && rng.IntN(3) > 0 {
		s.hold = 200*time.Millisecond + time.Duration(rng.IntN(900))*time.Millisecond
	}
	return s
}

func drawFault(rng *rand.Rand, place int) step {
	faults := []action{actCutEngine, actCutEngine, actSilenceEngine, actCutLedger, actSilenceLedger, actRegistryDown}
	return step{at: drawTime(rng), place: place, action: faults[rng.IntN(len(faults))],
		bytes: rng.IntN(400), hold: time.Duration(50+rng.IntN(400)) * time.Millisecond}
}
