package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"kiteslip/internal/uwsgi"
)

// uwsgiCaller is a caller of one place on the uwsgi front end: one connection for each
// request.
type uwsgiCaller struct {
	place *place
	rng   *rand.Rand
	id    string
	sent  int
}

// run sends until the load ends.
func (c *uwsgiCaller) run() {
	for !c.place.game.stopping.Load() {
		c.exchange()
		time.Sleep(minTick + time.Duration(c.rng.Int64N(int64(tickSpread))))
	}
}

// exchange sends one request and waits for its answer.
func (c *uwsgiCaller) exchange() {
	conn, err := net.DialTimeout("tcp", c.place.uwsgiAddress, time.Second)
	if err != nil {
		c.place.game.counts.refusedConnections.Add(1)
		return
	}
	defer conn.Close()
	c.sent++
	name := fmt.Sprintf("%s-%d", c.id, c.sent)
	r := &request{place: c.place, front: "uwsgi", class: classRepeatable, timeout: classTimeout, body: fmt.Sprintf("%d uwsgi %s", 1000+c.rng.IntN(maxWork), name)}
	if c.rng.IntN(4) == 0 {
		r.class, r.key, r.body = classKeyed, name, fmt.Sprintf("%d*1 uwsgi %s", 500+c.rng.IntN(maxKeyedWork), name)
	}
	variables := []uwsgi.Var{{Name: uwsgi.VarLength, Value: strconv.Itoa(len(r.body))}, {Name: uwsgi.VarClass, Value: r.class}, {Name: uwsgi.VarTenant, Value: "red"},
		{Name: uwsgi.VarTimeout, Value: strconv.FormatInt(r.timeout.Milliseconds(), 10)}}
	if r.key != "" {
		variables = append(variables, uwsgi.Var{Name: uwsgi.VarKey, Value: r.key})
	}
	packet, err := uwsgi.AppendRequest(nil, variables)
	if err != nil {
		c.place.game.violate("rig", err.Error())
		return
	}
	r.sent = time.Now()
	c.place.game.history.addRequest(r)
	conn.SetDeadline(r.sent.Add(drainWait)) //nolint:errcheck // supported by TCP connections
	conn.Write(append(packet, r.body...))   //nolint:errcheck // a failure shows when reading
	a, err := readUWSGI(conn)
	if err != nil {
		c.place.game.history.update(func() { r.connEnded, r.connError = time.Now(), err })
		return
	}
	c.place.game.history.addAnswer(r, a)
}

// readUWSGI reads the response.
func readUWSGI(conn net.Conn) (answer, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, err
	}
	a := answer{at: time.Now(), outcome: failed, body: string(body)}
	switch response.StatusCode {
	case http.StatusOK:
		a.outcome = served
	case http.StatusServiceUnavailable:
		a.outcome = refused
	}
	return a, nil
}
