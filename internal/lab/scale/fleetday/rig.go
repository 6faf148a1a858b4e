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

// rig is the fleet of a day: all that was started, and what was recorded about it.
type rig struct {
	form    *Form
	program string   // path of the kiteslip program
	self    []string // the laboratory's own binary, and its arguments before a hidden subcommand
	dir     string
	content document.Content

	machines []*machine
	links    [][]*faultnet.Link // by region of the connecting side and control machine; nil within a region
	real     []*server          // with control, indexed by their numbers in the fleet
	twins    []*server          // without control
	hollow   []*hollowProcess
	history  *History
	sampler  *sampler

	mu            sync.Mutex
	errors        []string // errors during the day
	droppedErrors int      // number of errors that were not kept
}

// maxErrors bounds the errors that are kept.
const maxErrors = 40

func (r *rig) errorf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.errors) < maxErrors {
		r.errors = append(r.errors, fmt.Sprintf(format, args...))
	} else {
		r.droppedErrors++
	}
}

// freeAddress returns a port at a loopback address of its own, so that no other
// process takes it while the one that listens there is down.
func freeAddress(kind, number int) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 80+kind, number/250, 1+number%250))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newRig prepares a fleet without starting any process.
func newRig(form *Form, program string, self []string) (*rig, error) {
	r := &rig{form: form, program: program, self: self, content: Content(form.Sizes, form.Deadline, form.Seed)}
	regions := make([]int, form.Servers)
	for i := range regions {
		regions[i] = form.regionOf(i)
	}
	r.history = newHistory(regions)
	r.history.CatchUpTime = form.CatchUpTime
	var err error
	if r.dir, err = os.MkdirTemp("", "fleetday"); err != nil {
		return nil, err
	}
	r.sampler = newSampler(form.SampleEvery)
	return r, r.prepare()
}

func (r *rig) prepare() error {
	for m := range r.form.Machines {
		at, err := freeAddress(0, m)
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

// regionName returns a region's name.
func regionName(n int) string { return fmt.Sprintf("region-%d", n) }

// publishers returns the endpoints by which a server of a region reaches the control machines.
func (r *rig) publishers(from int) []follow.Endpoint {
	var list []follow.Endpoint
	for m := range r.machines {
		list = append(list, follow.Endpoint{Address: r.reach(from, m), Region: regionName(r.form.regionOfMachine(m))})
	}
	return list
}

// reach returns the address at which a region reaches a control machine.
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
				link.Silence(faultnet.ToTarget)
				link.Silence(faultnet.FromTarget)
			} else {
				errs = append(errs, link.Restore())
			}
		}
	}
	return errors.Join(errs...)
}

// each calls f for all elements concurrently and joins the errors.
func each[T any](list []T, f func(T) error) error {
	errs := make([]error, len(list))
	var all sync.WaitGroup
	for i, x := range list {
		all.Go(func() { errs[i] = f(x) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// close ends everything that was started, processes by their IDs.
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
	os.RemoveAll(r.dir) //nolint:errcheck // a directory for temporary files
}

// newEngine starts an engine stand-in that reports the time of each run.
func newEngine() (*box.Engine, error) {
	e, err := box.Serve(box.Spec{Cores: engineCores})
	if err == nil {
		e.ReportDurations()
	}
	return e, err
}

// hollowProcesses distributes the hollow servers over processes.
func (r *rig) hollowProcesses() error {
	var current *hollowProcess
	for i := r.form.Real; i < r.form.Servers; i++ {
		if current == nil || len(current.spec.Servers) == r.form.HollowPerProcess {
			current = &hollowProcess{rig: r, name: fmt.Sprint("hollow-", len(r.hollow)), byName: map[string]int{}, first: i}
			current.spec = hollow.ServersSpec{Operator: r.hollowOperator(), WaitUS: waitUS,
				Seed: r.form.Seed + uint64(len(r.hollow))<<48}
			r.hollow = append(r.hollow, current)
		}
		name := fmt.Sprintf("hollow-%03d", i)
		current.byName[name] = i
		current.spec.Servers = append(current.spec.Servers, hollow.Server{Name: name, Region: regionName(r.form.regionOf(i)), Publishers: r.publishers(r.form.regionOf(i))})
	}
	return nil
}
