package server

import (
	"reflect"
	"slices"

	"go.uber.org/zap"

	"kiteslip/internal/config"
	"kiteslip/internal/registry"
)

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
		s.log.Error("the new configuration is not used", zap.Error(err))
		s.onLoop(func() { s.rejected++ })
		return
	}
	s.onLoop(func() { s.adopt(next) })
}

// adopt takes over from a checked configuration: the addresses of the engine,
// the registry and the backends, the time to stop in, and the uwsgi front's
// time to read. All else is part of what callers were promised or of how the
// process was set up, so it needs a restart.
func (s *Server) adopt(next *config.Config) {
	cfg := s.cfg
	for key, differs := range map[string]bool{
		"name":      next.Name != cfg.Name,
		"listen":    next.Listen != cfg.Listen || next.UWSGI.Listen != cfg.UWSGI.Listen,
		"ops":       next.Ops != cfg.Ops,
		"limits":    next.Limits != cfg.Limits,
		"contracts": !reflect.DeepEqual(next.UWSGI.Contracts, cfg.UWSGI.Contracts) || !reflect.DeepEqual(next.MaxResults, cfg.MaxResults),
		"settings":  !reflect.DeepEqual(next.Module, cfg.Module) || !reflect.DeepEqual(next.Classes, cfg.Classes) || !reflect.DeepEqual(next.Tenants, cfg.Tenants),
	} {
		if differs {
			s.log.Warn("a change that needs a restart is not taken over", zap.String("key", key))
		}
	}
	if s.stopAt == 0 {
		cfg.Stop = next.Stop
	}
	cfg.UWSGI.ReadWithin = next.UWSGI.ReadWithin
	if reflect.DeepEqual(next.Classes, cfg.Classes) {
		cfg.Backends = next.Backends
		if s.calls == 0 && uses(next.Backends) {
			s.log.Warn("backends need descriptors set aside at the start; until a restart their classes fail")
		}
	}
	if next.Engine != cfg.Engine {
		cfg.Engine = next.Engine
		s.reach() // the link in use is kept until the new one stands
	}
	if next.Registry != cfg.Registry {
		cfg.Registry = next.Registry
		s.reregister()
	}
	s.applied++
	s.log.Info("configuration reloaded", zap.String("engine", cfg.Engine), zap.String("registry", cfg.Registry))
	s.reportAt = 0
	s.schedule()
}

// reregister sends the reports to the registry that holds now.
func (s *Server) reregister() {
	if s.beacon != nil {
		s.beacon.Close()
		s.beacon = nil
	}
	if s.cfg.Registry == "" {
		return
	}
	beacon, err := registry.Dial(s.cfg.Registry, s.cfg.Name)
	if err != nil {
		s.log.Error("registry", zap.Error(err)) // report tries again
		return
	}
	s.beacon = beacon
}

// uses says whether any class is served by a backend.
func uses(backends []string) bool {
	return slices.ContainsFunc(backends, func(address string) bool { return address != "" })
}
