package fleetday

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"kiteslip/internal/lab/scale/hollow"
)

// asProcess is set for a process of the day: this binary started again.
const asProcess = "KITESLIP_FLEETDAY_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(asProcess) == "" {
		os.Exit(m.Run())
	}
	n := len(os.Args)
	run := map[string]func() error{
		hollow.CommandServers: func() error { return hollow.RunServers(os.Args[n-1], os.Stdin, os.Stdout) },
		hollow.CommandCallers: func() error { return hollow.RunCallers(os.Args[n-1], os.Stdin, os.Stdout) },
	}[os.Args[n-2]]
	if err := run(); err != nil {
		os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

// build builds the program.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "kiteslip")
	if out, err := exec.Command("go", "build", "-o", program, "kiteslip/cmd/kiteslip").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

func play(t *testing.T, o Options) *Report {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv(asProcess, "1")
	o.Program, o.Self = build(t), []string{self}
	ctx, end := context.WithTimeout(context.Background(), 2*time.Minute)
	defer end()
	report, err := Play(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	report.Write(&text)
	t.Log(text.String())
	for _, s := range report.Short {
		t.Error("short:", s)
	}
	return report
}

// Real servers by their own files: what the day does without control loses no request.
func TestShortDayWithoutControl(t *testing.T) {
	r := play(t, Options{Form: Short(), WithoutControl: true})
	if !strings.Contains(r.Last, " late=0 lost=0 wrong=0 ") {
		t.Error(r.Last)
	}
}

// The short day with all faults: every version in force in order and in time on
// every server that lives, no request lost.
func TestShortDay(t *testing.T) {
	r := play(t, Options{Form: Short()})
	for _, want := range []string{" disorder=0 missing=0 ", " late=0 lost=0 wrong=0 "} {
		if !strings.Contains(r.Last, want) {
			t.Errorf("%q is not in %s", want, r.Last)
		}
	}
}
