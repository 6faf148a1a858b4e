package slopes

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"kiteslip/internal/frame"
	"kiteslip/internal/lab/probe"
)

// callers are many callers of one server: requests come at an even pace on the
// whole, each from a caller drawn at random, which opens a connection if it has
// none, and lets go of it once it has rested for rest.
type callers struct {
	address       string
	teams, routes int
	rest          time.Duration
	deadline      time.Duration
	rng           *rand.Rand
	list          []*caller
	all           sync.WaitGroup

	mu   sync.Mutex
	seen seen
}

// seen is what the callers saw of their server.
type seen struct {
	sent, served, refused, failed int
	lost                          int // had no answer at all
	late                          int // answered past the deadline
	again                         int // sent a second time: the connection ended in the moment of sending
	away                          int // connections that the server asked to be closed while they rested
	ended                         int // ... and that it closed by itself
	opened                        int
	times                         []float64 // ms from the wish to the answer
}

// caller is one of them. At most one request of it is open at once.
type caller struct {
	busy bool // under the lock of callers
	mu   sync.Mutex
	conn *link
}

// link is one connection, read by a goroutine of its own.
type link struct {
	net.Conn
	answers chan byte // the code of an answer; closed at the end of the connection
	mu      sync.Mutex
	over    bool
	open    bool   // a request is open on it
	uses    int    // requests answered on it
	stream  uint32 // of the last request: a number is never used again on a connection
	left    bool   // closed by us
}

func newCallers(address string, n int, s site, rest time.Duration, seed uint64) *callers {
	c := &callers{address: address, teams: s.teams, routes: s.routes, rest: rest, deadline: 4200 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, uint64(n)))}
	for range n {
		c.list = append(c.list, &caller{})
	}
	return c
}

// ask sends rate requests a second for so long, and returns when the last was sent.
func (c *callers) ask(rate float64, span time.Duration) {
	began := time.Now()
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / rate * float64(time.Second))
		if at >= span {
			return
		}
		time.Sleep(time.Until(began.Add(at)))
		if who := c.draw(); who != nil {
			c.send(who)
		} // else all have one open: they wait for the server, which shows in the times
	}
}

// each has every caller ask once, at an even pace of rate a second.
func (c *callers) each(rate float64) {
	began := time.Now()
	for i, who := range c.list {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		c.mu.Lock()
		busy := who.busy
		who.busy = true
		c.mu.Unlock()
		if !busy {
			c.send(who)
		}
	}
	c.all.Wait()
}

// send has a caller ask once, beside us.
func (c *callers) send(who *caller) {
	class, team := className(c.rng.IntN(c.routes)), teamName(c.rng.IntN(c.teams))
	c.all.Go(func() { c.request(who, class, team) })
}

func (c *callers) draw() *caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range 16 {
		if who := c.list[c.rng.IntN(len(c.list))]; !who.busy {
			who.busy = true
			return who
		}
	}
	return nil
}

// reset forgets what was seen so far.
func (c *callers) reset() {
	c.all.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = seen{}
}

// take waits for what is open, and returns what was seen.
func (c *callers) take() seen {
	c.all.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.Sort(c.seen.times)
	return c.seen
}

func (c *callers) note(f func(s *seen)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.seen)
}

// close ends all connections.
func (c *callers) close() {
	c.all.Wait()
	for _, who := range c.list {
		who.mu.Lock()
		if who.conn != nil {
			who.conn.leave()
		}
		who.mu.Unlock()
	}
}

func (c *callers) request(who *caller, class, team string) {
	began := time.Now()
	code, tries := byte(0), 0
	for ; code == 0 && tries < 3 && time.Since(began) < c.deadline; tries++ {
		code = c.try(who, class, team, began)
	}
	took := time.Since(began)
	c.note(func(s *seen) {
		s.sent++
		s.again += tries - 1
		switch code {
		case frame.Served:
			s.served++
			s.times = append(s.times, float64(took.Microseconds())/1000)
		case frame.Refused:
			s.refused++
		case frame.Failed:
			s.failed++
		default:
			s.lost++
		}
		if code != 0 && took > c.deadline {
			s.late++
		}
		who.busy = false
	})
}

