package registry

import (
	"testing"

	"kiteslip/internal/standin"
)

func TestReport(t *testing.T) {
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

// An unreachable registry is not a failure: later reports may succeed.
func TestRegistryDown(t *testing.T) {
	b, err := Dial("127.0.0.1:9", "n3")
	if err != nil {
		t.Fatal(err)
	}
	b.Report(false) //nolint:errcheck // either way
	b.Report(false) //nolint:errcheck // the system may report the first one's failure here
	if err := b.Close(); err != nil {
		t.Error(err)
	}
}

// With a quarter of the reports lost, even nine losses in a row leave one report
// within the 3 s after which the registry drops the server.
func TestReportIntervalToleratesLoss(t *testing.T) {
	if 10*ReportIntervalUS >= 3_000_000 {
		t.Errorf("report interval %d us", ReportIntervalUS)
	}
}
