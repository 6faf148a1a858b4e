package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"kiteslip/internal/frame"
)

// habit is how a caller treats its connections.
type habit uint8

// The habits.
const (
	polite   habit = iota // opens a new connection when the server asks for it
	stubborn              // sends on an open connection until it ends
	resting               // leaves its connection alone for long, then uses it again
	habits   int   = iota
)

// The load of a caller.
const (
	minTick           = 10 * time.Millisecond
	tickSpread        = 40 * time.Millisecond // added at random
	restTick          = 1200 * time.Millisecond
	maxWork           = 20_000 // microseconds of a run
	maxKeyedWork      = 5_000
	shortTimeout      = 30 * time.Millisecond // the longest of requests with little time left
	crowdSize         = 40                    // connections of a crowd
	crowdRequests     = 6                     // on each of them
	drainWait         = classTimeout + answerSlack + time.Second
	retryBeforeEnd    = 100 * time.Millisecond // a late try comes so long before the end of its key's window
	secondWindowRetry = 700 * time.Millisecond // a third try comes so long after that one, inside the window that its run opened
	retryAfterEnd     = 250 * time.Millisecond // ... and another so long after it
)

// laterTry is a further try of a key that is due at a time.
type laterTry struct {
	at        time.Time
	key, body string
}

// frameCaller is a caller of one place on the frame front end.
type frameCaller struct {
	place *place
	rng   *rand.Rand
	id    string
	habit habit
	conn  *connection
	old   []*connection
	later []laterTry
	keys  int
}

// run sends until the load ends, and then waits for the answers that are due.
func (c *frameCaller) run() {
	for !c.place.game.stopping.Load() {
		c.tick()
		pauseFor := minTick + time.Duration(c.rng.Int64N(int64(tickSpread)))
		if c.habit == resting {
			pauseFor += time.Duration(c.rng.Int64N(int64(restTick)))
		}
		time.Sleep(pauseFor)
	}
	if c.conn != nil {
		c.old = append(c.old, c.conn)
	}
	awaitAnswers(c.old)
}

// awaitAnswers waits until nothing is open on the connections, at most as long as any
// answer may take, and closes them.
func awaitAnswers(connections []*connection) {
	until := time.Now().Add(drainWait)
	for _, c := range connections {
		for time.Now().Before(until) {
			if pending, _, _ := c.state(); pending == 0 {
				break
			}
			select {
			case <-c.ended:
			case <-time.After(5 * time.Millisecond):
				continue
			}
			break
		}
		c.abandon()
	}
}

// tick does one thing.
func (c *frameCaller) tick() {
	if !c.connect() {
		return
	}
	for i, l := range c.later {
		if time.Now().After(l.at) {
			if c.conn.send(c.keyed(l.key, l.body, classTimeout)) {
				c.later = append(c.later[:i], c.later[i+1:]...)
			}
			return
		}
	}
	switch n := c.rng.IntN(100); {
	case n < 20:
		c.sendKeyed()
	case n < 26:
		timeout := time.Millisecond + time.Duration(c.rng.Int64N(int64(shortTimeout)))
		c.conn.send(c.repeatable(timeout.Truncate(time.Millisecond)))
	case n < 28:
		c.conn.send(c.repeatable(classTimeout), c.repeatable(classTimeout))
		c.conn.closeWrite()
	case n == 28:
		c.conn.send(c.repeatable(classTimeout))
		c.conn.sendMalformed(frame.AppendHeader(nil, 99, 1, 0))
	case n == 29:
		c.conn.sendMalformed([]byte{0, 0})
	default:
		c.conn.send(c.repeatable(classTimeout))
	}
}

// connect makes sure that there is a connection to send on, as the caller's habit has
// it, and reports whether there is one.
func (c *frameCaller) connect() bool {
	if c.conn != nil {
		_, goAway, inputEnded := c.conn.state()
		select {
		case <-c.conn.ended:
			c.conn = nil
		default:
			if inputEnded || goAway && c.habit != stubborn {
				c.conn.retire()
				c.old = append(c.old, c.conn)
				c.conn = nil
			}
		}
	}
	if c.conn == nil {
		conn, err := dialFrames(c.place)
		if err != nil {
			c.place.game.counts.refusedConnections.Add(1)
			return false
		}
		c.conn = conn
	}
	return true
}

func (c *frameCaller) repeatable(timeout time.Duration) *request {
	return &request{place: c.place, front: "frames", class: classRepeatable, timeout: timeout, body: fmt.Sprintf("%d look", 1000+c.rng.IntN(maxWork))}
}

func (c *frameCaller) keyed(key, body string, timeout time.Duration) *request {
	return &request{place: c.place, front: "frames", class: classKeyed, key: key, body: body, timeout: timeout}
}

// sendKeyed sends the first try of a new key, some with a second one at once, and plans
// further tries shortly before the end of its window and after it.
func (c *frameCaller) sendKeyed() {
	c.keys++
	key := fmt.Sprintf("%s-%d", c.id, c.keys)
	body := fmt.Sprintf("%d*1 note %s", 500+c.rng.IntN(maxKeyedWork), key)
	tries := []*request{c.keyed(key, body, classTimeout)}
	if c.rng.IntN(3) == 0 {
		tries = append(tries, c.keyed(key, body, classTimeout))
	}
	if !c.conn.send(tries...) {
		return
	}
	now := time.Now()
	if c.rng.IntN(2) == 0 {
		c.later = append(c.later, laterTry{now.Add(keyWindow - retryBeforeEnd), key, body})
	}
	if c.rng.IntN(2) == 0 {
		again := now.Add(keyWindow + retryAfterEnd)
		c.later = append(c.later, laterTry{again, key, body}, laterTry{again.Add(secondWindowRetry), key, body})
	}
	if c.rng.IntN(2) == 0 {
		c.later = append(c.later, laterTry{now.Add(time.Duration(c.rng.Int64N(int64(keyWindow)))), key, body})
	}
}

// crowd opens many connections to a place at once and sends on all of them.
func crowd(p *place, rng *rand.Rand) {
	c := &frameCaller{place: p, rng: rng}
	var connections []*connection
	for range crowdSize {
		conn, err := dialFrames(p)
		if err != nil {
			continue
		}
		connections = append(connections, conn)
		for range crowdRequests {
			conn.send(c.repeatable(classTimeout))
		}
	}
	awaitAnswers(connections)
}
