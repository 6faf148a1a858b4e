package fleetday

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/follow"
	"kiteslip/internal/faultnet"
	"kiteslip/internal/lab/scale/hollow"
	"kiteslip/internal/standin/box"
)

// rig is the fleet of a day: all that was started, and what is known of it.
type rig struct {
	form    *Form
	program string   // bin/kiteslip
	self    []string // the laboratory's own binary, and what it is given before a hidden sub-command
	dir     string
	content document.Content

	machines []*machine
	links    [][]*faultnet.Link // by region of who connects and control machine; nil within a region
	real     []*server          // with control, numbered as the fleet's
	twins    []*server          // without
	hollow   []*hollowProcess
	history  *History
	sampler  *sampler

	mu     sync.Mutex
	said   []string // what went wrong on the way
	rarely int      // ... and how much more of it was not kept
}

// saidMost bounds what is kept of what went wrong.
const saidMost = 40

func (r *rig) complain(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.said) < saidMost {
		r.said = append(r.said, fmt.Sprintf(format, args...))
	} else {
		r.rarely++
	}
}

// address is a port of an address of the loopback range that nothing else takes
// while the process that listens there is away.
func address(kind, number int) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 80+kind, number/250, 1+number%250))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newRig prepares a fleet; nothing is started yet.
func newRig(form *Form, program string, self []string) (*rig, error) {
	r := &rig{form: form, program: program, self: self, content: Content(form.Sizes, form.Deadline, form.Seed)}
	regions := make([]int, form.Servers)
	for i := range regions {
		regions[i] = form.regionOf(i)
	}
	r.history = newHistory(regions)
	r.history.Settled = form.Settled
	var err error
	if r.dir, err = os.MkdirTemp("", "fleetday"); err != nil {
		return nil, err
	}
	r.sampler = newSampler(form.SampleEvery)
	return r, r.prepare()
}

func (r *rig) prepare() error {
	for m := range r.form.Machines {
		at, err := address(0, m)
		if err != nil {
			return err
		}
		r.machines = append(r.machines, &machine{rig: r, number: m, listen: at, dir: filepath.Join(r.dir, fmt.Sprint("control-", m))})
	}
	for from := range r.form.Regions {
		row := make([]*faultnet.Link, len(r.machines))
		for m, machine := range r.machines {
			if r.form.regionOfMachine(m) == from {
				continue
			}
			link, err := faultnet.New(machine.listen)
			if err != nil {
				return err
			}
			row[m] = link
		}
		r.links = append(r.links, row)
	}
	for i := range r.form.Real {
		s := &server{rig: r, number: i, control: true, name: fmt.Sprintf("real-%03d", i), region: r.form.regionOf(i), rate: r.form.rate(i)}
		r.real = append(r.real, s)
	}
	twin := func(of int, rate float64) {
		s := &server{rig: r, number: of, name: fmt.Sprintf("twin-%03d", len(r.twins)), rate: rate}
		r.twins = append(r.twins, s)
	}
	for i := range r.form.Idle {
		twin(i, 0)
	}
	for i := range r.form.TwinHot {
		twin(r.form.Idle+i, r.form.HotRate)
	}
	for i := range r.form.Twins {
		twin(r.form.Idle+r.form.Hot+i, r.form.ServerRate)
	}
	return r.hollowProcesses()
}

// region is a region's name.
func region(n int) string { return fmt.Sprintf("region-%d", n) }

// publishers is how a server of a region reaches the control machines.
func (r *rig) publishers(from int) []follow.Endpoint {
	var list []follow.Endpoint
	for m := range r.machines {
		list = append(list, follow.Endpoint{Address: r.reach(from, m), Region: region(r.form.regionOfMachine(m))})
	}
	return list
}

// reach is the address at which a region reaches a control machine.
func (r *rig) reach(from, m int) string {
	if link := r.links[from][m]; link != nil {
		return link.Address
	}
	return r.machines[m].listen
}

// cut silences or heals all links between a region and the others.
func (r *rig) cut(region int, silent bool) error {
	var errs []error
	for from, row := range r.links {
		for m, link := range row {
			if link == nil || from != region && r.form.regionOfMachine(m) != region {
				continue
			}
			if silent {
				link.Silence(faultnet.There)
				link.Silence(faultnet.Back)
			} else {
				errs = append(errs, link.Heal())
			}
		}
	}
	return errors.Join(errs...)
}

// each runs f for all of a list at once, and joins the errors.
func each[T any](list []T, f func(T) error) error {
	errs := make([]error, len(list))
	var all sync.WaitGroup
	for i, x := range list {
		all.Go(func() { errs[i] = f(x) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// close ends all that was started, by its id.
func (r *rig) close() {
	r.sampler.end()
	var all sync.WaitGroup
	for _, s := range append(append([]*server(nil), r.real...), r.twins...) {
		all.Go(s.close)
	}
	for _, h := range r.hollow {
		all.Go(h.close)
	}
	for _, m := range r.machines {
		all.Go(m.kill)
	}
	all.Wait()
	for _, row := range r.links {
		for _, link := range row {
			if link != nil {
				link.Close()
			}
		}
	}
	os.RemoveAll(r.dir) //nolint:errcheck // a folder of the system's for passing files
}

// newEngine starts an engine stand-in that says what each run took.
func newEngine() (*box.Engine, error) {
	e, err := box.Serve(box.Spec{Cores: engine})
	if err == nil {
		e.TellTook()
	}
	return e, err
}

// hollowProcesses divides the hollow servers over their processes.
func (r *rig) hollowProcesses() error {
	var now *hollowProcess
	for i := r.form.Real; i < r.form.Servers; i++ {
		if now == nil || len(now.spec.Servers) == r.form.HollowPer {
			now = &hollowProcess{rig: r, name: fmt.Sprint("hollow-", len(r.hollow)), byName: map[string]int{}, first: i}
			now.spec = hollow.ServersSpec{Operator: r.hollowOperator(), WaitUS: waitUS,
				Seed: r.form.Seed + uint64(len(r.hollow))<<48}
			r.hollow = append(r.hollow, now)
		}
		name := fmt.Sprintf("hollow-%03d", i)
		now.byName[name] = i
		now.spec.Servers = append(now.spec.Servers, hollow.Server{Name: name, Region: region(r.form.regionOf(i)), Publishers: r.publishers(r.form.regionOf(i))})
	}
	return nil
}
