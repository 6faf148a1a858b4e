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

// defaultRunUS is the length of a run whose request states none, in microseconds.
const defaultRunUS = 1_000

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

// connection is one connection of the capture.
type connection struct {
	*replayer
	buf    []byte
	closed bool // nothing more of it can be read
	conn   *pcap.Conn
}

// run is the end of a run that is due.
type run struct {
	end     int64
	request *core.Request
}

// replayer is a replay under way.
type replayer struct {
	cfg         *config.Config
	opt         Options
	core        *core.Core
	names       frame.NameIndex
	contracts   uwsgi.ContractTable
	now         int64
	runs        []run
	writer      *pcap.Writer
	report      Report
	lastUWSGIID int
	err         error // of writing
}

// Run replays the streams that lead to the port.
func Run(streams []*pcap.Stream, cfg *config.Config, opt Options) (Report, error) {
	p := &replayer{cfg: cfg, opt: opt}
	p.names = frame.NameIndex{Classes: indexOf(cfg.Classes), Tenants: indexOf(cfg.Tenants)}
	for i := range cfg.Policy.Classes {
		p.names.Keyed = append(p.names.Keyed, cfg.Policy.Classes[i].Effect == kiteslip.Keyed)
	}
	p.contracts = uwsgi.ContractTable{Classes: p.names.Classes, Tenants: p.names.Tenants, Contracts: cfg.UWSGI.Contracts}
	var err error
	if p.core, err = core.New(core.Settings{Policy: cfg.Policy, Seed: cfg.Seed}, p); err != nil {
		return Report{}, err
	}
	if opt.Output != nil {
		if p.writer, err = pcap.NewWriter(opt.Output); err != nil {
			return Report{}, err
		}
	}
	type piece struct {
		at   int64
		l    *connection
		data []byte
	}
	var pieces []piece
	for _, s := range streams {
		if s.To.Port() != opt.Port {
			continue
		}
		l := &connection{replayer: p}
		p.report.Connections++
		if s.MissingPackets {
			p.report.MissingPackets++
		}
		for i, c := range s.Chunks {
			at := c.At.UnixMicro()
			if i == 0 && p.writer != nil {
				if l.conn, err = p.writer.Open(c.At, unmap(s.From), unmap(s.To)); err != nil {
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
	lines := map[*connection]bool{}
	for i, piece := range pieces {
		if i == 0 {
			p.now = piece.at
			p.core.Step(p.now)
		}
		p.advance(piece.at)
		piece.l.feed(piece.data)
		lines[piece.l] = true
		if i+1 == len(pieces) || pieces[i+1].at > piece.at {
			p.core.Step(p.now)
		}
	}
	for p.core.Outstanding() > 0 || len(p.runs) > 0 {
		p.advance(p.now + 100_000)
	}
	for l := range lines {
		if len(l.buf) > 0 && !l.closed {
			p.report.Unfinished++
		}
	}
	p.report.Counts = p.core.Counts()
	return p.report, p.err
}

func indexOf(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Run starts a run: all that is done is to note when it would end.
func (p *replayer) Run(r *core.Request) {
	p.runs = append(p.runs, run{p.now + max(r.ExpectedWork, defaultRunUS), r})
}

// advance lets the time go on to the end, with all that falls due on the way.
func (p *replayer) advance(end int64) {
	for {
		next := end
		if at := p.core.NextStep(); at != 0 {
			next = min(next, max(at, p.now))
		}
		for _, run := range p.runs {
			next = min(next, run.end)
		}
		if next >= end {
			p.now = max(p.now, end)
			return
		}
		p.now = max(next, p.now)
		kept := p.runs[:0]
		var over []run
		for _, run := range p.runs {
			if run.end <= p.now {
				over = append(over, run)
			} else {
				kept = append(kept, run)
			}
		}
		p.runs = kept
		for _, run := range over {
			p.core.Done(run.request, kiteslip.OK, max(run.request.ExpectedWork, defaultRunUS), nil)
		}
		p.core.Step(p.now)
	}
}

func (l *connection) feed(data []byte) {
	l.write(false, data)
	if l.closed {
		return
	}
	l.buf = append(l.buf, data...)
	if l.opt.UWSGI {
		l.handleUWSGI()
	} else {
		l.handleFrames()
	}
}

func (l *connection) countMalformed() {
	l.report.Malformed++
}

// handleFrames takes in the whole frames that have come.
func (l *connection) handleFrames() {
	for {
		f, n, err := frame.Split(l.buf)
		if err != nil {
			l.countMalformed()
			l.closed = true
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
				l.countMalformed()
			}
		}
		l.buf = l.buf[n:]
	}
}

// handleUWSGI takes in the request of a uwsgi connection once it is whole.
func (l *connection) handleUWSGI() {
	vars, n, err := uwsgi.Split(l.buf)
	if err == nil && n == 0 {
		return
	}
	var r *core.Request
	length := 0
	if err == nil {
		var problem *uwsgi.RequestError
		if r, length, problem = uwsgi.ParseRequest(vars, &l.contracts, l.now); problem != nil {
			err = problem
		}
	}
	if err == nil && len(l.buf) < n+length {
		return
	}
	if err == nil {
		l.lastUWSGIID++
		r.TryID = fmt.Sprintf("w%015x", l.lastUWSGIID)
		r.Body, r.Stream, r.ReplyTo = slices.Clone(l.buf[n:n+length]), 1, l
		err = l.core.Submit(l.now, r)
	}
	l.closed = true
	if err != nil {
		l.countMalformed()
	}
}

// Answer takes an answer of the core and writes it as the front would.
func (l *connection) Answer(stream uint32, a core.Answer) {
	if l.writer == nil {
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

func (l *connection) write(byServer bool, data []byte) {
	if l.conn != nil {
		l.err = errors.Join(l.err, l.conn.Send(time.UnixMicro(l.now), byServer, data))
	}
}
