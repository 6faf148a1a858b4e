// Command kiteslip serves requests from callers, with the decisions of the
// kiteslip module, on real sockets.
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
	debug.SetMemoryLimit(cfg.Limits.MaxHeapBytes())
	debug.SetGCPercent(gcPercent)
	var follower *follow.Follower
	if cfg.Control.Enabled() {
		ctx, end := context.WithCancel(context.Background())
		defer end()
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
