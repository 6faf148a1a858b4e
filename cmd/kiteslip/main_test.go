package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"kiteslip/internal/config"
)

// Guards the names of commands, flags and arguments, which come from the names of fields.
func TestServeIsTheDefault(t *testing.T) {
	for want, args := range map[string][]string{"serve": nil, "serve ": {"--log-level", "debug"}, "check": {"check"},
		"version": {"version"}, "pcap replay <file>": {"pcap", "replay", "--port", "1", "main.go"}} {
		parser, err := kong.New(&cli{})
		if err != nil {
			t.Fatal(err)
		}
		ctx, err := parser.Parse(args)
		if err != nil {
			t.Errorf("%v: %v", args, err)
			continue
		}
		if got := ctx.Command(); got != strings.TrimSpace(want) {
			t.Errorf("%v runs %q, want %q", args, got, want)
		}
	}
}

// The operator's file in deploy is valid and has the contracts that operators rely on.
func TestOperatorFile(t *testing.T) {
	t.Setenv(config.EnvConfig, "")
	cfg, err := load(filepath.Join("..", "..", "deploy", "operator.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	describe(&out, cfg)
	for _, line := range []string{"uwsgi on 127.0.0.1:3031", "team volta-power: 22 requests/s",
		"class register-address: keyed, aim 1800 ms, deadline 5300 ms, window 15765 ms, worth 4, body 2048 bytes, served by 127.0.0.1:3033"} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("no %q in:\n%s", line, &out)
		}
	}
}

// SIGHUP reloads the configuration and does not end the process, and SIGTERM after it
// drains. Without a handler the signal would end the test's process.
func TestHangupDoesNotStopServer(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	path := filepath.Join(t.TempDir(), "operator.toml")
	text := "[uwsgi]\nlisten = %q\n[machine]\nstop_ms = 1000\n[[team]]\nname = \"a\"\nrequests_per_s = 1\n" +
		"[[service]]\nname = \"s\"\nbackend = \"127.0.0.1:1\"\n[[service.contract]]\nclass = \"c\"\neffect = \"repeatable\"\ndeadline_ms = 100\n"
	if err := os.WriteFile(path, fmt.Appendf(nil, text, address), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(config.EnvConfig, "")
	end := make(chan error, 1)
	serve := serveCmd{operatorFlag: operatorFlag{path}, LogLevel: "error"}
	go func() { end <- serve.Run() }()
	for tries := 0; ; tries++ { // until it serves
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
			break
		}
		if tries == 1000 {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
		select {
		case err := <-end:
			t.Fatalf("the server ended early: %v", err)
		case <-time.After(200 * time.Millisecond):
		}
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case err := <-end:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("SIGTERM does not end the server")
	}
	if got := debug.SetGCPercent(100); got != gcPercent {
		t.Errorf("GC percent is %d, want %d", got, gcPercent)
	}
}

// A file that is not a capture gives an error that names it.
func TestNotACapture(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.pcap")
	if err := os.WriteFile(path, []byte("no capture"), 0o600); err != nil {
		t.Fatal(err)
	}
	err := (&statCmd{File: path}).Run()
	if err == nil || !strings.Contains(err.Error(), "not a capture file") || !strings.Contains(err.Error(), path) {
		t.Errorf("%v", err)
	}
}
