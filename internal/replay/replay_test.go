package replay

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"kiteslip/internal/config"
	"kiteslip/internal/frame"
	"kiteslip/internal/pcap"
	"kiteslip/internal/uwsgi"
)

const operator = `
[machine]
cores = 2
listen = "127.0.0.1:8443"
engine = "127.0.0.1:9300"
[[team]]
name = "red"
requests_per_s = 100
[[service]]
name = "all"
[[service.contract]]
class = "look"
effect = "repeatable"
deadline_ms = 1000
[[service.contract]]
class = "note"
effect = "keyed"
deadline_ms = 1000
window_ms = 3000
`

var (
	captureStart = time.UnixMilli(1_764_576_000_000)
	server       = netip.MustParseAddrPort("127.0.0.1:8443")
)

// writeAndRead returns the streams of a capture with a connection for each list of
// segments, which are ten milliseconds apart.
func writeAndRead(t *testing.T, conns ...[][]byte) []*pcap.Stream {
	t.Helper()
	var file bytes.Buffer
	w, err := pcap.NewWriter(&file)
	if err != nil {
		t.Fatal(err)
	}
	for i, segments := range conns {
		c, err := w.Open(captureStart, netip.AddrPortFrom(server.Addr(), uint16(40000+i)), server)
		if err != nil {
			t.Fatal(err)
		}
		for j, segment := range segments {
			if err := c.Send(captureStart.Add(time.Duration(j)*10*time.Millisecond), false, segment); err != nil {
				t.Fatal(err)
			}
		}
	}
	return read(t, file.Bytes())
}

func read(t *testing.T, file []byte) []*pcap.Stream {
	t.Helper()
	streams, err := pcap.Read(bytes.NewReader(file))
	if err != nil {
		t.Fatal(err)
	}
	return streams
}

// request returns the frame of a request that is sent ms milliseconds after captureStart.
func request(stream uint32, class, key string, ms, timeout, work int) []byte {
	fields := []frame.Field{{Name: "kind", Value: class}, {Name: "owner", Value: "red"}, {Name: "req", Value: fmt.Sprintf("%016x", stream)},
		{Name: "ts", Value: fmt.Sprint(captureStart.UnixMilli() + int64(ms))}, {Name: "timeout", Value: fmt.Sprint(timeout)},
		{Name: "ms", Value: fmt.Sprint(work)}, {Name: "need", Value: "16"}}
	if key != "" {
		fields = append(fields, frame.Field{Name: "opkey", Value: key})
	}
	return frame.AppendRequest(nil, stream, fields, []byte("body"))
}

func loadSettings(t *testing.T) *config.Config {
	t.Helper()
	cfg, err := config.ParseOperator(operator, nil)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func TestFrames(t *testing.T) {
	first := request(1, "look", "", 0, 900, 50)
	streams := writeAndRead(t, [][]byte{
		first[:9], append(first[9:], request(2, "look", "", 10, 0, 50)...), // split within a frame; the second has no time left
		request(3, "note", "k", 20, 900, 50), request(4, "note", "k", 30, 900, 50), // run once, and its duplicate
		request(5, "nil", "", 40, 900, 50), request(6, "look", "", 50, 200, 5000), // malformed; longer than its timeout
		first[:20], // unfinished
	})
	var out bytes.Buffer
	r, err := Run(streams, loadSettings(t), Options{Port: 8443, Output: &out})
	if err != nil {
		t.Fatal(err)
	}
	if r.Received != 5 || r.Served != 3 || r.Refused != 1 || r.Failed != 1 || r.Malformed != 1 || r.Unfinished != 1 || r.Connections != 1 {
		t.Errorf("%+v", r)
	}
	// The output has the same requests and one answer for each.
	codes := map[uint32]byte{}
	for _, s := range read(t, out.Bytes()) {
		for b := s.Bytes(); s.From == server; {
			f, n, err := frame.Split(b)
			if err != nil || n == 0 {
				break
			}
			codes[f.Stream] = f.Payload[0]
			b = b[n:]
		}
	}
	want := map[uint32]byte{1: frame.Served, 2: frame.Refused, 3: frame.Served, 4: frame.Served, 6: frame.Failed}
	if fmt.Sprint(codes) != fmt.Sprint(want) {
		t.Errorf("answers %v, want %v", codes, want)
	}
	again, err := Run(read(t, out.Bytes()), loadSettings(t), Options{Port: 8443})
	if err != nil || again != r {
		t.Errorf("the replay of the output gives %+v, %v, want %+v", again, err, r)
	}
}

// A uwsgi connection has one request, which is counted once however it is split.
func TestUWSGI(t *testing.T) {
	packet := func(class, key, body string) []byte {
		vars := []uwsgi.Var{{Name: uwsgi.VarClass, Value: class}, {Name: uwsgi.VarLength, Value: fmt.Sprint(len(body))}}
		if key != "" {
			vars = append(vars, uwsgi.Var{Name: uwsgi.VarKey, Value: key})
		}
		b, err := uwsgi.AppendRequest(nil, vars)
		if err != nil {
			t.Fatal(err)
		}
		return append(b, body...)
	}
	p := packet("note", "k", strings.Repeat("x", 2000))
	streams := writeAndRead(t, [][]byte{p[:30], p[30:1900], p[1900:]}, [][]byte{p}, [][]byte{p[:50]},
		[][]byte{packet("nil", "", "")}, [][]byte{packet("look", "", strings.Repeat("x", 2049))}, [][]byte{packet("look", "", "")})
	var out bytes.Buffer
	r, err := Run(streams, loadSettings(t), Options{Port: 8443, UWSGI: true, Output: &out})
	if err != nil {
		t.Fatal(err)
	}
	if r.Received != 3 || r.Served != 3 || r.Malformed != 2 || r.Unfinished != 1 || r.Connections != 6 {
		t.Errorf("%+v", r)
	}
	if n := bytes.Count(out.Bytes(), []byte("HTTP/1.1 200 OK")); n != 3 {
		t.Errorf("%d answers in the output, want 3", n)
	}
}

// A port that no connection leads to is an error that names it, not an empty report.
func TestOtherPort(t *testing.T) {
	if _, err := Run(writeAndRead(t, [][]byte{[]byte("x")}), loadSettings(t), Options{Port: 1}); err == nil || !strings.Contains(err.Error(), "port 1") {
		t.Errorf("%v", err)
	}
}
