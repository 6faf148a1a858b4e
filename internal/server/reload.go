package server

import (
	"os"
	"slices"

	"go.uber.org/zap"

	"kiteslip"
	"kiteslip/internal/config"
	"kiteslip/internal/frame"
	"kiteslip/internal/registry"
	"kiteslip/internal/uwsgi"
)

// reloads takes in SIGHUP, beside the loop and beside the notice to leave: a file
// that is slow to read holds back neither.
func (s *Server) reloads(signals <-chan os.Signal) {
	for {
		select {
		case <-signals:
			s.reload()
		case <-s.life.Done():
			return
		}
	}
}

// reload reads the configuration anew and takes over what can change while
// the server runs. Guards against a file that is half written or faulty: it is
// read and checked as a whole first, and the one in use stays if it fails.
func (s *Server) reload() {
	if s.Reload == nil {
		s.log.Warn("nothing to reload from")
		return
	}
	next, err := s.Reload()
	if err != nil {
		s.onLoop(func() { s.turnDown(err) })
		return
	}
	s.onLoop(func() { s.adopt(next) })
}

// adopt lays a checked configuration over the one in use, and changes nothing
// unless all of it can be used. What is part of how the process was set up
// (names, addresses, limits) needs a restart.
func (s *Server) adopt(next *config.Config) {
	was := s.cfg
	merged, kept, err := was.Succeed(next)
	if err == nil {
		err = s.core.Retune(merged.Module, merged.ClassesOff, merged.PoolSettings())
	}
	if err != nil {
		s.turnDown(err)
		return
	}
	for _, key := range kept {
		s.log.Warn("a change that needs a restart is not taken over", zap.String("key", key))
	}
	if s.stopAt != 0 {
		merged.Stop = was.Stop
	}
	s.cfg = merged
	s.name()
	s.recall()
	if s.calls == 0 && uses(merged.Backends) {
		s.log.Warn("backends need descriptors set aside at the start; until a restart their classes fail")
	}
	if merged.Engine != was.Engine {
		s.reach() // the link in use is kept until the new one stands
	}
	if merged.Ledger != was.Ledger {
		s.openLedger()
	}
	if merged.Registry != was.Registry {
		s.reregister()
	}
	s.applied++
	s.log.Info("configuration reloaded", zap.String("engine", merged.Engine), zap.String("registry", merged.Registry),
		zap.Int("classes", len(next.Classes)))
	s.reportAt = 0
	s.schedule()
}

// turnDown notes a configuration that is not used.
func (s *Server) turnDown(err error) {
	s.rejected++
	s.log.Error("the new configuration is not used", zap.Error(err))
}

// name tells the fronts and the engine's link which classes and teams there are.
func (s *Server) name() {
	cfg := s.cfg
	s.names = &frame.Names{Classes: map[string]int{}, Tenants: map[string]int{}}
	s.keyed = map[string]int{}
	safe := make([]bool, len(cfg.Classes))
	for i, class := range cfg.Classes {
		effect := cfg.Module.Classes[i].Effect
		// One that is no longer in the file is still known by its name: it is refused, not an error.
		if _, known := s.names.Classes[class]; !known || !config.Off(cfg.ClassesOff, i) {
			s.names.Classes[class] = i
		}
		if effect == kiteslip.Keyed {
			s.keyed[class] = i
		}
		s.names.Keyed = append(s.names.Keyed, effect == kiteslip.Keyed)
		safe[i] = effect == kiteslip.Repeatable
	}
	for i, tenant := range cfg.Tenants {
		if !config.Off(cfg.TenantsOff, i) {
			s.names.Tenants[tenant] = i
		}
	}
	s.book = &uwsgi.Book{Classes: s.names.Classes, Tenants: s.names.Tenants, Contracts: cfg.UWSGI.Contracts}
	s.link.Classes(cfg.Classes, safe)
}

// reregister sends the reports to the registry that holds now. It is reached
// beside the loop: its address may be a name that is slow to be looked up, or
// cannot be reached for now. Nothing waits for it, and report tries again.
func (s *Server) reregister() {
	if s.heartbeat != nil {
		s.heartbeat.Close()
		s.heartbeat = nil
	}
	s.registering++
	at := s.registering
	if s.cfg.Registry == "" {
		return
	}
	address, name := s.cfg.Registry, s.cfg.Name
	s.seeking = true
	go func() {
		heartbeat, err := registry.Dial(address, name)
		s.onLoop(func() {
			switch {
			case at != s.registering: // it has moved meanwhile
				if err == nil {
					heartbeat.Close()
				}
				return
			case err != nil:
				s.seeking, s.seekAt = false, now()+seekEvery
				s.log.Warn("registry", zap.Error(err))
				return
			}
			s.seeking, s.heartbeat, s.reportAt = false, heartbeat, 0
			s.schedule()
		})
	}()
}

// uses says whether any class is served by a backend.
func uses(backends []string) bool {
	return slices.ContainsFunc(backends, func(address string) bool { return address != "" })
}
