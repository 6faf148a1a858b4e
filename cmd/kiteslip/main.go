// Command kiteslip serves requests from callers, with the decisions of the
// kiteslip module, on real sockets.
package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"kiteslip"
	"kiteslip/internal/config"
	"kiteslip/internal/server"
)

// version is set by the linker; see the Makefile.
var version = "development"

type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Serve until SIGTERM (the default)."`
	Check   checkCmd   `cmd:"" help:"Read and check the configuration, and say what it amounts to."`
	Pcap    pcapCmd    `cmd:"" help:"Work with capture files."`
	Keys    keysCmd    `cmd:"" help:"Work with a folder of keyed results that no server uses."`
	Control controlCmd `cmd:"" help:"Settings that a whole fleet serves by, as versions."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type serveCmd struct {
	operatorFlag
	LogLevel string `enum:"debug,info,warn,error" default:"info" env:"KITESLIP_LOG" help:"The least level that is logged: ${enum}."`
}

type operatorFlag struct {
	Operator string `type:"path" env:"KITESLIP_OPERATOR" help:"The operator's file: the uwsgi front, contracts and budgets."`
}

// load reads what the platform gives, the operator's file, or one over the other.
func load(operator string) (*config.Config, error) {
	if operator == "" {
		return config.Load(os.Getenv)
	}
	var platform *config.Config
	if os.Getenv(config.EnvConfig) != "" {
		var err error
		if platform, err = config.Load(os.Getenv); err != nil {
			return nil, err
		}
	}
	return config.LoadOperator(operator, platform)
}

// gcPercent is how far the heap may outgrow what lives before it is collected:
// half of the usual, since memory is shorter than processor time here. What
// lives is a few MB, and a new process should come to rest soon after its start.
const gcPercent = 50

func (c *serveCmd) Run() error {
	signals := server.Notify() // first of all
	cfg, err := load(c.Operator)
	if err != nil {
		return err
	}
	log, err := logger(c.LogLevel)
	if err != nil {
		return err
	}
	defer log.Sync() //nolint:errcheck // standard error cannot always be synced
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(cfg.Limits.Heap())
	debug.SetGCPercent(gcPercent)
	s, err := server.New(cfg, log)
	if err != nil {
		return err
	}
	s.Reload = func() (*config.Config, error) { return load(c.Operator) }
	return s.Serve(signals)
}

func logger(level string) (*zap.Logger, error) {
	at, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	zc := zap.NewProductionConfig()
	zc.Level = at
	zc.OutputPaths, zc.ErrorOutputPaths = []string{"stderr"}, []string{"stderr"}
	return zc.Build()
}

type checkCmd struct{ operatorFlag }

func (c *checkCmd) Run() error {
	cfg, err := load(c.Operator)
	if err != nil {
		return err
	}
	describe(os.Stdout, cfg)
	return nil
}

// describe says what a configuration amounts to, a line for each thing.
func describe(w io.Writer, cfg *config.Config) {
	or := func(address, otherwise string) string {
		if address == "" {
			return otherwise
		}
		return address
	}
	fmt.Fprintf(w, "%s: frames on %s, uwsgi on %s, ops on %s, engine %s, registry %s\n", cfg.Name, or(cfg.Listen, "(off)"),
		or(cfg.UWSGI.Listen, "(off)"), or(cfg.Ops, "(off)"), or(cfg.Engine, "(none)"), or(cfg.Registry, "(none)"))
	fmt.Fprintf(w, "limits: %g cores, %d MB, %d sockets; %d ms from SIGTERM to the kill\n",
		cfg.Limits.Cores, cfg.Limits.MemoryMB, cfg.Limits.Sockets, cfg.Stop/1000)
	for i, name := range cfg.Tenants {
		fmt.Fprintf(w, "team %s: %g requests/s\n", name, cfg.Module.Tenants[i].Quota)
	}
	effects := map[kiteslip.Effect]string{kiteslip.Repeatable: "repeatable", kiteslip.Keyed: "keyed", kiteslip.Once: "once"}
	for i, name := range cfg.Classes {
		class := &cfg.Module.Classes[i]
		fmt.Fprintf(w, "class %s: %s, aim %d ms, deadline %d ms, window %d ms, worth %g, body %d bytes, served by %s\n", name,
			effects[class.Effect], class.Aim/1000, class.Limit/1000, class.Window/1000, class.Worth,
			cfg.UWSGI.Contracts[i].MaxBody, or(cfg.Backends[i], "the engine"))
	}
	if cfg.Ledger != "" {
		fmt.Fprintf(w, "ledger %s, up to %d connections\n", cfg.Ledger, server.LedgerPlaces(cfg))
	} else if cfg.Calling() {
		fmt.Fprintln(w, "no ledger: classes call below, and each call fails")
	}
	describePools(w, cfg)
	if k := &cfg.Keys; k.Folder != "" {
		durability, onError := "power", "keyed requests are refused"
		if k.Process {
			durability = "the process"
		}
		if k.Unsafe {
			onError = "keyed requests run without a record"
		}
		fmt.Fprintf(w, "keys in %s: outlive %s, %d MB at most; where nothing can be recorded %s\n", k.Folder, durability, k.MaxBytes>>20, onError)
	}
}

// describePools says what the pools amount to on this machine.
func describePools(w io.Writer, cfg *config.Config) {
	s := cfg.PoolSettings()
	if s == nil {
		return
	}
	for i, p := range cfg.Pools {
		spec := &s.Pools[i]
		waiting := "what can be served in time"
		if p.Waiting > 0 {
			waiting = fmt.Sprint(p.Waiting)
		}
		fmt.Fprintf(w, "pool %s: %s; of %d places %.2f its own, %.2f at most, %d beyond the limit; of %.0f MB %.1f its own, %.1f at most; waiting: %s\n",
			p.Name, strings.Join(p.Classes, ", "), s.Cores, spec.Share*float64(s.Cores), spec.MostPlaces()*float64(s.Cores),
			s.Beyond(spec.Reserve), s.MemoryKB/1024, spec.OwnMemory()*s.MemoryKB/1024, spec.MostMemory()*s.MemoryKB/1024, waiting)
	}
	if cfg.CheapReserve > 0 {
		fmt.Fprintf(w, "cheapest class, as learned: %d places beyond the limit\n", s.Beyond(cfg.CheapReserve))
	}
}

type versionCmd struct{}

func (c *versionCmd) Run() error {
	fmt.Println("kiteslip", version, runtime.Version())
	return nil
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("kiteslip"), kong.UsageOnError(),
		kong.Description("A server that decides what it takes, runs and turns away."))
	ctx.FatalIfErrorf(ctx.Run())
}
