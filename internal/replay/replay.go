// Package replay feeds the requests of a capture through the parser of a front end and
// the core, on the capture's clock, to show the policy's decisions for that traffic. No
// work is done and nothing is sent. A run takes the time that its request states, as if
// it had a processor core to itself. Times are in microseconds.
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

// defaultRunUS is the duration of a run whose request states none.
const defaultRunUS = 1_000

// Options are the settings of a replay.
type Options struct {
	Port   uint16    // of the server in the capture
	UWSGI  bool      // its protocol is uwsgi, not frames
	Output io.Writer // receives the requests and the answers of the replay as a capture; nil = none
}

// Report has the results of a replay.
type Report struct {
	core.Counts
	Connections    int
	Malformed      int // requests or connections that cannot be parsed
	Unfinished     int // connections that end within a request
	MissingPackets int // connections with packets missing from the capture
}

// connection is one connection of the capture.
type connection struct {
	*replayer
	buf    []byte
	closed bool       // no more input is parsed
	file   *pcap.Conn // in the output; nil = none
}

// run is a run in progress.
type run struct {
	end     int64
	request *core.Request
}

// replayer is a replay in progress.
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
	err         error // errors of writing the output
}

// Run replays the streams whose destination is the port.
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
	type segment struct {
		at   int64
		conn *connection
		data []byte
	}
	var segments []segment
	for _, s := range streams {
		if s.To.Port() != opt.Port {
			continue
		}
		conn := &connection{replayer: p}
		p.report.Connections++
		if s.MissingPackets {
			p.report.MissingPackets++
		}
		for i, chunk := range s.Chunks {
			at := chunk.At.UnixMicro()
			if i == 0 && p.writer != nil {
				if conn.file, err = p.writer.Open(chunk.At, unmap(s.From), unmap(s.To)); err != nil {
					return Report{}, err
				}
			}
			segments = append(segments, segment{at, conn, chunk.Data})
		}
	}
	if p.report.Connections == 0 {
		return Report{}, fmt.Errorf("replay: no connection leads to port %d", opt.Port)
	}
	slices.SortStableFunc(segments, func(a, b segment) int { return cmp.Compare(a.at, b.at) })
	connections := map[*connection]bool{}
	for i, seg := range segments {
		if i == 0 {
			p.now = seg.at
			p.core.Step(p.now)
		}
		p.advance(seg.at)
		seg.conn.feed(seg.data)
		connections[seg.conn] = true
		if i+1 == len(segments) || segments[i+1].at > seg.at {
			p.core.Step(p.now)
		}
	}
	for p.core.Outstanding() > 0 || len(p.runs) > 0 {
		p.advance(p.now + 100_000)
	}
	for conn := range connections {
		if len(conn.buf) > 0 && !conn.closed {
			p.report.Unfinished++
		}
	}
	p.report.Counts = p.core.Counts()
	return p.report, p.err
}

// indexOf maps each name to its index.
func indexOf(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// unmap returns an IPv4-mapped IPv6 address as IPv4.
func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Run starts a run for the core; it only notes when the run ends.
func (p *replayer) Run(r *core.Request) {
	p.runs = append(p.runs, run{p.now + max(r.ExpectedWork, defaultRunUS), r})
}

// advance sets the clock to end, with the ends of runs and the steps of the core that are
// due until then.
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
		running := p.runs[:0]
		var ended []run
		for _, run := range p.runs {
			if run.end <= p.now {
				ended = append(ended, run)
			} else {
				running = append(running, run)
			}
		}
		p.runs = running
		for _, run := range ended {
			p.core.Done(run.request, kiteslip.OK, max(run.request.ExpectedWork, defaultRunUS), nil)
		}
		p.core.Step(p.now)
	}
}

// feed handles data that the caller sent.
func (c *connection) feed(data []byte) {
	c.write(false, data)
	if c.closed {
		return
	}
	c.buf = append(c.buf, data...)
	if c.opt.UWSGI {
		c.handleUWSGI()
	} else {
		c.handleFrames()
	}
}

func (c *connection) countMalformed() {
	c.report.Malformed++
}

// handleFrames submits the requests of the frames that are complete.
func (c *connection) handleFrames() {
	for {
		f, n, err := frame.Split(c.buf)
		if err != nil {
			c.countMalformed()
			c.closed = true
			return
		}
		if n == 0 {
			return
		}
		if f.Type == frame.Request {
			r, err := frame.ParseRequest(f.Payload, &c.names)
			if err == nil {
				r.Stream, r.ReplyTo = f.Stream, c
				err = c.core.Submit(c.now, r)
			}
			if err != nil {
				c.countMalformed()
			}
		}
		c.buf = c.buf[n:]
	}
}

// handleUWSGI submits the request of a uwsgi connection once it is complete.
func (c *connection) handleUWSGI() {
	vars, n, err := uwsgi.Split(c.buf)
	if err == nil && n == 0 {
		return
	}
	var r *core.Request
	length := 0
	if err == nil {
		var requestErr *uwsgi.RequestError
		if r, length, requestErr = uwsgi.ParseRequest(vars, &c.contracts, c.now); requestErr != nil {
			err = requestErr
		}
	}
	if err == nil && len(c.buf) < n+length {
		return
	}
	if err == nil {
		c.lastUWSGIID++
		r.TryID = fmt.Sprintf("w%015x", c.lastUWSGIID)
		r.Body, r.Stream, r.ReplyTo = slices.Clone(c.buf[n:n+length]), 1, c
		err = c.core.Submit(c.now, r)
	}
	c.closed = true
	if err != nil {
		c.countMalformed()
	}
}

// Answer receives an answer of the core and writes it as the front end would.
func (c *connection) Answer(stream uint32, a core.Answer) {
	if c.writer == nil {
		return
	}
	if c.opt.UWSGI {
		status, retryAfter := uwsgi.Status(&a)
		c.write(true, append(uwsgi.AppendResponse(nil, status, retryAfter, len(a.Result)), a.Result...))
		return
	}
	code, fields, body := frame.EncodeAnswer(&a)
	c.write(true, append(frame.AppendAnswer(nil, frame.Answer, stream, code, fields, len(body)), body...))
}

// write writes data of one side to the output.
func (c *connection) write(byServer bool, data []byte) {
	if c.file != nil {
		c.err = errors.Join(c.err, c.file.Send(time.UnixMicro(c.now), byServer, data))
	}
}
