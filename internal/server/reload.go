package server

import (
	"context"
	"errors"
	"os"
	"slices"

	"go.uber.org/zap"

	"kiteslip"
	"kiteslip/internal/config"
	"kiteslip/internal/control/document"
	"kiteslip/internal/frame"
	"kiteslip/internal/registry"
	"kiteslip/internal/uwsgi"
)

// versionRequest is a version that is to be taken over.
type versionRequest struct {
	doc    *document.Document
	delta  *document.Delta // the step from the version in force; nil = it came whole
	result chan error
}

var (
	errShuttingDown = errors.New("server: the notice to leave has come, no version is taken over any more")
	errEnded        = errors.New("server: the run has ended")
)

// reloads takes in SIGHUP and versions, one after the other, beside the loop and
// beside the notice to leave: a file that is slow to read holds back neither. All
// that costs by the whole configuration is done here; the loop gets a ready change,
// and no other is made before its verdict is known, so that each follows the one
// in force.
func (s *Server) reloads(signals <-chan os.Signal) {
	places := config.NewUpdater(s.cfg) // until the first change nothing else writes it
	for {
		select {
		case <-signals:
			s.reload(places)
		case v := <-s.versionRequests:
			v.result <- s.handleVersion(places, v)
		case <-s.runCtx.Done():
			return
		}
	}
}

// reload reads the configuration anew and takes over what can change while
// the server runs. Guards against a file that is half written or faulty: it is
// read and checked as a whole first, and the one in use stays if it fails.
func (s *Server) reload(places *config.Updater) {
	if s.LoadConfig == nil {
		s.log.Warn("nothing to reload from")
		return
	}
	next, err := s.LoadConfig()
	var ch *config.Change
	if err == nil {
		places.SetTime(now())
		ch, err = places.PrepareFile(next)
	}
	if err != nil {
		s.onLoop(func() { s.rejectConfig(err) })
		return
	}
	s.submitChange(places, ch) //nolint:errcheck // the loop has logged and counted it
}

// applyVersion takes over a version of what the fleet serves by, and returns when
// it is in force or refused: then the error says why, and the one before is in
// force. delta is the step from the version in force; nil = it came whole. It is
// for goroutines beside the loop.
func (s *Server) applyVersion(ctx context.Context, doc *document.Document, delta *document.Delta) error {
	v := versionRequest{doc, delta, make(chan error, 1)}
	select {
	case s.versionRequests <- v:
	case <-ctx.Done():
		return ctx.Err()
	case <-s.runCtx.Done():
		return errEnded
	}
	select {
	case err := <-v.result: // it is near, and whoever asks is to know it
		return err
	case <-s.runCtx.Done():
		return errEnded
	}
}

func (s *Server) handleVersion(places *config.Updater, v versionRequest) error {
	h := v.doc.Header()
	places.SetTime(now())
	ch, err := places.PrepareVersion(v.doc, v.delta)
	if err == nil {
		err = s.submitChange(places, ch)
	}
	if err != nil {
		s.log.Error("the version is not used", zap.Uint64("version", h.Number), zap.Stringer("digest", v.doc.Digest()), zap.Error(err))
	}
	return err
}

// submitChange has the loop take over a change, and waits for its verdict.
func (s *Server) submitChange(places *config.Updater, ch *config.Change) error {
	verdict := make(chan error, 1)
	s.onLoop(func() { verdict <- s.applyChange(ch) })
	select {
	case err := <-verdict:
		if err == nil {
			places.SetTime(now())
			places.Commit(ch)
		}
		return err
	case <-s.runCtx.Done():
		return errEnded
	}
}

// applyChange takes over a checked change between two batches, and changes nothing
// unless all of it can be used. It costs by what has changed. What is part of how
// the process was set up (names, addresses, limits) needs a restart.
func (s *Server) applyChange(ch *config.Change) error {
	was, next := s.cfg, ch.Config
	err := error(nil)
	if !ch.FromFile && s.killAt != 0 {
		err = errShuttingDown
	} else {
		err = s.core.Reconfigure(next.Policy, next.RetiredClasses, ch.Pools)
	}
	if err != nil {
		if ch.FromFile {
			s.rejectConfig(err)
		}
		return err
	}
	s.cfg = next
	s.updateNames(ch.Classes, ch.Tenants)
	if len(ch.Classes) > 0 {
		s.restoreUnknownClassKeys()
		if s.maxBackendCalls == 0 && hasBackend(next.Backends) {
			s.log.Warn("backends need descriptors set aside at the start; until a restart their classes fail")
		}
	}
	if ch.FromFile {
		s.applyMachineSettings(ch, was)
	} else {
		h := next.Version().Header()
		s.log.Info("version in force", zap.Uint64("version", h.Number), zap.Stringer("digest", next.Version().Digest()),
			zap.String("author", h.Author), zap.String("reason", h.Reason), zap.Int("classes", len(ch.Classes)), zap.Int("teams", len(ch.Tenants)))
	}
	s.nextReportAt = 0
	s.scheduleIteration()
	return nil
}

