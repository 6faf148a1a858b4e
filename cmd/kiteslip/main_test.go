package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"kiteslip/internal/config"
)

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

// The operator's file that is handed over can be read, and says what it promises.
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

func TestForeignCapture(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.pcap")
	if err := os.WriteFile(path, []byte("no capture"), 0o600); err != nil {
		t.Fatal(err)
	}
	err := (&statCmd{File: path}).Run()
	if err == nil || !strings.Contains(err.Error(), "not a capture file") || !strings.Contains(err.Error(), path) {
		t.Errorf("%v", err)
	}
}
