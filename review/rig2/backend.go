package rig2

import (
	"io"
	"net"
	"net/http"
	"strconv"

	"kiteslip/internal/uwsgi"
)

// backend is a stand-in for a uwsgi server that does a service's work.
type backend struct {
	address string
	work    func(body string) (result string)
}

// newBackend starts a backend.
func (r *rig) newBackend(work func(body string) string) *backend {
	l := r.listen()
	b := &backend{address: l.Addr().String(), work: work}
	r.mu.Lock()
	r.closers = append(r.closers, l)
	r.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

// serve answers one request.
func (b *backend) serve(c net.Conn) {
	defer c.Close()
	var in []byte
	var vars uwsgi.Vars
	size, used := -1, 0
	for size < 0 || len(in)-used < size {
		p := make([]byte, 4096)
		n, err := c.Read(p)
		if err != nil {
			return
		}
		in = append(in, p[:n]...)
		if vars, used, err = uwsgi.Split(in); err != nil {
			return
		}
		if used == 0 {
			continue
		}
		for name, value := range vars.All() {
			if string(name) == uwsgi.VarLength {
				size, _ = strconv.Atoi(string(value))
			}
		}
	}
	result := b.work(string(in[used : used+size]))
	io.WriteString(c, string(uwsgi.AppendResponse(nil, http.StatusOK, 0, len(result)))+result) //nolint:errcheck // the server has gone
}
