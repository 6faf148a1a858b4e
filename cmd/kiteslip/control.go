package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"kiteslip/internal/config"
	"kiteslip/internal/control/document"
	"kiteslip/internal/control/follow"
	"kiteslip/internal/control/protocol"
	"kiteslip/internal/control/publish"
)

// controlCmd is kiteslip control: to be a control machine, and the commands of an
// operator to control machines.
type controlCmd struct {
	Serve   controlServe   `cmd:"" help:"Be a control machine until SIGTERM."`
	Publish controlPublish `cmd:"" help:"Publish an operator's file as the next version."`
	Status  controlStatus  `cmd:"" help:"Say what is in force, who follows, and who lags."`
}

// controlServe is kiteslip control serve.
type controlServe struct {
	Config   string `required:"" type:"path" env:"KITESLIP_CONTROL" help:"The control machine's file, see deploy/control.toml."`
	LogLevel string `enum:"debug,info,warn,error" default:"info" env:"KITESLIP_LOG" help:"The least level that is logged: ${enum}."`
}

// controlHeapBytes is the soft limit of a control machine's Go heap.
const controlHeapBytes = 512 << 20

// Run serves until SIGTERM.
func (c *controlServe) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt) // first, so that no signal is missed
	defer stop()
	cfg, err := config.LoadControlMachine(c.Config)
	if err != nil {
		return err
	}
	log, err := logger(c.LogLevel)
	if err != nil {
		return err
	}
	defer log.Sync() //nolint:errcheck // standard error cannot always be synced
	debug.SetMemoryLimit(controlHeapBytes)
	set := publish.Settings{Name: cfg.Name, Region: cfg.Region, Listen: cfg.Listen, Folder: cfg.Folder, MaxDeltas: cfg.MaxDeltas, Log: log}
	for _, f := range cfg.Upstreams {
		set.Upstreams = append(set.Upstreams, follow.Endpoint(f))
	}
	name := fnv.New64a()
	name.Write([]byte(cfg.Name)) //nolint:errcheck // a hash returns none
	set.Seed = name.Sum64()
	p, err := publish.Open(set)
	if err != nil {
		return err
	}
	return errors.Join(p.Serve(ctx), p.Close())
}

// requestTimeout is the limit for all requests of a command to one control machine.
const requestTimeout = 30 * time.Second

// controlPublish is kiteslip control publish.
type controlPublish struct {
	File   string `arg:"" type:"existingfile" help:"An operator's file: its teams, services and pools count, all else is passed over."`
	To     string `required:"" help:"Address of the machine that originates versions."`
	Author string `required:"" help:"Who publishes."`
	Reason string `required:"" help:"Why, in a plain sentence."`
	Base   string `help:"Digest of the version that must be in force, 12 hex digits at least; without it any."`
}

// Run publishes the file and prints the version.
func (c *controlPublish) Run() error { return c.run(os.Stdout) }

func (c *controlPublish) run(w io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	client := publish.Client{Address: c.To}
	var base document.Digest
	if c.Base != "" {
		v, err := client.Version(ctx)
		if err != nil {
			return err
		}
		if len(c.Base) < 2*6 || !strings.HasPrefix(v.Digest, strings.ToLower(c.Base)) {
			return fmt.Errorf("--base is %q, in force is version %d, %s", c.Base, v.Number, v.Digest)
		}
		// The originator compares the whole digest again when it makes the version.
		if base, err = v.ParseDigest(); err != nil {
			return err
		}
	}
	h, err := client.PublishFile(ctx, text, document.Meta{Author: c.Author, Reason: c.Reason}, base)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "version %d %v is in force at %s, after %v\n", h.Number, h.Digest(), c.To, h.Parent)
	return nil
}

// controlStatus is kiteslip control status.
type controlStatus struct {
	At      []string `required:"" help:"Addresses of control machines, with commas between."`
	Lagging bool     `help:"Only followers that lag, refused a version or are on a fork; ends with 1 if there are any."`
}

