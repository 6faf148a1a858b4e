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

// callers simulates many callers of one server. Requests are sent at an even
// overall rate, each by a random caller, which opens a connection if it has none
// and closes it after the idle timeout.
type callers struct {
	address       string
	teams, routes int
	idleTimeout   time.Duration
	deadline      time.Duration
	rng           *rand.Rand
	list          []*caller
	requests      sync.WaitGroup

	mu     sync.Mutex
	counts counts
}

// counts is what the callers observed.
type counts struct {
	sent, served, refused, failed int
	lost                          int // had no answer
	late                          int // answered after the deadline
	retries                       int // retries, after the connection ended without an answer
	goAways                       int // connections on which the server sent a go-away frame
	closedByServer                int // connections that the server closed
	opened                        int
	times                         []float64 // from the time the request was due to its answer, ms
}

// caller is one caller. It has at most one open request.
type caller struct {
	busy bool // guarded by callers.mu
	mu   sync.Mutex
	conn *callerConn
}

// callerConn is one connection, read by its own goroutine.
type callerConn struct {
	net.Conn
	answers        chan byte // the code of an answer; closed at the end of the connection
	mu             sync.Mutex
	closing        bool
	outstanding    bool   // a request is outstanding
	answered       int    // number of requests answered
	lastStream     uint32 // of the last request; numbers are not reused on a connection
	closedByCaller bool   // closed by the caller
}

func newCallers(address string, n int, s site, idleTimeout time.Duration, seed uint64) *callers {
	c := &callers{address: address, teams: s.teams, routes: s.routes, idleTimeout: idleTimeout, deadline: 4200 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, uint64(n)))}
	for range n {
		c.list = append(c.list, &caller{})
	}
	return c
}

// run sends rate requests per second for span, and returns when the last one was sent.
func (c *callers) run(rate float64, span time.Duration) {
	began := time.Now()
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / rate * float64(time.Second))
		if at >= span {
			return
		}
		time.Sleep(time.Until(began.Add(at)))
		if from := c.idleCaller(); from != nil {
			c.send(from)
		} // else all callers are busy: they wait for the server, which shows in the latencies
	}
}

// eachOnce makes every caller send one request, at an even rate per second, and
// waits for the answers.
func (c *callers) eachOnce(rate float64) {
	began := time.Now()
	for i, from := range c.list {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		c.mu.Lock()
		busy := from.busy
		from.busy = true
		c.mu.Unlock()
		if !busy {
			c.send(from)
		}
	}
	c.requests.Wait()
}

// send makes a caller send one request, in its own goroutine.
func (c *callers) send(from *caller) {
	class, team := className(c.rng.IntN(c.routes)), teamName(c.rng.IntN(c.teams))
	c.requests.Go(func() { c.request(from, class, team) })
}

func (c *callers) idleCaller() *caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range 16 {
		if from := c.list[c.rng.IntN(len(c.list))]; !from.busy {
			from.busy = true
			return from
		}
	}
	return nil
}

// reset waits for outstanding requests and clears the counts.
func (c *callers) reset() {
	c.requests.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = counts{}
}

// result waits for outstanding requests and returns the counts, with sorted times.
func (c *callers) result() counts {
	c.requests.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.Sort(c.counts.times)
	return c.counts
}

func (c *callers) update(f func(s *counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.counts)
}

// close closes all connections.
func (c *callers) close() {
	c.requests.Wait()
	for _, from := range c.list {
		from.mu.Lock()
		if from.conn != nil {
			from.conn.leave()
		}
		from.mu.Unlock()
	}
}

func (c *callers) request(from *caller, class, team string) {
	began := time.Now()
	code, tries := byte(0), 0
	for ; code == 0 && tries < 3 && time.Since(began) < c.deadline; tries++ {
		code = c.try(from, class, team, began)
	}
	took := time.Since(began)
	c.update(func(s *counts) {
		s.sent++
		s.retries += tries - 1
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
		from.busy = false
	})
}

