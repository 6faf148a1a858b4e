package standin

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"kiteslip/internal/frame"
	"kiteslip/internal/standin/box"
	"kiteslip/internal/uwsgi"
)

// patience bounds every wait of a stand-in: far longer than any answer takes,
// so that a missing one fails the test and does not hang it.
const patience = 20 * time.Second

// Backend stands in for a uwsgi server. It runs each request as work says; the
// end "error" answers 500, "break" closes after a part of the response, "close"
// before any.
type Backend struct {
	Address string
	mu      sync.Mutex
	bodies  map[string]int
}

// NewBackend starts a uwsgi server.
func NewBackend(t testing.TB, work func(body string) Work) *Backend {
	b := &Backend{bodies: map[string]int{}}
	b.Address, _ = listen(t, func(c net.Conn) {
		defer c.Close()
		read, err := box.ReadCall(c)
		if err != nil {
			return
		}
		body := string(read)
		b.mu.Lock()
		b.bodies[body]++
		b.mu.Unlock()
		w := work(body)
		time.Sleep(w.For)
		switch w.End {
		case "error":
			fmt.Fprint(c, "HTTP/1.1 500 Oops\r\n\r\n")
		case "break":
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\npart")
		case "close":
		default:
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(w.Result), w.Result)
		}
	})
	return b
}

// Runs returns how often each body was run.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.bodies)
}

// Reply is an answer as a caller saw it, in the terms that both fronts share.
type Reply struct {
	Stream uint32
	Type   byte
	Code   byte // of the frame front
	Status int  // of the uwsgi front
	Fields map[string]string
	Body   string
	At     time.Time
}

// Caller is one connection on the platform's protocol.
type Caller struct {
	t       testing.TB
	Conn    net.Conn
	Replies chan Reply // closed with the connection
}

// Dial opens a caller's connection.
func Dial(t testing.TB, address string) *Caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	c := &Caller{t: t, Conn: conn, Replies: make(chan Reply, 4096)}
	go c.read()
	return c
}

func (c *Caller) read() {
	defer close(c.Replies)
	var buf []byte
	chunk := make([]byte, 64<<10)
	for {
		n, err := c.Conn.Read(chunk)
		buf = append(buf, chunk[:n]...)
		for {
			f, used, bad := frame.Split(buf)
			if bad != nil || used == 0 {
				break
			}
			r := Reply{Stream: f.Stream, Type: f.Type, At: time.Now(), Fields: map[string]string{}}
			if len(f.Payload) > 0 {
				r.Code = f.Payload[0]
				if fields, body, err := frame.ParseFields(f.Payload[1:]); err == nil {
					for name, value := range fields.All {
						r.Fields[string(name)] = string(value)
					}
					r.Body = string(body)
				}
			}
			buf = buf[used:]
			c.Replies <- r
		}
		if err != nil {
			return
		}
	}
}

// Next returns the next frame from the server, or false when the connection ended.
func (c *Caller) Next() (Reply, bool) {
	select {
	case r, ok := <-c.Replies:
		return r, ok
	case <-time.After(patience):
		c.t.Errorf("no frame and no end of the connection within %v", patience)
		return Reply{}, false
	}
}

// Fields are those of a request that comes to the machine now.
func Fields(class, tenant, key string, name uint64, timeout time.Duration) []frame.Field {
	f := []frame.Field{
		{Name: "kind", Value: class}, {Name: "owner", Value: tenant},
		{Name: "req", Value: fmt.Sprintf("%016x", name)}, {Name: "via", Value: "1"},
		{Name: "ts", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)},
		{Name: "timeout", Value: strconv.FormatInt(timeout.Milliseconds(), 10)},
		{Name: "ms", Value: "10.0"}, {Name: "need", Value: "16"}, {Name: "level", Value: "0.5"},
	}
	if key != "" {
		f = append(f, frame.Field{Name: "opkey", Value: key})
	}
	return f
}

// Send writes a request.
func (c *Caller) Send(stream uint32, fields []frame.Field, body string) {
	c.Write(frame.AppendRequest(nil, stream, fields, []byte(body)))
}

// Write writes bytes as they are; a closed connection shows in the replies.
func (c *Caller) Write(b []byte) { c.Conn.Write(b) } //nolint:errcheck // see above

// Vars are those of the same request on the uwsgi front.
func Vars(class, tenant, key string, timeout time.Duration) []uwsgi.Var {
	v := []uwsgi.Var{{Name: uwsgi.VarClass, Value: class}, {Name: uwsgi.VarTenant, Value: tenant},
		{Name: uwsgi.VarTimeout, Value: strconv.FormatInt(timeout.Milliseconds(), 10)}}
	if key != "" {
		v = append(v, uwsgi.Var{Name: uwsgi.VarKey, Value: key})
	}
	return v
}

// Packet is a whole uwsgi request.
func Packet(t testing.TB, vars []uwsgi.Var, body string) []byte {
	t.Helper()
	vars = append([]uwsgi.Var{{Name: uwsgi.VarLength, Value: strconv.Itoa(len(body))}}, vars...)
	b, err := uwsgi.AppendRequest(nil, vars)
	if err != nil {
		t.Fatal(err)
	}
	return append(b, body...)
}

// Post sends bytes to a uwsgi front and reads the response to its end. A
// status of 0 says that none came.
func Post(address string, packet []byte) Reply {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return Reply{Body: err.Error()}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience)) //nolint:errcheck // a TCP connection takes it
	conn.Write(packet)                         //nolint:errcheck // an early answer may close the connection
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return Reply{Body: err.Error()}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{Body: err.Error()}
	}
	r := Reply{Status: response.StatusCode, Body: string(body), At: time.Now(), Fields: map[string]string{}}
	for name, values := range response.Header {
		r.Fields[strings.ToLower(name)] = values[0]
	}
	return r
}

// Ask makes one call at the operators' door, in pieces if there are several,
// and returns the whole answer.
func Ask(t testing.TB, address string, call ...string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second)) //nolint:errcheck // a TCP connection takes it
	for _, piece := range call[:len(call)-1] {
		io.WriteString(conn, piece) //nolint:errcheck // a missing answer shows
		time.Sleep(time.Millisecond)
	}
	fmt.Fprintf(conn, "%s\n", call[len(call)-1])
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Errorf("%s: no answer within a second: %v", call, err)
	}
	return string(answer)
}

// NewRegistry returns the address of a registry and the reports that reach it.
func NewRegistry(t testing.TB) (string, <-chan string) {
	t.Helper()
	address, reports, _ := NewRegistryAt(t, "127.0.0.1:0")
	return address, reports
}

// NewRegistryAt is NewRegistry at an address, with what takes it down.
func NewRegistryAt(t testing.TB, at string) (address string, got <-chan string, down func()) {
	t.Helper()
	conn, err := net.ListenPacket("udp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	reports := make(chan string, 64)
	go func() {
		buf := make([]byte, 256)
		for {
			n, _, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			select {
			case reports <- string(buf[:n]):
			default:
			}
		}
	}()
	return conn.LocalAddr().String(), reports, func() { conn.Close() }
}