// applyMachineSettings takes over what a file says beside classes and teams.
func (s *Server) applyMachineSettings(ch *config.Change, was *config.Config) {
	next := ch.Config
	for _, key := range ch.RestartRequired {
		s.log.Warn("a change that needs a restart is not taken over", zap.String("key", key))
	}
	if ch.FileContentIgnored {
		s.log.Warn("the file's own teams, services and pools are passed over: a version is in force",
			zap.Uint64("version", next.Version().Header().Number))
	}
	if s.killAt != 0 {
		next.StopTimeoutUS = was.StopTimeoutUS
	}
	if next.Engine != was.Engine {
		s.connectEngine() // the link in use is kept until the new one stands
	}
	if next.Ledger != was.Ledger {
		s.openLedger()
	}
	if next.Registry != was.Registry {
		s.reconnectRegistry()
	}
	s.reloadsApplied++
	s.log.Info("configuration reloaded", zap.String("engine", next.Engine), zap.String("registry", next.Registry),
		zap.Int("classes", len(ch.Classes)), zap.Int("teams", len(ch.Tenants)))
}

// rejectConfig notes a configuration that is not used.
func (s *Server) rejectConfig(err error) {
	s.reloadsRejected++
	s.log.Error("the new configuration is not used", zap.Error(err))
}

// initNames tells the fronts and the engine's link which classes and teams there
// are at the start.
func (s *Server) initNames() {
	s.names = &frame.NameIndex{Classes: make(map[string]int, len(s.cfg.Classes)), Tenants: make(map[string]int, len(s.cfg.Tenants))}
	s.keyedClasses = map[string]int{}
	s.uwsgiContracts = &uwsgi.ContractTable{Classes: s.names.Classes, Tenants: s.names.Tenants}
	all := func(n int) []int {
		places := make([]int, n)
		for i := range places {
			places[i] = i
		}
		return places
	}
	s.updateNames(all(len(s.cfg.Classes)), all(len(s.cfg.Tenants)))
}

// updateNames tells them what has changed at these places.
func (s *Server) updateNames(classes, tenants []int) {
	cfg, names := s.cfg, s.names
	for _, on := range []bool{false, true} { // of two classes with one name the one in force counts
		for _, i := range classes {
			if config.IsRetired(cfg.RetiredClasses, i) == on {
				continue
			}
			// One that is no longer in force is still known by its name: it is refused, not an error.
			if _, known := names.Classes[cfg.Classes[i]]; !known || on {
				names.Classes[cfg.Classes[i]] = i
			}
		}
	}
	for i := len(names.Keyed); i < len(cfg.Classes); i++ {
		effect := cfg.Policy.Classes[i].Effect
		names.Keyed = append(names.Keyed, effect == kiteslip.Keyed)
		s.repeatable = append(s.repeatable, effect == kiteslip.Repeatable)
		if effect == kiteslip.Keyed {
			s.keyedClasses[cfg.Classes[i]] = i
		}
	}
	for _, i := range tenants {
		if was := s.tenants; i < len(was) && names.Tenants[was[i]] == i {
			delete(names.Tenants, was[i]) // it is dropped, or another one has its place
		}
	}
	for _, i := range tenants {
		if !config.IsRetired(cfg.RetiredTenants, i) {
			names.Tenants[cfg.Tenants[i]] = i
		}
	}
	s.tenants = cfg.Tenants
	s.uwsgiContracts.Contracts = cfg.UWSGI.Contracts
	s.link.SetClasses(cfg.Classes, s.repeatable)
}

// reconnectRegistry sends the reports to the registry that holds now. It is reached
// beside the loop: its address may be a name that is slow to be looked up, or
// cannot be reached for now. Nothing waits for it, and report tries again.
func (s *Server) reconnectRegistry() {
	if s.heartbeat != nil {
		s.heartbeat.Close()
		s.heartbeat = nil
	}
	s.registryDialID++
	at := s.registryDialID
	if s.cfg.Registry == "" {
		return
	}
	address, name := s.cfg.Registry, s.cfg.Name
	s.registryDialing = true
	go func() {
		heartbeat, err := registry.Dial(address, name)
		s.onLoop(func() {
			switch {
			case at != s.registryDialID: // it has moved meanwhile
				if err == nil {
					heartbeat.Close()
				}
				return
			case err != nil:
				s.registryDialing, s.nextRegistryDialAt = false, now()+registryRetryIntervalUS
				s.log.Warn("registry", zap.Error(err))
				return
			}
			s.registryDialing, s.heartbeat, s.nextReportAt = false, heartbeat, 0
			s.scheduleIteration()
		})
	}()
}

// hasBackend says whether any class is served by a backend.
func hasBackend(backends []string) bool {
	return slices.ContainsFunc(backends, func(address string) bool { return address != "" })
}
