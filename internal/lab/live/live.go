package live

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kiteslip"
	"kiteslip/internal/core"
	"kiteslip/internal/frame"
	"kiteslip/internal/lab/fleet"
	"kiteslip/internal/standin/box"
)

// Fleet is a fleet of real programs for one day.
type Fleet struct {
	Replies       chan fleet.Reply // for fleet.PlayLive
	day           *fleet.Day
	programPath   string
	dir           string
	boxes         []*remote
	lastRequestID atomic.Uint64
}

// remote is one box: a process, its engine and the callers' connections to it. It
// implements fleet.Remote.
type remote struct {
	f      *Fleet
	number int
	listen string
	speed  float64

	mu          sync.Mutex
	engine      *box.Engine
	program     *Program
	freeConns   []*conn // that may have room for another request
	conns       map[*conn]struct{}
	incarnation int
}

// conn is one connection of the callers to a box.
type conn struct {
	net.Conn
	b           *remote
	incarnation int
	lastStream  uint32
	open        map[uint32]uint32 // by stream: the ID of the open try
	closed      bool
	goAway      bool
	inFreeList  bool
}

// maxQueuedReplies bounds the answers that wait for the loop that plays the day.
const maxQueuedReplies = 1 << 16

// Launch starts the boxes of a day with the program at path. Their speeds are those
// that fleet.Play would use.
func Launch(path string, day *fleet.Day) (*Fleet, error) {
	if day.Ledger != nil {
		return nil, errors.New("live: downstream calls are only supported in simulated time")
	}
	dir, err := os.MkdirTemp("", "kitelab")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Replies: make(chan fleet.Reply, maxQueuedReplies), day: day, programPath: path, dir: dir}
	for i, speed := range day.BoxSpeeds() {
		b := &remote{f: f, number: i, speed: speed, conns: map[*conn]struct{}{}}
		f.boxes = append(f.boxes, b)
	}
	errs := make([]error, len(f.boxes))
	var wg sync.WaitGroup
	for i, b := range f.boxes {
		wg.Go(func() {
			if b.listen, errs[i] = FreeAddress(); errs[i] == nil {
				errs[i] = b.start()
			}
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Remotes returns the boxes, for fleet.PlayLive.
func (f *Fleet) Remotes() []fleet.Remote {
	list := make([]fleet.Remote, len(f.boxes))
	for i, b := range f.boxes {
		list[i] = b
	}
	return list
}

// Close ends all processes and removes their files.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, b := range f.boxes {
		wg.Go(b.Kill)
	}
	wg.Wait()
	os.RemoveAll(f.dir) //nolint:errcheck // it is in the system's folder for temporary files
}

// platformFile returns the day's settings as a platform's file for the program.
func (f *Fleet) platformFile(listen, engine string) ([]byte, error) {
	policy := &f.day.Policy
	var classes, tenants []any
	effects := map[kiteslip.Effect]string{kiteslip.Repeatable: "repeatable", kiteslip.Keyed: "by_key"}
	for i := range f.day.Classes {
		c := &f.day.Classes[i]
		classes = append(classes, map[string]any{"name": c.Name, "effect": effects[c.Effect], "on_time_us": c.TargetTime, "hard_limit_us": c.Timeout,
			"window_us": c.Window, "worth": c.Worth, "late_worth": c.LateWorth})
	}
	for i := range f.day.Teams {
		tenants = append(tenants, map[string]any{"name": f.day.Teams[i].Name, "quota_per_s": policy.Tenants[i].Quota})
	}
	return json.Marshal(map[string]any{
		"name": "lab", "listen": listen, "engine": engine, "seed": "1", "stop_ms": 3500,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{
			"classes": classes, "tenants": tenants,
			"ceilings":    map[string]any{"retry_after": policy.MaxRetryAfter > 0, "max_retry_after_us": policy.MaxRetryAfter},
			"family_info": map[string]any{"cores": policy.Cores, "memory_kb": policy.MemoryKB, "blowup": policy.RunFactor, "key_kb": policy.KeyKB, "idle_us": 60_000_000, "callers": len(f.day.Callers)},
			"goal": map[string]any{"whole": policy.Goal.Whole, "worst_class": policy.Goal.WorstClass, "worst_tenant": policy.Goal.WorstTenant,
				"worst_window": policy.Goal.WorstWindow},
			"rules":            map[string]any{"answer_slack_us": policy.AnswerSlack, "drain_grace_us": policy.DrainGrace, "fall_multiple": policy.MaxRunsPerCore, "fall_us": policy.MaxRunsWindow},
			"over_share_worth": policy.OverShareWorth, "worth_by": "work", "tick_us": policy.Tick, "group_size": f.day.Boxes,
		},
	})
}

// operatorFile returns the backend, if any, and the pools as an operator's file for
// the program; it is empty if there are neither.
func (f *Fleet) operatorFile(backend string) string {
	text := ""
	if backend != "" {
		text = fmt.Sprintf("[[service]]\nname = \"lab\"\nbackend = %q\n", backend)
		for i := range f.day.Classes {
			text += fmt.Sprintf("[[service.contract]]\nclass = %q\n", f.day.Classes[i].Name)
		}
	}
	p := f.day.Pools
	if p == nil {
		return text
	}
	text += fmt.Sprintf("[pools]\ncheap_reserve = %f\n", p.CheapReserve)
	for i := range p.Pools {
		s := &p.Pools[i]
		classes := ""
		for _, c := range s.Classes {
			classes += strconv.Quote(f.day.Classes[c].Name) + ", "
		}
		text += fmt.Sprintf("[[pool]]\nname = %q\nclasses = [%s]\nshare = %f\nmost = %f\nreserve = %f\n", s.Name, classes, s.Share, s.MaxShare, s.Reserve)
	}
	return text
}

// start starts the engine and the process of the box.
func (b *remote) start() error {
	spec := b.f.day.Box
	spec.Speed *= b.speed
	engine, err := box.Serve(spec)
	if err != nil {
		return err
	}
	text, err := b.f.platformFile(b.listen, engine.Address)
	if err != nil {
		return err
	}
	dir := filepath.Join(b.f.dir, strconv.Itoa(b.number))
	if err = os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	backend := ""
	if b.f.day.UWSGI {
		if backend, err = engine.ServeUWSGI(); err != nil {
			engine.Close()
			return err
		}
	}
	program, err := Start(b.f.programPath, dir, b.listen, text, b.f.operatorFile(backend))
	if err != nil {
		engine.Close()
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engine, b.program = engine, program
	b.incarnation++
	return nil
}

// Kill ends the process, the engine and the connections of the box at once.
func (b *remote) Kill() {
	b.mu.Lock()
	engine, program := b.engine, b.program
	b.engine, b.program = nil, nil
	conns := b.conns
	b.conns, b.freeConns = map[*conn]struct{}{}, nil
	b.mu.Unlock()
	if program != nil {
		program.Process.Signal(syscall.SIGCONT) //nolint:errcheck // it may not be paused
		program.Kill()
	}
	if engine != nil {
		engine.Close()
	}
	for c := range conns {
		c.Close()
	}
}

// Restart starts the box again, cold.
func (b *remote) Restart(factor float64, warmup int64) {
	go func() {
		if err := b.start(); err != nil {
			fmt.Fprintln(os.Stderr, "kitelab: box", b.number, "was not restarted:", err)
			return
		}
		b.changeBox(func(x *box.Machine, now int64) { x.StartWarmup(now, factor, warmup) })
	}()
}

// changeBox calls f with the emulated box and the current time, unless it is down.
func (b *remote) changeBox(f func(*box.Machine, int64)) {
	b.mu.Lock()
	engine := b.engine
	b.mu.Unlock()
	if engine != nil {
		engine.WithMachine(f)
	}
}

// SetSpeed sets the speed of the box to a share of its usual speed.
func (b *remote) SetSpeed(factor float64) {
	b.changeBox(func(x *box.Machine, now int64) { x.SetSpeed(now, factor) })
}

// Pause stops the process and the cores for a time in microseconds.
func (b *remote) Pause(duration int64) {
	b.mu.Lock()
	program, incarnation := b.program, b.incarnation
	b.mu.Unlock()
	if program == nil {
		return
	}
	b.SetSpeed(0)
	program.Process.Signal(syscall.SIGSTOP) //nolint:errcheck // it may have ended
	time.AfterFunc(time.Duration(duration)*time.Microsecond, func() {
		b.mu.Lock()
		same := b.incarnation == incarnation && b.program != nil
		b.mu.Unlock()
		if same {
			program.Process.Signal(syscall.SIGCONT) //nolint:errcheck // it may have ended
			b.SetSpeed(1)
		}
	})
}

// Drain sends the shutdown notice to the process.
func (b *remote) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.program != nil {
		b.program.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
	}
}

// connection returns a connection with room for another request, a new one if there
// is none.
func (b *remote) connection() (*conn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.freeConns) > 0 {
		c := b.freeConns[len(b.freeConns)-1]
		if !c.closed && !c.goAway && len(c.open) < frame.MaxStreams-1 {
			return c, nil
		}
		c.inFreeList = false
		b.freeConns = b.freeConns[:len(b.freeConns)-1]
	}
	if b.program == nil {
		return nil, errors.New("the box is down")
	}
	nc, err := net.DialTimeout("tcp", b.listen, time.Second)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, b: b, incarnation: b.incarnation, open: map[uint32]uint32{}, inFreeList: true}
	b.conns[c] = struct{}{}
	b.freeConns = append(b.freeConns, c)
	go c.read()
	return c, nil
}