// try sends one request and returns the code of its answer, or 0 without one.
func (c *callers) try(from *caller, class, team string, began time.Time) byte {
	l, err := c.connect(from)
	if err != nil {
		return 0
	}
	name := fmt.Sprintf("%016x", c.nextID())
	fields := probe.Fields(class, name, began, c.deadline)
	for i := range fields {
		if fields[i].Name == "owner" {
			fields[i].Value = team
		}
	}
	l.lastStream++
	if _, err = l.Write(frame.AppendRequest(nil, l.lastStream, fields, []byte("b"))); err != nil {
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

// settle marks the request as answered and schedules the idle timeout.
func (c *callers) settle(l *callerConn) {
	l.mu.Lock()
	l.outstanding, l.answered = false, l.answered+1
	answered, closing := l.answered, l.closing
	l.mu.Unlock()
	if closing {
		l.leave()
		return
	}
	time.AfterFunc(c.idleTimeout, func() { l.closeIfIdle(answered) })
}

// connect returns the caller's connection, or opens one.
func (c *callers) connect(from *caller) (*callerConn, error) {
	from.mu.Lock()
	defer from.mu.Unlock()
	if from.conn != nil && from.conn.begin() {
		return from.conn, nil
	}
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return nil, err
	}
	l := &callerConn{Conn: conn, answers: make(chan byte, 1), outstanding: true}
	from.conn = l
	c.update(func(s *counts) { s.opened++ })
	go c.read(l)
	return l, nil
}

// read handles the frames from the server until the connection ends.
func (c *callers) read(l *callerConn) {
	defer close(l.answers)
	buf := make([]byte, 0, 512)
	goAway := false
	for {
		if len(buf) == cap(buf) {
			buf = slices.Grow(buf, cap(buf))
		}
		n, err := l.Read(buf[len(buf):cap(buf)])
		if err != nil {
			l.mu.Lock()
			byServer := !l.closedByCaller
			l.closing = true
			l.mu.Unlock()
			l.Close()
			if byServer {
				c.update(func(s *counts) { s.closedByServer++ })
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
			case f.Type == frame.GoAway && !goAway:
				goAway = true
				l.mu.Lock()
				l.closing = true // no new request is sent
				outstanding := l.outstanding
				l.mu.Unlock()
				if !outstanding {
					l.leave()
				}
				c.update(func(s *counts) { s.goAways++ })
			}
			buf = buf[:copy(buf, buf[n:])]
		}
	}
}

// begin reports whether a request may be sent, and marks one as outstanding.
func (l *callerConn) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return false
	}
	l.outstanding = true
	return true
}

// closeIfIdle closes the connection if no request was sent on it since it had
// answered so many.
func (l *callerConn) closeIfIdle(answered int) {
	l.mu.Lock()
	idle := !l.outstanding && !l.closing && l.answered == answered
	if idle {
		l.closing, l.closedByCaller = true, true
	}
	l.mu.Unlock()
	if idle {
		l.Close()
	}
}

// leave closes the connection from the caller's side.
func (l *callerConn) leave() {
	l.mu.Lock()
	l.closing, l.closedByCaller = true, true
	l.mu.Unlock()
	l.Close()
}

var lastID struct {
	sync.Mutex
	n uint64
}

func (c *callers) nextID() uint64 {
	lastID.Lock()
	defer lastID.Unlock()
	lastID.n++
	return lastID.n
}

// directExchanges sends runs to an engine stand-in by its own protocol, without a server in
// between: the cost of an exchange on this machine at the same time. Times are in
// ms, sorted.
func directExchanges(address string, rate float64, span time.Duration) ([]float64, error) {
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
			return nil, fmt.Errorf("slopes: the engine stand-in does not answer: %w", err)
		}
		times = append(times, float64(time.Since(sent).Microseconds())/1000)
	}
	slices.Sort(times)
	return times, nil
}

// quantile returns the quantile q of sorted times, or 0 without any.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
