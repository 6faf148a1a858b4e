package rig

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const exchangeTimeout = 40 * time.Second

// Var is a variable of a uwsgi request.
type Var struct{ Name, Value string }

// Reply is the answer to a uwsgi request. Status is 0 if there was none.
type Reply struct {
	Status int
	Body   string
	Err    error
	Took   time.Duration
}

// Ask sends one request to a uwsgi front end, as a web tier does, and reads the answer.
func Ask(address string, vars []Var, body string) Reply {
	began := time.Now()
	r, err := ask(address, vars, body)
	r.Err, r.Took = err, time.Since(began)
	return r
}

func ask(address string, vars []Var, body string) (Reply, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return Reply{}, err
	}
	defer conn.Close()                                //nolint:errcheck // the answer is read
	conn.SetDeadline(time.Now().Add(exchangeTimeout)) //nolint:errcheck // supported by TCP connections
	if _, err := conn.Write(packet(vars, body)); err != nil {
		return Reply{}, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return Reply{}, err
	}
	text, err := io.ReadAll(response.Body)
	return Reply{Status: response.StatusCode, Body: string(text)}, err
}

// packet returns a whole uwsgi request.
func packet(vars []Var, body string) []byte {
	var raw []byte
	vars = append([]Var{{"REQUEST_METHOD", "POST"}, {"CONTENT_LENGTH", strconv.Itoa(len(body))}}, vars...)
	for _, v := range vars {
		for _, text := range []string{v.Name, v.Value} {
			raw = binary.LittleEndian.AppendUint16(raw, uint16(len(text)))
			raw = append(raw, text...)
		}
	}
	b := binary.LittleEndian.AppendUint16([]byte{0}, uint16(len(raw)))
	b = append(append(b, 0), raw...)
	return append(b, body...)
}

// ReadRequest reads the uwsgi request that a backend is sent.
func ReadRequest(conn io.Reader) (vars map[string]string, body string, err error) {
	in := bufio.NewReader(conn)
	head := make([]byte, 4)
	if _, err := io.ReadFull(in, head); err != nil {
		return nil, "", err
	}
	raw := make([]byte, binary.LittleEndian.Uint16(head[1:]))
	if _, err := io.ReadFull(in, raw); err != nil {
		return nil, "", err
	}
	var texts []string
	for len(raw) > 0 {
		n := 0
		if len(raw) >= 2 {
			n = int(binary.LittleEndian.Uint16(raw))
		}
		if len(raw) < 2+n {
			return nil, "", fmt.Errorf("a variable is cut short")
		}
		texts, raw = append(texts, string(raw[2:2+n])), raw[2+n:]
	}
	vars = map[string]string{}
	for i := 0; i+1 < len(texts); i += 2 {
		vars[texts[i]] = texts[i+1]
	}
	size, err := strconv.Atoi(vars["CONTENT_LENGTH"])
	if err != nil {
		return nil, "", err
	}
	text := make([]byte, size)
	_, err = io.ReadFull(in, text)
	return vars, string(text), err
}
