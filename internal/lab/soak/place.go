package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"

	"kiteslip/internal/faultnet"
	"kiteslip/internal/lab/probe"
)

// The classes.
const (
	classRepeatable = "look"
	classKeyed      = "note" // each run makes one downstream call
)

// place is one server over all of its processes: what stays the same over restarts and
// upgrades.
type place struct {
	game         *game
	plan         placePlan
	name         string
	dir          string
	frameAddress string
	uwsgiAddress string
	listener     *net.TCPListener // of the platform; nil = the processes listen themselves
	ledger       *faultnet.Link   // to the shared ledger

	lifecycle sync.Mutex // held while a process is started or told to stop
	mu        sync.Mutex
	current   *process // serves, or starts to
	processes []*process
	extra     int // classes added by reloads
}

// newPlace reserves the addresses and the folder of a server.
func newPlace(g *game, index int, plan placePlan) (*place, error) {
	p := &place{game: g, plan: plan, name: fmt.Sprint("n", index), dir: filepath.Join(g.dir, fmt.Sprint("n", index))}
	if err := os.MkdirAll(filepath.Join(p.dir, "shared"), 0o700); err != nil {
		return nil, err
	}
	// Loopback addresses of its own, so that nothing else takes the ports during a restart.
	host := fmt.Sprintf("127.78.%d.%d", 1+g.seed%250, 1+index)
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	p.frameAddress = listener.Addr().String()
	if plan.upgrades {
		p.listener = listener.(*net.TCPListener)
	} else {
		listener.Close()
	}
	if p.uwsgiAddress, err = freeAddress(host); err != nil {
		return nil, err
	}
	p.ledger, err = faultnet.New(g.ledger.Address)
	return p, err
}

// freeAddress returns an address on a host that nothing listens on.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// close ends the links and the listener of the place.
func (p *place) close() {
	p.ledger.Close()
	if p.listener != nil {
		p.listener.Close()
	}
}

// keyFolder is the folder of the key store.
func (p *place) keyFolder() string { return filepath.Join(p.dir, "keys") }

// operatorFile returns the content of the operator's file.
func (p *place) operatorFile() string {
	text := fmt.Sprintf("[uwsgi]\nlisten = %q\n", p.uwsgiAddress)
	if p.plan.keyStore {
		text += fmt.Sprintf("[keys]\nfolder = %q\ndurability = \"process\"\n", p.keyFolder())
	}
	return text
}

// platformFile returns the content of the platform's file for a process with that engine
// and admin address, with the classes that reloads have added.
func (p *place) platformFile(engine, admin string) ([]byte, error) {
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "on_time_us": classTimeout.Microseconds() / 2,
			"hard_limit_us": classTimeout.Microseconds(), "window_us": keyWindow.Microseconds(), "worth": 1}
	}
	classes, calls, skip := []map[string]any{class(classRepeatable, "repeatable"), class(classKeyed, "by_key")}, []bool{false, true}, []float64{0, 0}
	p.mu.Lock()
	extra := p.extra
	p.mu.Unlock()
	for i := range extra {
		classes, calls, skip = append(classes, class(fmt.Sprint("extra", i), "repeatable")), append(calls, false), append(skip, 0)
	}
	limits := map[string]any{"cores": coreLimit, "memory_mb": memoryLimitMB, "sockets": descriptorLimit}
	text, err := probe.PlatformFile(p.frameAddress, engine, int(stopTimeout.Milliseconds()), limits, engineCores, 1, classes...)
	if err != nil {
		return nil, err
	}
	if text, err = probe.WithLedger(text, p.ledger.Address, calls, skip); err != nil {
		return nil, err
	}
	var file map[string]any
	if err = json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	file["name"], file["ops"], file["registry"] = p.name, admin, p.game.registry.address
	file["seed"] = fmt.Sprintf("%x", p.game.seed)
	rules := probe.Rules{CallShare: callShare, CallShareWindow: callShareWindow, DrainGrace: drainGrace, ColdSpeed: coldSpeed, WarmupTime: warmupTime}
	rules.Apply(file["settings"].(map[string]any))
	return json.Marshal(file)
}
