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

// callerConn is one connection of a caller.
type callerConn struct {
	conn   net.Conn
	target int

	mu         sync.Mutex
	pending    map[uint32]chan<- reply
	lastStream uint32
	closing    bool // after a go-away frame or the end of the connection: no new request is sent
	lastUsed   time.Time
}

// reply is an answer, or the end of the connection without one.
type reply struct {
	code byte // 0 = the connection ended
	body []byte
	at   time.Time
}

var errClosing = errors.New("the connection takes no new requests")

// dialTimeout bounds the opening of a connection.
const dialTimeout = time.Second

func dial(address string, target int) (*callerConn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	l := &callerConn{conn: conn, target: target, pending: map[uint32]chan<- reply{}, lastUsed: time.Now()}
	go l.read()
	return l, nil
}

// send sends a request. Its answer, or the end of the connection, is delivered on
// answers, which must have room for it.
func (l *callerConn) send(fields []frame.Field, body []byte, answers chan<- reply) (stream uint32, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing || len(l.pending) >= frame.MaxStreams-1 {
		return 0, errClosing
	}
	l.lastStream++
	l.pending[l.lastStream] = answers
	l.lastUsed = time.Now()
	l.conn.Write(frame.AppendRequest(nil, l.lastStream, fields, body)) //nolint:errcheck // a failed connection shows when it is read
	return l.lastStream, nil
}

// forget drops a request that is no longer waited for.
func (l *callerConn) forget(stream uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, stream)
}

func (l *callerConn) read() {
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
			l.handleFrame(&f, at)
			buf = buf[used:]
		}
		if err != nil {
			break
		}
	}
	l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for _, answers := range l.pending {
		answers <- reply{}
	}
	l.pending = nil
}

func (l *callerConn) handleFrame(f *frame.Frame, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch f.Type {
	case frame.GoAway:
		l.closing = true
	case frame.Answer:
		answers, known := l.pending[f.Stream]
		if !known || len(f.Payload) == 0 {
			return
		}
		delete(l.pending, f.Stream)
		r := reply{code: f.Payload[0], at: at}
		if _, body, err := frame.ParseFields(f.Payload[1:]); err == nil {
			r.body = bytes.Clone(body)
		}
		answers <- r
	}
	if l.closing && len(l.pending) == 0 {
		l.conn.Close() // after a go-away frame the caller closes the connection
	}
}

// closeIfIdle closes the connection if it has been idle for the given time, and
// reports whether it takes no more requests. A connection that is closing is
// closed once its requests have ended.
func (l *callerConn) closeIfIdle(after time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closing && (len(l.pending) > 0 || time.Since(l.lastUsed) < after) {
		return false
	}
	l.closing = true
	if len(l.pending) == 0 {
		l.conn.Close()
	}
	return true
}

// parseResult returns the engine's own time from the end of a result, and reports
// whether the result belongs to the body that was sent.
func parseResult(result, sent []byte) (us int64, ok bool) {
	rest, ok := bytes.CutPrefix(result, sent)
	if !ok || len(rest) < 2 || rest[0] != ' ' {
		return 0, false
	}
	us, err := strconv.ParseInt(string(rest[1:]), 10, 64)
	return us, err == nil
}
