package figures

import "testing"

func TestAppend(t *testing.T) {
	f := Figures{Classes: []Class{{"a-b", 812, 1, 2}, {"x:y|z\n", 0, 0, 3}}, Tries: 815, Active: 14, Applied: 2, Rejected: 1}
	want := "app.ok.a-b:812|c\napp.shed.a-b:1|c\napp.errors.a-b:2|c\n" +
		"app.ok.x_y_z_:0|c\napp.shed.x_y_z_:0|c\napp.errors.x_y_z_:3|c\n" +
		"app.tries:815|c\napp.active:14|g\napp.config_applied:2|c\napp.config_rejected:1|c\n"
	if got := string(f.Append(nil)); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
