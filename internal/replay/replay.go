// Package replay feeds the requests of a capture through a front's parser and
// the core, on the clock of the capture: a look at what the module would do
// with that traffic. No work is done and nothing is sent. A run takes the time
// that its request states, as if it had a core to itself.
package replay

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"time"

	"kiteslip"
	"kiteslip/internal/config"
	"kiteslip/internal/core"
	"kiteslip/internal/frame"
	"kiteslip/internal/pcap"
	"kiteslip/internal/uwsgi"
)

// unstated is the length of a run whose request states none, in microseconds.
const unstated = 1_000

// Options say how a capture is to be read.
type Options struct {
	Port   uint16    // of the server in the capture
	UWSGI  bool      // its connections speak uwsgi, not frames
	Output io.Writer // takes the traffic, with the answers given here, as a capture; nil = nowhere
}

// Report says what became of the requests.
type Report struct {
	core.Counts
	Connections    int
	Malformed      int // requests or connections that cannot be read
	Unfinished     int // connections that end within a request
	MissingPackets int // connections of which packets are missing
}

// line is one connection of the capture.
type line struct {
	*player
	buf  []byte
	dead bool // nothing more of it can be read
	conn *pcap.Conn
}

// run is the end of a run that is due.
type run struct {
	at int64
	r  *core.Request
}

// player is a replay under way.
type player struct {
	cfg    *config.Config
	opt    Options
	core   *core.Core
	names  frame.NameIndex
	book   uwsgi.ContractTable
	now    int64
	runs   []run
	out    *pcap.Writer
	report Report
	webID  int
	err    error // of writing
}

// Run replays the streams that lead to the port.
func Run(streams []*pcap.Stream, cfg *config.Config, opt Options) (Report, error) {
	p := &player{cfg: cfg, opt: opt}
	p.names = frame.NameIndex{Classes: places(cfg.Classes), Tenants: places(cfg.Tenants)}
	for i := range cfg.Policy.Classes {
		p.names.Keyed = append(p.names.Keyed, cfg.Policy.Classes[i].Effect == kiteslip.Keyed)
	}
	p.book = uwsgi.ContractTable{Classes: p.names.Classes, Tenants: p.names.Tenants, Contracts: cfg.UWSGI.Contracts}
	var err error
	if p.core, err = core.New(core.Settings{Policy: cfg.Policy, Seed: cfg.Seed}, p); err != nil {
		return Report{}, err
	}
	if opt.Output != nil {
		if p.out, err = pcap.NewWriter(opt.Output); err != nil {
			return Report{}, err
		}
	}
	type piece struct {
		at   int64
		l    *line
		data []byte
	}
	var pieces []piece
	for _, s := range streams {
		if s.To.Port() != opt.Port {
			continue
		}
		l := &line{player: p}
		p.report.Connections++
		if s.MissingPackets {
			p.report.MissingPackets++
		}
		for i, c := range s.Chunks {
			at := c.At.UnixMicro()
			if i == 0 && p.out != nil {
				if l.conn, err = p.out.Open(c.At, ends(s.From), ends(s.To)); err != nil {
					return Report{}, err
				}
			}
			pieces = append(pieces, piece{at, l, c.Data})
		}
	}
	if p.report.Connections == 0 {
		return Report{}, fmt.Errorf("replay: no connection leads to port %d", opt.Port)
	}
	slices.SortStableFunc(pieces, func(a, b piece) int { return cmp.Compare(a.at, b.at) })
	lines := map[*line]bool{}
	for i, piece := range pieces {
		if i == 0 {
			p.now = piece.at
			p.core.Step(p.now)
		}
		p.pass(piece.at)
		piece.l.feed(piece.data)
		lines[piece.l] = true
		if i+1 == len(pieces) || pieces[i+1].at > piece.at {
			p.core.Step(p.now)
		}
	}
	for p.core.Outstanding() > 0 || len(p.runs) > 0 {
		p.pass(p.now + 100_000)
	}
	for l := range lines {
		if len(l.buf) > 0 && !l.dead {
			p.report.Unfinished++
		}
	}
	p.report.Counts = p.core.Counts()
	return p.report, p.err
}

func places(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

func ends(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Run starts a run: all that is done is to note when it would end.
func (p *player) Run(r *core.Request) {
	p.runs = append(p.runs, run{p.now + max(r.ExpectedWork, unstated), r})
}

// pass lets the time go on to the end, with all that falls due on the way.
func (p *player) pass(end int64) {
	for {
		next := end
		if at := p.core.NextStep(); at != 0 {
			next = min(next, max(at, p.now))
		}
		for _, run := range p.runs {
			next = min(next, run.at)
		}
		if next >= end {
			p.now = max(p.now, end)
			return
		}
		p.now = max(next, p.now)
		kept := p.runs[:0]
		var over []run
		for _, run := range p.runs {
			if run.at <= p.now {
				over = append(over, run)
			} else {
				kept = append(kept, run)
			}
		}
		p.runs = kept
		for _, run := range over {
			p.core.Done(run.r, kiteslip.OK, max(run.r.ExpectedWork, unstated), nil)
		}
		p.core.Step(p.now)
	}
}

func (l *line) feed(data []byte) {
	l.write(false, data)
	if l.dead {
		return
	}
	l.buf = append(l.buf, data...)
	if l.opt.UWSGI {
		l.web()
	} else {
		l.frames()
	}
}

func (l *line) malformed() {
	l.report.Malformed++
}

// frames takes in the whole frames that have come.
func (l *line) frames() {
	for {
		f, n, err := frame.Split(l.buf)
		if err != nil {
			l.malformed()
			l.dead = true
			return
		}
		if n == 0 {
			return
		}
		if f.Type == frame.Request {
			r, err := frame.ParseRequest(f.Payload, &l.names)
			if err == nil {
				r.Stream, r.ReplyTo = f.Stream, l
				err = l.core.Submit(l.now, r)
			}
			if err != nil {
				l.malformed()
			}
		}
		l.buf = l.buf[n:]
	}
}

// web takes in the request of a uwsgi connection once it is whole.
func (l *line) web() {
	vars, n, err := uwsgi.Split(l.buf)
	if err == nil && n == 0 {
		return
	}
	var r *core.Request
	length := 0
	if err == nil {
		var problem *uwsgi.RequestError
		if r, length, problem = uwsgi.ParseRequest(vars, &l.book, l.now); problem != nil {
			err = problem
		}
	}
	if err == nil && len(l.buf) < n+length {
		return
	}
	if err == nil {
		l.webID++
		r.TryID = fmt.Sprintf("w%015x", l.webID)
		r.Body, r.Stream, r.ReplyTo = slices.Clone(l.buf[n:n+length]), 1, l
		err = l.core.Submit(l.now, r)
	}
	l.dead = true
	if err != nil {
		l.malformed()
	}
}

// Answer takes an answer of the core and writes it as the front would.
func (l *line) Answer(stream uint32, a core.Answer) {
	if l.out == nil {
		return
	}
	if l.opt.UWSGI {
		status, retryAfter := uwsgi.Status(&a)
		l.write(true, append(uwsgi.AppendResponse(nil, status, retryAfter, len(a.Result)), a.Result...))
		return
	}
	code, fields, body := frame.EncodeAnswer(&a)
	l.write(true, append(frame.AppendAnswer(nil, frame.Answer, stream, code, fields, len(body)), body...))
}

func (l *line) write(byServer bool, data []byte) {
	if l.conn != nil {
		l.err = errors.Join(l.err, l.conn.Send(time.UnixMicro(l.now), byServer, data))
	}
}
