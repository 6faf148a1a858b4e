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
	responseTimeout    = time.Second            // for a publisher to accept the stream
	lastAckTimeout     = 250 * time.Millisecond // for the last acknowledgement to be sent
	receiveBufferBytes = 64 << 10               // received and not read, in the transport
	maxFrameBytes      = 16 << 10
	maxQueuedMessages  = 64  // to be sent; then the oldest is dropped for the newest
	maxRefusalBytes    = 256 // of a publisher's refusal that are logged
)

// traffic counts the bytes of all streams, HTTP/2's own included.
type traffic struct{ sent, received atomic.Int64 }

// stream is one request to a publisher that stays open. It has a connection of its
// own, which ends with it, so that one that has timed out is never used again.
type stream struct {
	publisher int // its index in Settings.Publishers
	messages  chan protocol.PublisherMessage
	outgoing  messageQueue
	cancel    context.CancelFunc
	ended     chan struct{} // closed when all its goroutines have ended
	err       error         // why it ended; to be read once ended is closed

	clock           func() time.Duration
	openedAt        time.Duration
	responseTimeout time.Duration // for the publisher to accept the stream
	handledAt       time.Duration // when the owner had handled the last message; the owner's
	receivedAt      atomic.Int64  // when bytes last arrived, by clock; 0 = never
	established     bool          // a message has arrived; the owner's
	refusalSent     bool          // the current refusal was sent on it; the owner's

	ahead int // heartbeats in a row that announce a version which does not arrive; the owner's

	mu     sync.Mutex
	conn   net.Conn
	closed bool
}

// openStream opens a stream in the background.
func openStream(publisher int, address string, hello *protocol.Hello, count *traffic, clock func() time.Duration, responseTimeout time.Duration) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	s := &stream{publisher: publisher, messages: make(chan protocol.PublisherMessage), ended: make(chan struct{}), clock: clock, openedAt: clock(), responseTimeout: responseTimeout}
	s.cancel = func() {
		cancel()
		s.outgoing.Close() //nolint:errcheck // it returns none; the transport waits in Read for our messages, even if the request has ended,
		s.closeConn()      // or in a write to a publisher that does not read
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

// run opens the stream and passes on messages one at a time: a slow owner slows down
// the publisher, and nothing piles up here.
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
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	s.receivedAt.Store(int64(s.clock()))
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
		return fmt.Errorf("the publisher answers %s: %.*q", response.Status, maxRefusalBytes, body)
	}
	from := protocol.NewReader(&activityReader{response.Body, s})
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

// setConn records the stream's connection, and returns false if the stream has ended
// meanwhile.
func (s *stream) setConn(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn = c; s.closed {
		c.Close()
	}
	return !s.closed
}

// closeConn closes the connection, or the one that is being dialed.
func (s *stream) closeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed = true; s.conn != nil {
		s.conn.Close()
	}
}

// timeoutAt is when the stream times out unless something arrives before.
func (s *stream) timeoutAt() time.Duration {
	if at := s.receivedAt.Load(); at != 0 {
		return max(time.Duration(at), s.handledAt) + protocol.PublisherTimeout // the owner's handling time does not count
	}
	return s.openedAt + s.responseTimeout
}

// end ends the stream, after a last acknowledgement if there is one, and returns
// when all its goroutines have ended.
func (s *stream) end(ack *protocol.Ack) {
	if ack != nil {
		s.outgoing.send(&protocol.FollowerMessage{Ack: ack})
		s.outgoing.finish()
		timeout := time.NewTimer(lastAckTimeout)
		defer timeout.Stop()
		for waiting := true; waiting; {
			select {
			case <-s.messages: // discarded
			case <-s.ended:
				waiting = false
			case <-timeout.C:
				waiting = false
			}
		}
	}
	s.cancel()
	<-s.ended
}

// reason is why the stream ended, for the log.
func (s *stream) reason() string {
	switch {
	case errors.Is(s.err, io.EOF):
		return "the publisher ended the stream"
	case s.err == nil:
		return "ended"
	}
	return s.err.Error()
}

// activityReader records when bytes arrive, so that the transfer of a large message
// does not time out.
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

// messageQueue holds the follower's messages and is the request's body. Sending
// never blocks: a publisher that does not read delays nothing here.
type messageQueue struct {
	mu       sync.Mutex
	notEmpty sync.Cond
	queue    [][]byte // the first may have been sent in part
	finished bool     // the body ends after the queued messages
	closed   bool
}

// send queues a message; if the queue is full, the oldest one that has not been
// started is dropped.
func (w *messageQueue) send(message *protocol.FollowerMessage) {
	var b bytes.Buffer
	if err := protocol.NewWriter(&b).Write(message); err != nil {
		return // our own messages are never too long
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueuedMessages {
		w.queue = append(w.queue[:1], w.queue[2:]...)
	}
	w.queue = append(w.queue, b.Bytes())
	w.notEmpty.Broadcast()
}

// finish ends the body after the queued messages.
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

// Close is called by the transport, and when the stream ends.
func (w *messageQueue) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.notEmpty.Broadcast()
	return nil
}
