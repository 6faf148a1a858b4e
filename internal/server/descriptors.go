package server

import (
	"kiteslip/internal/config"
)

// DescriptorBudget is the division of the file descriptors that the platform
// grants. Callers, however many connect and stay, never take those that the
// server itself needs.
type DescriptorBudget struct {
	Internal          int // for the loop, the engine's link and a dial beside it, the registry, listeners and files
	Admin             int // connections of the admin endpoint
	Ledger            int // connections to the ledger
	BackendCalls      int // backend calls that may be in progress at once
	CallerDescriptors int // for callers' connections; one that is being enrolled takes two
	CallerConnections int // maximum of callers' connections
}

const (
	internalDescriptors  = 24 // 15 when idle, 19 while the engine is dialed beside a link in use
	handoverDescriptors  = 8  // the handover endpoint, its lock and connections
	keyDescriptors       = 64 // the key store: its lock, logs and tables
	controlDescriptors   = 8  // a stream to a publisher and a probe of another one; the stored version, its lock and folder
	adminDivisor         = 8  // the admin endpoint may take this fraction of the descriptors
	ledgerDivisor        = 8  // ... and connections to the ledger this one,
	ledgerConnectionsCap = 64 // ... up to this many
	backendDivisor       = 4  // backend calls may take this fraction of the rest
	enrolReserveDivisor  = 16 // this fraction is reserved for connections that are being enrolled,
	maxEnrolReserve      = 40 // ... up to this many
	minCallerConnections = 2
)

// NewDescriptorBudget divides the descriptors that the limits grant.
func NewDescriptorBudget(cfg *config.Config) DescriptorBudget {
	budget := DescriptorBudget{Internal: internalDescriptors, Ledger: MaxLedgerConnections(cfg)}
	if cfg.InheritedFD != 0 {
		budget.Internal += handoverDescriptors
	}
	if cfg.Keys.Folder != "" {
		budget.Internal += min(keyDescriptors, cfg.Limits.Sockets/4)
	}
	if cfg.Control.Enabled() {
		budget.Internal += controlDescriptors
	}
	if cfg.Ops != "" {
		budget.Admin = max(1, min(maxAdminConns, cfg.Limits.Sockets/adminDivisor))
	}
	rest := cfg.Limits.Sockets - budget.Internal - budget.Admin - budget.Ledger
	if hasBackend(cfg.Backends) {
		// A connection has two while it is enrolled.
		budget.BackendCalls = max(1, rest/backendDivisor/enrolDescriptors)
		rest -= enrolDescriptors * budget.BackendCalls
	}
	budget.CallerDescriptors = max(minCallerConnections*enrolDescriptors, rest)
	budget.CallerConnections = max(minCallerConnections, budget.CallerDescriptors-max(enrolDescriptors, min(maxEnrolReserve, cfg.Limits.Sockets/enrolReserveDivisor)))
	return budget
}

// MaxLedgerConnections is the maximum of connections to the ledger that a server holds.
func MaxLedgerConnections(cfg *config.Config) int {
	if cfg.Ledger == "" {
		return 0
	}
	return max(1, min(cfg.Limits.Sockets/ledgerDivisor, ledgerConnectionsCap))
}
