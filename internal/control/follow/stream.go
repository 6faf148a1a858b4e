package follow

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kiteslip/internal/control/protocol"
)

// The bounds of one stream.
const (
	responseTimeout    = time.Second            // for a publisher to take the stream
	lastAckTimeout     = 250 * time.Millisecond // for the last word to be taken
	receiveBufferBytes = 64 << 10               // bytes that wait in the transport
	maxFrameBytes      = 16 << 10
	maxQueuedMessages  = 64  // words that wait to be sent: the oldest goes for the newest
	maxRefusalBytes    = 256 // bytes of a publisher's refusal that are told
)

// traffic counts the bytes of all streams, HTTP/2's own included.
type traffic struct{ sent, received atomic.Int64 }

// stream is one standing request to a publisher. It has a connection of its own,
// which ends with it: one that has fallen silent is never used again.
type stream struct {
	publisher int // the publisher's place
	messages  chan protocol.PublisherMessage
	outgoing  messageQueue
	cancel    context.CancelFunc
	ended     chan struct{} // closed when nothing of it runs any more
	err       error         // why it ended; to be read once ended is closed

	clock           func() time.Duration
	openedAt        time.Duration
	responseTimeout time.Duration // for the publisher to answer
	handledAt       time.Duration // when the owner had done with a record; the owner's
	receivedAt      atomic.Int64  // when bytes last came, by the clock; 0 = never
	established     bool          // a record has come; the owner's
	refusalSent     bool          // what is refused here was said on it; the owner's

	ahead int // beats in a row that tell of a version of which nothing comes; the owner's

	mu     sync.Mutex
	conn   net.Conn
	closed bool
}

// openStream begins a stream, beside the caller.
func openStream(to int, address string, hello *protocol.Hello, count *traffic, clock func() time.Duration, within time.Duration) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	s := &stream{publisher: to, messages: make(chan protocol.PublisherMessage), ended: make(chan struct{}), clock: clock, openedAt: clock(), responseTimeout: within}
	s.cancel = func() {
		cancel()
		s.outgoing.Close() //nolint:errcheck // it has none; the transport waits in Read for what we say, whatever becomes of the request
		s.closeConn()      // or in a write that a publisher which has stopped does not take
	}
	s.outgoing.notEmpty.L = &s.outgoing.mu
	s.outgoing.send(&protocol.FollowerMessage{Hello: hello})
	go func() {
		defer close(s.ended)
		s.err = s.run(ctx, address, count)
		s.cancel()
	}()
	return s
}

// run opens the stream and hands on what comes, one record at a time: a slow
// owner holds back the publisher, and nothing is gathered here.
func (s *stream) run(ctx context.Context, address string, count *traffic) error {
	transport := &http.Transport{
		Protocols: new(http.Protocols), DisableCompression: true, DisableKeepAlives: true,
		HTTP2: &http.HTTP2Config{MaxReceiveBufferPerConnection: receiveBufferBytes, MaxReceiveBufferPerStream: receiveBufferBytes,
			MaxReadFrameSize: maxFrameBytes, MaxDecoderHeaderTableSize: 4 << 10, MaxEncoderHeaderTableSize: 4 << 10},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{Timeout: responseTimeout}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if !s.setConn(c) {
				return nil, net.ErrClosed
			}
			return &countingConn{c, count}, nil
		},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+protocol.PathFollow, &s.outgoing)
	if err != nil {
		return err
	}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	s.receivedAt.Store(int64(s.clock()))
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(answer.Body, maxRefusalBytes))
		return fmt.Errorf("the publisher answers %s: %.*q", answer.Status, maxRefusalBytes, text)
	}
	from := protocol.NewReader(&activityReader{answer.Body, s})
	for {
		var r protocol.PublisherMessage
		if err := from.Read(&r); err != nil {
			return err
		}
		select {
		case s.messages <- r:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// setConn notes the stream's connection; false = the stream has ended meanwhile.
func (s *stream) setConn(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn = c; s.closed {
		c.Close()
	}
	return !s.closed
}

func (s *stream) closeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed = true; s.conn != nil {
		s.conn.Close()
	}
}

// timeoutAt says when the stream is to be left unless something comes before.
func (s *stream) timeoutAt() time.Duration {
	if at := s.receivedAt.Load(); at != 0 {
		return max(time.Duration(at), s.handledAt) + protocol.PublisherTimeout // what the owner takes time for is no silence
	}
	return s.openedAt + s.responseTimeout
}

// end ends the stream, after a last word if there is one, and returns when
// nothing of it is left.
func (s *stream) end(word *protocol.Ack) {
	if word != nil {
		s.outgoing.send(&protocol.FollowerMessage{Ack: word})
		s.outgoing.finish()
		late := time.NewTimer(lastAckTimeout)
		defer late.Stop()
		for waits := true; waits; {
			select {
			case <-s.messages: // it comes too late
			case <-s.ended:
				waits = false
			case <-late.C:
				waits = false
			}
		}
	}
	s.cancel()
	<-s.ended
}

// reason is what the stream ended by, in words for the log.
func (s *stream) reason() string {
	switch {
	case errors.Is(s.err, io.EOF):
		return "the publisher ended the stream"
	case s.err == nil:
		return "ended"
	}
	return s.err.Error()
}

// activityReader notes when bytes come, so that a large record that is on its way is no silence.
type activityReader struct {
	io.Reader
	s *stream
}

func (n *activityReader) Read(p []byte) (int, error) {
	k, err := n.Reader.Read(p)
	if k > 0 {
		n.s.receivedAt.Store(int64(n.s.clock()))
	}
	return k, err
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	count *traffic
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.sent.Add(int64(n))
	return n, err
}

// messageQueue are what the follower says: the request's body. Saying never waits: a
// publisher that takes nothing holds up nobody here.
type messageQueue struct {
	mu       sync.Mutex
	notEmpty sync.Cond
	queue    [][]byte // the first may have gone in part
	finished bool     // the body ends behind what is queued
	closed   bool
}

func (w *messageQueue) send(word *protocol.FollowerMessage) {
	var b bytes.Buffer
	if err := protocol.NewWriter(&b).Write(word); err != nil {
		return // the word is ours: it cannot be too long
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueuedMessages {
		w.queue = append(w.queue[:1], w.queue[2:]...)
	}
	w.queue = append(w.queue, b.Bytes())
	w.notEmpty.Broadcast()
}

func (w *messageQueue) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finished = true
	w.notEmpty.Broadcast()
}

// Read is called by the transport.
func (w *messageQueue) Read(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == 0 && !w.finished && !w.closed {
		w.notEmpty.Wait()
	}
	switch {
	case w.closed:
		return 0, net.ErrClosed
	case len(w.queue) == 0:
		return 0, io.EOF
	}
	n := copy(p, w.queue[0])
	if w.queue[0] = w.queue[0][n:]; len(w.queue[0]) == 0 {
		w.queue = w.queue[1:]
	}
	return n, nil
}

// Close is called by the transport, and at the end.
func (w *messageQueue) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.notEmpty.Broadcast()
	return nil
}
