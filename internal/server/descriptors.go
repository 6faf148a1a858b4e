package server

import (
	"kiteslip/internal/config"
)

// DescriptorBudget say how the descriptors that the platform grants are divided, so that
// callers, however many come and stay, never take what the server itself needs.
type DescriptorBudget struct {
	Internal          int // the loop, the engine's link and its search, the registry, listeners, files
	Admin             int // operators' connections
	Ledger            int // connections to the ledger
	BackendCalls      int // calls of uwsgi servers at once
	CallerDescriptors int // that callers' connections may take, those that are entering twice
	CallerConnections int // callers' connections at most
}

const (
	internalDescriptors  = 24 // measured: 15 at rest, 19 while a link is sought beside one in use
	handoverDescriptors  = 8  // an upgrade's meeting place, its lock and links
	keyDescriptors       = 64 // the store of keys: its lock, logs and tables
	controlDescriptors   = 8  // a stream to a publisher and one that is asked beside it; the kept version, its lock and folder
	adminDivisor         = 8  // the part of the descriptors that the admin endpoint may take
	ledgerDivisor        = 8  // ... that connections to the ledger may take
	ledgerConnectionsCap = 64
	backendDivisor       = 4  // the part of what is left that calls of uwsgi servers may take
	enrolReserveDivisor  = 16 // ... that is kept for connections that are entering
	maxEnrolReserve      = 40
	minCallerConnections = 2
)

// NewDescriptorBudget divides the descriptors that the limits grant.
func NewDescriptorBudget(cfg *config.Config) DescriptorBudget {
	p := DescriptorBudget{Internal: internalDescriptors, Ledger: MaxLedgerConnections(cfg)}
	if cfg.InheritedFD != 0 {
		p.Internal += handoverDescriptors
	}
	if cfg.Keys.Folder != "" {
		p.Internal += min(keyDescriptors, cfg.Limits.Sockets/4)
	}
	if cfg.Control.Enabled() {
		p.Internal += controlDescriptors
	}
	if cfg.Ops != "" {
		p.Admin = max(1, min(maxAdminConns, cfg.Limits.Sockets/adminDivisor))
	}
	rest := cfg.Limits.Sockets - p.Internal - p.Admin - p.Ledger
	if hasBackend(cfg.Backends) {
		// One that is being handed to the loop has two for a moment.
		p.BackendCalls = max(1, rest/backendDivisor/enrolDescriptors)
		rest -= enrolDescriptors * p.BackendCalls
	}
	p.CallerDescriptors = max(minCallerConnections*enrolDescriptors, rest)
	p.CallerConnections = max(minCallerConnections, p.CallerDescriptors-max(enrolDescriptors, min(maxEnrolReserve, cfg.Limits.Sockets/enrolReserveDivisor)))
	return p
}

// MaxLedgerConnections is how many connections to the ledger a server may hold.
func MaxLedgerConnections(cfg *config.Config) int {
	if cfg.Ledger == "" {
		return 0
	}
	return max(1, min(cfg.Limits.Sockets/ledgerDivisor, ledgerConnectionsCap))
}
