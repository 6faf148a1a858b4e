package hollow

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"kiteslip/internal/frame"
)

// line is one connection of a caller.
type line struct {
	conn   net.Conn
	target int

	mu     sync.Mutex
	open   map[uint32]chan<- reply
	stream uint32
	away   bool // it was told to go, or is gone: nothing new goes out on it
	usedAt time.Time
}

// reply is an answer, or the end of the connection without one.
type reply struct {
	code byte // 0 = the connection has ended
	body []byte
	at   time.Time
}

var errAway = errors.New("the connection takes nothing new")

// dialWithin is how long a connection may take to come about.
const dialWithin = time.Second

func dial(address string, target int) (*line, error) {
	conn, err := net.DialTimeout("tcp", address, dialWithin)
	if err != nil {
		return nil, err
	}
	l := &line{conn: conn, target: target, open: map[uint32]chan<- reply{}, usedAt: time.Now()}
	go l.read()
	return l, nil
}

// ask sends a request; its end comes on answers, which must have room for it.
func (l *line) ask(fields []frame.Field, body []byte, answers chan<- reply) (stream uint32, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away || len(l.open) >= frame.MaxStreams-1 {
		return 0, errAway
	}
	l.stream++
	l.open[l.stream] = answers
	l.usedAt = time.Now()
	l.conn.Write(frame.AppendRequest(nil, l.stream, fields, body)) //nolint:errcheck // its end shows in what is read
	return l.stream, nil
}

// forget gives a request up.
func (l *line) forget(stream uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, stream)
}

func (l *line) read() {
	var buf []byte
	chunk := make([]byte, 8<<10)
	for {
		n, err := l.conn.Read(chunk)
		at := time.Now()
		buf = append(buf, chunk[:n]...)
		for {
			f, used, bad := frame.Split(buf)
			if bad != nil {
				err = bad
			}
			if used == 0 {
				break
			}
			l.take(&f, at)
			buf = buf[used:]
		}
		if err != nil {
			break
		}
	}
	l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = true
	for _, answers := range l.open {
		answers <- reply{}
	}
	l.open = nil
}

func (l *line) take(f *frame.Frame, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch f.Type {
	case frame.GoAway:
		l.away = true
	case frame.Answer:
		answers, known := l.open[f.Stream]
		if !known || len(f.Payload) == 0 {
			return
		}
		delete(l.open, f.Stream)
		r := reply{code: f.Payload[0], at: at}
		if _, body, err := frame.ParseFields(f.Payload[1:]); err == nil {
			r.body = bytes.Clone(body)
		}
		answers <- r
	}
	if l.away && len(l.open) == 0 {
		l.conn.Close() // as a caller does that is told to go
	}
}

// rest closes the connection if it has carried nothing for so long.
func (l *line) rest(after time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.away && (len(l.open) > 0 || time.Since(l.usedAt) < after) {
		return false
	}
	l.away = true
	if len(l.open) == 0 {
		l.conn.Close()
	}
	return true
}

// took reads the engine's own time off the end of a result, and says whether the
// result is that of the body that was sent.
func took(result, sent []byte) (us int64, own bool) {
	rest, own := bytes.CutPrefix(result, sent)
	if !own || len(rest) < 2 || rest[0] != ' ' {
		return 0, false
	}
	us, err := strconv.ParseInt(string(rest[1:]), 10, 64)
	return us, err == nil
}