// Run prints the state of the control machines and their followers.
func (c *controlStatus) Run() error { return c.run(os.Stdout) }

func (c *controlStatus) run(w io.Writer) error {
	var errs []error
	answers := make([]machineStatus, len(c.At))
	connected := map[string]bool{} // followers with a connection to any of the machines
	for i, address := range c.At {
		if answers[i] = queryMachine(address); answers[i].err != nil {
			errs = append(errs, fmt.Errorf("%s does not answer", address))
		}
		for _, f := range answers[i].followers {
			connected[f.Name] = connected[f.Name] || f.Connected
		}
	}
	lagging := 0
	for i := range answers {
		a := &answers[i]
		a.followers = slices.DeleteFunc(a.followers, func(f protocol.Follower) bool {
			// A follower that has switched to another machine is listed by that one.
			return !f.Connected && connected[f.Name] || c.Lagging && f.LagMS == 0 && f.RefusalReason == "" && !f.Fork
		})
		lagging += len(a.followers)
		if err := a.print(w, c.At[i]); err != nil {
			return err
		}
	}
	if c.Lagging && lagging > 0 {
		errs = append(errs, fmt.Errorf("%d lag, refused a version or are on a fork", lagging))
	}
	return errors.Join(errs...)
}

// machineStatus is the answer of one control machine.
type machineStatus struct {
	version   *protocol.Version
	followers []protocol.Follower
	err       error
}

// queryMachine requests the version and the followers of a control machine.
func queryMachine(address string) (a machineStatus) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	client := publish.Client{Address: address}
	if a.version, a.err = client.Version(ctx); a.err == nil {
		a.followers, a.err = client.Followers(ctx, false)
	}
	return a
}

// print prints the status of one machine and a table of its followers.
func (a *machineStatus) print(w io.Writer, address string) error {
	if a.err != nil {
		_, err := fmt.Fprintf(w, "%s: %v\n", address, a.err)
		return err
	}
	v, role := a.version, "originates"
	if v.Originator != "" {
		role = fmt.Sprintf("follows %s, heard %d ms ago", v.Originator, v.OriginatorSilenceMS)
	}
	fmt.Fprintf(w, "%s in %s at %s: %s\n", v.PublisherName, v.PublisherRegion, address, role)
	if v.Number == 0 {
		fmt.Fprintln(w, "version 0: nothing was published")
	} else {
		fmt.Fprintf(w, "version %d %.12s of %s by %s: %s\n", v.Number, v.Digest, time.UnixMicro(v.TimeUS).UTC().Format(time.RFC3339), v.Author, v.Reason)
	}
	fmt.Fprintf(w, "the log reaches back to version %d; %d followers, %d forks seen\n", v.Oldest, v.Followers, v.Forks)
	if v.DiskError != "" {
		fmt.Fprintf(w, "DISK: %s\n", v.DiskError)
	}
	if len(a.followers) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "FOLLOWER\tREGION\tVERSION\tDIGEST\tLAG\tSTATE")
	for _, f := range a.followers {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d ms\t%s\n", f.Name, f.Region, f.Number, f.Digest, f.LagMS, followerState(&f))
	}
	return t.Flush()
}

// followerState describes a follower in a few words.
func followerState(f *protocol.Follower) string {
	var words []string
	switch {
	case f.Leaving:
		words = append(words, fmt.Sprintf("left %d s ago", f.LastSeenAgoMS/1000))
	case !f.Connected:
		words = append(words, fmt.Sprintf("gone for %d s", f.LastSeenAgoMS/1000))
	default:
		words = append(words, "connected")
	}
	if f.Publisher {
		words = append(words, "control machine")
	}
	if f.Fork {
		words = append(words, "FORK")
	}
	if f.RefusalReason != "" {
		words = append(words, "refused: "+f.RefusalReason)
	}
	return strings.Join(words, ", ")
}