// try sends one request and returns the code of its answer, or 0.
func (c *callers) try(who *caller, class, team string, began time.Time) byte {
	l, err := c.link(who)
	if err != nil {
		return 0
	}
	name := fmt.Sprintf("%016x", c.name())
	fields := probe.Fields(class, name, began, c.deadline)
	for i := range fields {
		if fields[i].Name == "owner" {
			fields[i].Value = team
		}
	}
	l.stream++
	if _, err = l.Write(frame.AppendRequest(nil, l.stream, fields, []byte("b"))); err != nil {
		l.leave()
		return 0
	}
	select {
	case code := <-l.answers:
		if code == 0 {
			return 0
		}
		c.settle(l)
		return code
	case <-time.After(time.Until(began.Add(c.deadline + 2*time.Second))):
		l.leave()
		return 0
	}
}

// settle lets the connection rest, and go once it has rested.
func (c *callers) settle(l *link) {
	l.mu.Lock()
	l.open, l.uses = false, l.uses+1
	uses, over := l.uses, l.over
	l.mu.Unlock()
	if over {
		l.leave()
		return
	}
	time.AfterFunc(c.rest, func() { l.leaveAfter(uses) })
}

// link is the caller's connection: the one that it has, or a new one.
func (c *callers) link(who *caller) (*link, error) {
	who.mu.Lock()
	defer who.mu.Unlock()
	if who.conn != nil && who.conn.begin() {
		return who.conn, nil
	}
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return nil, err
	}
	l := &link{Conn: conn, answers: make(chan byte, 1), open: true}
	who.conn = l
	c.note(func(s *seen) { s.opened++ })
	go c.read(l)
	return l, nil
}

// read takes in what the server says, to the end of the connection.
func (c *callers) read(l *link) {
	defer close(l.answers)
	buf := make([]byte, 0, 512)
	away := false
	for {
		if len(buf) == cap(buf) {
			buf = slices.Grow(buf, cap(buf))
		}
		n, err := l.Read(buf[len(buf):cap(buf)])
		if err != nil {
			l.mu.Lock()
			byServer := !l.left
			l.over = true
			l.mu.Unlock()
			l.Close()
			if byServer {
				c.note(func(s *seen) { s.ended++ })
			}
			return
		}
		buf = buf[:len(buf)+n]
		for {
			f, n, err := frame.Split(buf)
			if err != nil {
				l.leave()
				return
			}
			if n == 0 {
				break
			}
			switch {
			case f.Type == frame.Answer && len(f.Payload) > 0:
				l.answers <- f.Payload[0]
			case f.Type == frame.GoAway && !away:
				away = true
				l.mu.Lock()
				l.over = true // no new request on it
				open := l.open
				l.mu.Unlock()
				if !open {
					l.leave()
				}
				c.note(func(s *seen) { s.away++ })
			}
			buf = buf[:copy(buf, buf[n:])]
		}
	}
}

// begin says whether a request may be sent on it, which is open from then on.
func (l *link) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return false
	}
	l.open = true
	return true
}

// leaveAfter closes the connection if it has not been used since.
func (l *link) leaveAfter(uses int) {
	l.mu.Lock()
	rested := !l.open && !l.over && l.uses == uses
	if rested {
		l.over, l.left = true, true
	}
	l.mu.Unlock()
	if rested {
		l.Close()
	}
}

// leave closes the connection.
func (l *link) leave() {
	l.mu.Lock()
	l.over, l.left = true, true
	l.mu.Unlock()
	l.Close()
}

var names struct {
	sync.Mutex
	n uint64
}

func (c *callers) name() uint64 {
	names.Lock()
	defer names.Unlock()
	names.n++
	return names.n
}

// direct asks an engine stand-in by its own protocol, without a server between:
// what an exchange costs on this machine, in the same run. Times are ms.
func direct(address string, rate float64, span time.Duration) ([]float64, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	defer conn.Close()
	if _, err = conn.Write([]byte("ATTACH 0\r\n")); err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	buf := make([]byte, 4096)
	if _, err = conn.Read(buf); err != nil { // its HELLO
		return nil, fmt.Errorf("slopes: %w", err)
	}
	var times []float64
	began := time.Now()
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / rate * float64(time.Second))
		if at >= span {
			break
		}
		time.Sleep(time.Until(began.Add(at)))
		sent := time.Now()
		if _, err = conn.Write([]byte("RUN d" + strconv.Itoa(i) + " x 1\r\nb\r\n")); err != nil {
			return nil, fmt.Errorf("slopes: %w", err)
		}
		conn.SetReadDeadline(sent.Add(5 * time.Second)) //nolint:errcheck // a TCP connection takes it
		if _, err = conn.Read(buf); err != nil {
			return nil, fmt.Errorf("slopes: the stand-in does not answer: %w", err)
		}
		times = append(times, float64(time.Since(sent).Microseconds())/1000)
	}
	slices.Sort(times)
	return times, nil
}

// part is the quantile of sorted times.
func part(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
