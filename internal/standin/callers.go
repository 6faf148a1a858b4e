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

// waitTimeout bounds every wait of a stand-in. It is far longer than any answer
// takes, so that a missing one fails the test instead of blocking it.
const waitTimeout = 20 * time.Second

// Backend is a stand-in for a uwsgi server. Its work function decides how each
// request ends: Work.Outcome "error" answers 500, "break" closes the connection after
// a part of the response, "close" before any of it.
type Backend struct {
	Address    string
	mu         sync.Mutex
	runsByBody map[string]int
}

// NewBackend starts a uwsgi server on a free loopback address.
func NewBackend(t testing.TB, work func(body string) Work) *Backend {
	b := &Backend{runsByBody: map[string]int{}}
	b.Address, _ = listen(t, func(c net.Conn) {
		defer c.Close()
		content, err := box.ReadUWSGIRequest(c)
		if err != nil {
			return
		}
		body := string(content)
		b.mu.Lock()
		b.runsByBody[body]++
		b.mu.Unlock()
		run := work(body)
		time.Sleep(run.Duration)
		switch run.Outcome {
		case "error":
			fmt.Fprint(c, "HTTP/1.1 500 Oops\r\n\r\n")
		case "break":
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\npart")
		case "close":
		default:
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(run.Result), run.Result)
		}
	})
	return b
}

// Runs returns the number of runs of each body.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runsByBody)
}

// Reply is an answer as a caller received it from either front end.
type Reply struct {
	Stream uint32
	Type   byte
	Code   byte // frame front end only
	Status int  // uwsgi front end only
	Fields map[string]string
	Body   string
	At     time.Time
}

// Caller is a caller's connection to the frame front end.
type Caller struct {
	t       testing.TB
	Conn    net.Conn
	Replies chan Reply // closed when the connection ends
}

// Dial connects to the frame front end at address.
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

// Next returns the next frame from the server, or false if the connection has ended.
func (c *Caller) Next() (Reply, bool) {
	select {
	case r, ok := <-c.Replies:
		return r, ok
	case <-time.After(waitTimeout):
		c.t.Errorf("neither a frame nor the end of the connection within %v", waitTimeout)
		return Reply{}, false
	}
}

// Fields returns the header fields of a request that reaches the machine now.
func Fields(class, tenant, key string, tryID uint64, timeout time.Duration) []frame.Field {
	f := []frame.Field{
		{Name: "kind", Value: class}, {Name: "owner", Value: tenant},
		{Name: "req", Value: fmt.Sprintf("%016x", tryID)}, {Name: "via", Value: "1"},
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

// Write writes raw bytes. Errors are ignored: a closed connection shows in Replies.
func (c *Caller) Write(b []byte) { c.Conn.Write(b) } //nolint:errcheck // see above

// UWSGIVars returns the variables of such a request on the uwsgi front end.
func UWSGIVars(class, tenant, key string, timeout time.Duration) []uwsgi.Var {
	v := []uwsgi.Var{{Name: uwsgi.VarClass, Value: class}, {Name: uwsgi.VarTenant, Value: tenant},
		{Name: uwsgi.VarTimeout, Value: strconv.FormatInt(timeout.Milliseconds(), 10)}}
	if key != "" {
		v = append(v, uwsgi.Var{Name: uwsgi.VarKey, Value: key})
	}
	return v
}

// UWSGIRequest returns a complete uwsgi request.
func UWSGIRequest(t testing.TB, vars []uwsgi.Var, body string) []byte {
	t.Helper()
	vars = append([]uwsgi.Var{{Name: uwsgi.VarLength, Value: strconv.Itoa(len(body))}}, vars...)
	b, err := uwsgi.AppendRequest(nil, vars)
	if err != nil {
		t.Fatal(err)
	}
	return append(b, body...)
}

// UWSGIExchange sends packet to a uwsgi front end and reads the whole response. Status is 0
// if there was none; Body then has the error.
func UWSGIExchange(address string, packet []byte) Reply {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return Reply{Body: err.Error()}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitTimeout)) //nolint:errcheck // supported by TCP connections
	conn.Write(packet)                            //nolint:errcheck // an early answer may close the connection
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

// AdminCommand sends one command to the admin endpoint, in several writes if it is given in
// pieces, and returns the whole answer.
func AdminCommand(t testing.TB, address string, command ...string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second)) //nolint:errcheck // supported by TCP connections
	for _, piece := range command[:len(command)-1] {
		io.WriteString(conn, piece) //nolint:errcheck // a missing answer fails the test
		time.Sleep(time.Millisecond)
	}
	fmt.Fprintf(conn, "%s\n", command[len(command)-1])
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Errorf("%s: no answer within 1 s: %v", command, err)
	}
	return string(answer)
}

// NewRegistry starts a registry and returns its address and the reports that it
// receives.
func NewRegistry(t testing.TB) (string, <-chan string) {
	t.Helper()
	address, reports, _ := NewRegistryAt(t, "127.0.0.1:0")
	return address, reports
}

// NewRegistryAt is NewRegistry at a given address; stop closes the registry.
func NewRegistryAt(t testing.TB, listen string) (address string, received <-chan string, stop func()) {
	t.Helper()
	conn, err := net.ListenPacket("udp", listen)
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
