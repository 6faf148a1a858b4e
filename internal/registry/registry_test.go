package registry

import (
	"testing"

	"kiteslip/internal/standin"
)

func TestReports(t *testing.T) {
	address, reports := standin.NewRegistry(t)
	b, err := Dial(address, "n3")
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	for want, draining := range map[string]bool{"BEAT n3 ready": false, "BEAT n3 draining": true} {
		if err := b.Report(draining); err != nil {
			t.Fatal(err)
		}
		if got := <-reports; got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// A registry that is down is no reason to fail: later reports may pass.
func TestRegistryDown(t *testing.T) {
	b, err := Dial("127.0.0.1:9", "n3")
	if err != nil {
		t.Fatal(err)
	}
	b.Report(false) //nolint:errcheck // either way
	b.Report(false) //nolint:errcheck // the system may tell of the first one's fate here
	if err := b.Close(); err != nil {
		t.Error(err)
	}
}

// A quarter of the reports is lost: even with nine lost in a row one comes
// before the registry drops the server, 3 s after the last.
func TestIntervalOutlivesLosses(t *testing.T) {
	if 10*ReportIntervalUS >= 3_000_000 {
		t.Errorf("a report every %d us", ReportIntervalUS)
	}
}
