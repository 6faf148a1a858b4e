package metrics

import "testing"

// Guards the names and the format of the metrics against a change, and against names of
// classes that would break a line.
func TestAppend(t *testing.T) {
	f := Snapshot{Classes: []Class{{"a-b", 812, 1, 2}, {"x:y|z\n", 0, 0, 3}}, Tries: 815, Active: 14, ConfigsApplied: 2, ConfigsRejected: 1}
	want := "app.ok.a-b:812|c\napp.shed.a-b:1|c\napp.errors.a-b:2|c\n" +
		"app.ok.x_y_z_:0|c\napp.shed.x_y_z_:0|c\napp.errors.x_y_z_:3|c\n" +
		"app.tries:815|c\napp.active:14|g\napp.config_applied:2|c\napp.config_rejected:1|c\n"
	if got := string(f.Append(nil)); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
	f = Snapshot{Control: &Control{Version: 12, AgeMS: 3, LagMS: 4, Connected: true, Fork: true, Applied: 5, Snapshots: 6, Switches: 7, SentBytes: 8, ReceivedBytes: 9}}
	want = "app.tries:0|c\napp.active:0|g\napp.config_applied:0|c\napp.config_rejected:0|c\n" +
		"app.control.version:12|g\napp.control.age_ms:3|g\napp.control.lag_ms:4|g\napp.control.followed:1|g\napp.control.refused:0|g\n" +
		"app.control.fork:1|g\napp.control.applied:5|c\napp.control.snapshots:6|c\napp.control.switches:7|c\n" +
		"app.control.sent_bytes:8|c\napp.control.received_bytes:9|c\n"
	if got := string(f.Append(nil)); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