// Send sends a try. If the box can't be reached, the reply is a failed answer.
func (b *remote) Send(s fleet.RemoteTry) {
	c, err := b.connection()
	if err != nil {
		b.f.reply(b.number, s.ID, core.Answer{Code: core.Failed})
		return
	}
	day := b.f.day
	class := &day.Classes[s.Class]
	fields := []frame.Field{{Name: "kind", Value: class.Name}, {Name: "owner", Value: day.Teams[s.Team].Name},
		{Name: "req", Value: fmt.Sprintf("%016x", b.f.lastRequestID.Add(1))}, {Name: "via", Value: strconv.Itoa(s.Caller + 1)},
		{Name: "ts", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)},
		{Name: "timeout", Value: strconv.FormatInt(max(1, s.Timeout/1000), 10)},
		{Name: "ms", Value: strconv.FormatFloat(s.Work/1000, 'f', 1, 64)}, {Name: "need", Value: "16"}, {Name: "level", Value: "0.5"},
		{Name: "subject", Value: fmt.Sprintf("%016x", s.Subject)}}
	if class.Effect == kiteslip.Keyed {
		fields = append(fields, frame.Field{Name: "opkey", Value: s.Key})
	}
	b.mu.Lock()
	c.lastStream++
	stream := c.lastStream
	c.open[stream] = s.ID
	b.mu.Unlock()
	if _, err := c.Write(frame.AppendRequest(nil, stream, fields, strconv.AppendInt(nil, int64(s.Work), 10))); err != nil {
		c.Close() // its reader replies to the open tries
	}
}

