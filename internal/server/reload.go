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

// versionRequest asks the reload goroutine to apply a version.
type versionRequest struct {
	doc    *document.Document
	delta  *document.Delta // from the version in force; nil = the whole document is to be applied
	result chan error
}

var (
	errShuttingDown = errors.New("server: the notice to leave has come, no version is taken over any more")
	errEnded        = errors.New("server: the run has ended")
)

// reloads handles SIGHUP and versions, one after the other, outside the loop and
// apart from the shutdown notice, so that a file that is slow to read delays
// neither. Work that grows with the whole configuration is done here; the loop gets
// a prepared change. The next one is prepared only after the result of the last is
// known, so that each is based on the configuration in force.
func (s *Server) reloads(signals <-chan os.Signal) {
	updater := config.NewUpdater(s.cfg) // nothing else writes s.cfg before the first change
	for {
		select {
		case <-signals:
			s.reload(updater)
		case v := <-s.versionRequests:
			v.result <- s.handleVersion(updater, v)
		case <-s.runCtx.Done():
			return
		}
	}
}

// reload reads the configuration again and applies what can change while the
// server runs. The file is read and checked as a whole first; if it is incomplete
// or invalid, the configuration in use stays.
func (s *Server) reload(updater *config.Updater) {
	if s.LoadConfig == nil {
		s.log.Warn("reload ignored: the server has no configuration source")
		return
	}
	next, err := s.LoadConfig()
	var ch *config.Change
	if err == nil {
		updater.SetTime(now())
		ch, err = updater.PrepareFile(next)
	}
	if err != nil {
		s.onLoop(func() { s.rejectConfig(err) })
		return
	}
	s.submitChange(updater, ch) //nolint:errcheck // the loop has logged and counted the error
}

// applyVersion applies a version of the fleet's configuration and returns when it is
// in force, or with the reason why it was refused; the previous one then stays in
// force. delta leads from the version in force to doc; nil = doc came as a
// snapshot. It must not be called on the loop.
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
	case err := <-v.result: // not ended by ctx: the result is near, and the caller needs it
		return err
	case <-s.runCtx.Done():
		return errEnded
	}
}

// handleVersion prepares and applies one version.
func (s *Server) handleVersion(updater *config.Updater, v versionRequest) error {
	h := v.doc.Header()
	updater.SetTime(now())
	ch, err := updater.PrepareVersion(v.doc, v.delta)
	if err == nil {
		err = s.submitChange(updater, ch)
	}
	if err != nil {
		s.log.Error("version rejected", zap.Uint64("version", h.Number), zap.Stringer("digest", v.doc.Digest()), zap.Error(err))
	}
	return err
}

// submitChange has the loop apply a change, and waits for the result.
func (s *Server) submitChange(updater *config.Updater, ch *config.Change) error {
	result := make(chan error, 1)
	s.onLoop(func() { result <- s.applyChange(ch) })
	select {
	case err := <-result:
		if err == nil {
			updater.SetTime(now())
			updater.Commit(ch)
		}
		return err
	case <-s.runCtx.Done():
		return errEnded
	}
}

// applyChange applies a checked change between two steps of the core, as a whole
// or not at all. Its cost grows with what has changed, not with the configuration.
// Names, listen addresses and limits are fixed at the start and need a restart.
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
			s.log.Warn("backends configured after the start have no descriptors reserved; their classes fail until a restart")
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

// applyMachineSettings applies the settings of a file other than classes and teams.
func (s *Server) applyMachineSettings(ch *config.Change, was *config.Config) {
	next := ch.Config
	for _, key := range ch.RestartRequired {
		s.log.Warn("change ignored: it needs a restart", zap.String("key", key))
	}
	if ch.FileContentIgnored {
		s.log.Warn("the file's teams, services and pools are ignored: a version of the fleet is in force",
			zap.Uint64("version", next.Version().Header().Number))
	}
	if s.killAt != 0 {
		next.StopTimeoutUS = was.StopTimeoutUS
	}
	if next.Engine != was.Engine {
		s.connectEngine() // the link in use is kept until the new one is established
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

// rejectConfig counts and logs a configuration that is not used.
func (s *Server) rejectConfig(err error) {
	s.reloadsRejected++
	s.log.Error("the new configuration is not used", zap.Error(err))
}

// initNames passes the initial names of classes and teams to the front ends and
// the engine's link.
func (s *Server) initNames() {
	s.names = &frame.NameIndex{Classes: make(map[string]int, len(s.cfg.Classes)), Tenants: make(map[string]int, len(s.cfg.Tenants))}
	s.keyedClasses = map[string]int{}
	s.uwsgiContracts = &uwsgi.ContractTable{Classes: s.names.Classes, Tenants: s.names.Tenants}
	all := func(n int) []int {
		slots := make([]int, n)
		for i := range slots {
			slots[i] = i
		}
		return slots
	}
	s.updateNames(all(len(s.cfg.Classes)), all(len(s.cfg.Tenants)))
}

// updateNames passes on the changes in these class and tenant slots.
func (s *Server) updateNames(classes, tenants []int) {
	cfg, names := s.cfg, s.names
	for _, retired := range []bool{false, true} { // a configured class takes precedence over a retired one of the same name
		for _, i := range classes {
			if config.IsRetired(cfg.RetiredClasses, i) == retired {
				continue
			}
			// A retired class is still known by its name: its requests are refused, not malformed.
			if _, known := names.Classes[cfg.Classes[i]]; !known || retired {
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
			delete(names.Tenants, was[i]) // it was dropped, or its slot is reused
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

// reconnectRegistry begins to dial the configured registry and sends later reports
// there. The dial runs outside the loop, as looking up the address may be slow or
// fail. Nothing waits for it, and report tries again.
func (s *Server) reconnectRegistry() {
	if s.heartbeat != nil {
		s.heartbeat.Close()
		s.heartbeat = nil
	}
	s.registryDialID++
	dialID := s.registryDialID
	if s.cfg.Registry == "" {
		return
	}
	address, name := s.cfg.Registry, s.cfg.Name
	s.registryDialing = true
	go func() {
		heartbeat, err := registry.Dial(address, name)
		s.onLoop(func() {
			switch {
			case dialID != s.registryDialID: // the registry's address has changed meanwhile
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

// hasBackend reports whether any class is served by a backend.
func hasBackend(backends []string) bool {
	return slices.ContainsFunc(backends, func(address string) bool { return address != "" })
}
