// Command kiteslip is the server: a broker that serves the requests of callers on real
// sockets by the decisions of the policy in the kiteslip package. It is also a control
// machine, which publishes fleet versions, and has commands for operators.
package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"kiteslip/internal/config"
	"kiteslip/internal/control/follow"
	"kiteslip/internal/server"
)

// version is set by the linker; see the Makefile.
var version = "development"

// cli is the command line; kong derives the names of commands, flags and arguments from
// the names of fields.
type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Serve until SIGTERM (the default)."`
	Check   checkCmd   `cmd:"" help:"Read and check the configuration, and say what it amounts to."`
	Pcap    pcapCmd    `cmd:"" help:"Work with capture files."`
	Keys    keysCmd    `cmd:"" help:"Work with a folder of keyed results that no server uses."`
	Control controlCmd `cmd:"" help:"Settings that a whole fleet serves by, as versions."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// serveCmd is kiteslip serve.
type serveCmd struct {
	operatorFlag
	LogLevel string `enum:"debug,info,warn,error" default:"info" env:"KITESLIP_LOG" help:"The least level that is logged: ${enum}."`
}

// operatorFlag is the flag of the commands that read the configuration.
type operatorFlag struct {
	Operator string `type:"path" env:"KITESLIP_OPERATOR" help:"The operator's file: the uwsgi front, contracts and budgets."`
}

// load reads the platform's file, the operator's file, or the latter applied to the former.
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

// gcPercent is the growth of the heap over the live data at which it is collected. It is
// half of Go's default, since memory is scarcer than processor time here; the live data
// is a few MB, and the memory of a new process should settle soon after its start.
const gcPercent = 50

// Run serves until the shutdown notice.
func (c *serveCmd) Run() error {
	signals := server.Notify() // first, so that no signal is missed
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
	debug.SetMemoryLimit(cfg.Limits.MaxHeapBytes())
	debug.SetGCPercent(gcPercent)
	var follower *follow.Follower
	if cfg.Control.Enabled() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if cfg, follower, signals, err = awaitInitialVersion(ctx, cfg, signals, log); err != nil {
			return err
		}
	}
	s, err := server.New(cfg, log)
	if err != nil {
		return err
	}
	if follower != nil {
		s.Follow(follower)
	}
	s.LoadConfig = func() (*config.Config, error) { return load(c.Operator) }
	return s.Serve(signals)
}

// logger returns a logger that writes JSON lines to standard error.
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

// checkCmd is kiteslip check.
type checkCmd struct{ operatorFlag }

// Run validates the configuration and prints a summary.
func (c *checkCmd) Run() error {
	cfg, err := load(c.Operator)
	if err != nil {
		return err
	}
	describe(os.Stdout, cfg)
	return nil
}

// versionCmd is kiteslip version.
type versionCmd struct{}

// Run prints the versions of the program and of Go.
func (c *versionCmd) Run() error {
	fmt.Println("kiteslip", version, runtime.Version())
	return nil
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("kiteslip"), kong.UsageOnError(),
		kong.Description("A server that decides which requests it admits, runs and refuses."))
	ctx.FatalIfErrorf(ctx.Run())
}
