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

// processEnv is set in the environment of the day's processes, which run this test binary.
const processEnv = "KITESLIP_FLEETDAY_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(processEnv) == "" {
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

// buildProgram builds the kiteslip program and returns its path.
func buildProgram(t *testing.T) string {
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
	t.Setenv(processEnv, "1")
	o.Program, o.Self = buildProgram(t), []string{self}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	report, err := Play(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	report.Write(&text)
	t.Log(text.String())
	for _, s := range report.Unmet {
		t.Error("short:", s)
	}
	return report
}

// Without control, the real servers run by their own files and no request is lost.
func TestShortDayWithoutControl(t *testing.T) {
	r := play(t, Options{Form: Short(), WithoutControl: true})
	if !strings.Contains(r.Summary, " late=0 lost=0 wrong=0 ") {
		t.Error(r.Summary)
	}
}

// The short day with all faults: every version comes into force in order and in time
// on every live server, and no request is lost.
func TestShortDay(t *testing.T) {
	r := play(t, Options{Form: Short()})
	for _, want := range []string{" disorder=0 missing=0 ", " late=0 lost=0 wrong=0 "} {
		if !strings.Contains(r.Summary, want) {
			t.Errorf("%q is not in %s", want, r.Summary)
		}
	}
}