// reply queues the end of a try for the loop that plays the day.
func (f *Fleet) reply(number int, id uint32, a core.Answer) {
	select {
	case f.Replies <- fleet.Reply{Box: number, ID: id, Answer: a}:
	default: // the queue is full because the day is over
	}
}

// read processes frames until the connection ends. Tries that are open then have
// failed.
func (c *conn) read() {
	var buf []byte
	chunk := make([]byte, 32<<10)
	for {
		n, err := c.Read(chunk)
		buf = append(buf, chunk[:n]...)
		for {
			f, used, splitErr := frame.Split(buf)
			if splitErr != nil || used == 0 {
				break
			}
			c.handleFrame(f)
			buf = buf[used:]
		}
		if err != nil {
			break
		}
	}
	c.Close()
	c.b.mu.Lock()
	c.closed = true
	delete(c.b.conns, c)
	open := c.open
	c.open = nil
	c.b.mu.Unlock()
	for _, id := range open {
		c.b.f.reply(c.b.number, id, core.Answer{Code: core.Failed})
	}
}

// handleFrame processes one frame: an answer, or the notice that the server takes no
// more requests on this connection.
func (c *conn) handleFrame(f frame.Frame) {
	c.b.mu.Lock()
	if f.Type == frame.GoAway {
		c.goAway = true
	}
	id, known := c.open[f.Stream]
	if f.Type == frame.Answer {
		delete(c.open, f.Stream)
		if known && !c.goAway && !c.inFreeList {
			c.inFreeList = true
			c.b.freeConns = append(c.b.freeConns, c)
		}
	}
	c.b.mu.Unlock()
	if f.Type != frame.Answer || !known || len(f.Payload) == 0 {
		return
	}
	a := core.Answer{Code: core.Failed}
	switch f.Payload[0] {
	case frame.Served:
		a.Code = core.Served
	case frame.Refused:
		a.Code = core.Refused
		if fields, _, err := frame.ParseFields(f.Payload[1:]); err == nil {
			for name, value := range fields.All {
				switch string(name) {
				case "holdoff":
					ms, _ := strconv.ParseInt(string(value), 10, 64)
					a.RetryAfter = ms * 1000
				case "nomore":
					a.NoFailover = true
				}
			}
		}
	}
	c.b.f.reply(c.b.number, id, a)
}
