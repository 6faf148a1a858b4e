package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"kiteslip/internal/config"
	"kiteslip/internal/frame"
	"kiteslip/internal/keystore"
	"kiteslip/internal/standin"
)

// startWithKeyStore starts a process with a key store and without upgrades.
func startWithKeyStore(t *testing.T, dir, engine string) *process {
	t.Helper()
	p := &process{t: t}
	for _, address := range []*string{&p.clients, &p.ops} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		*address = l.Addr().String()
		l.Close()
	}
	file, operatorFile := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.toml")
	text := fmt.Sprintf(`{"name": "n", "listen": %q, "ops": %q, "engine": %q, "stop_ms": 1500, "settings": %s}`, p.clients, p.ops, engine, settings)
	operator := fmt.Sprintf("[keys]\nfolder = %q\ndurability = \"process\"\n", filepath.Join(dir, "keys"))
	for name, text := range map[string]string{file: text, operatorFile: operator} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p.Cmd = exec.Command(os.Args[0])
	p.Env = append(os.Environ(), serverEnv+"=1", "TMPDIR="+dir, config.EnvConfig+"="+file, "KITESLIP_OPERATOR="+operatorFile, "KITESLIP_LOG=warn")
	p.Stderr = os.Stderr
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill(); p.Wait() }) //nolint:errcheck // it may have ended
	p.awaitReady()
	return p
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.Process.Kill() //nolint:errcheck // it may have ended
	p.Wait()         //nolint:errcheck // it was killed
}

// A process is killed during a run, which the engine continues: the next process neither
// runs it again nor loses its result. Results from before the kill are answered again,
// and a run that the engine never ends has an unknown outcome.
func TestKilledPartwayThroughARun(t *testing.T) {
	engine := standin.NewEngine(t, func(body string) standin.Work {
		switch body {
		case "long":
			return standin.Work{Duration: 600 * time.Millisecond, Result: "did long"}
		case "never":
			return standin.Work{Duration: time.Hour}
		}
		return standin.Work{Result: "did " + body}
	})
	dir := t.TempDir()
	p := startWithKeyStore(t, dir, engine.Address)
	c := standin.Dial(t, p.clients)
	ask := func(c *standin.Caller, stream uint32, key string, name uint64) {
		c.Send(stream, standin.Fields("note", "red", key, name, 2*time.Second), key)
	}
	for i, key := range []string{"long", "never", "short"} {
		ask(c, uint32(i+1), key, uint64(i+1))
	}
	if got, ok := c.Next(); !ok || got.Stream != 3 || got.Code != frame.Served {
		t.Fatalf("%+v", got)
	}
	for began := time.Now(); engine.Runs()["long"]+engine.Runs()["never"] < 2; time.Sleep(time.Millisecond) {
		if time.Since(began) > 2*time.Second {
			t.Fatal("the runs do not start")
		}
	}
	p.kill()
	p = startWithKeyStore(t, dir, engine.Address)
	if got := standin.AdminCommand(t, p.ops, "show-stat"); !strings.Contains(got, "app.keys.restored:3|g") || !strings.Contains(got, "app.keys.unknown:2|g") {
		t.Errorf("show-stat replies %s", got)
	}
	c = standin.Dial(t, p.clients)
	want := map[uint32]string{1: "did long", 2: "unknown", 3: "did short"}
	for i, key := range []string{"long", "never", "short"} {
		ask(c, uint32(i+1), key, uint64(i+11))
	}
	for range want {
		got, ok := c.Next()
		switch {
		case !ok:
			t.Fatal("the connection ended")
		case want[got.Stream] == "unknown" && got.Code == frame.Failed:
		case got.Code != frame.Served || got.Body != want[got.Stream]:
			t.Errorf("%+v, want %s", got, want[got.Stream])
		}
	}
	time.Sleep(200 * time.Millisecond)
	ask(c, 9, "never", 21)
	if got, _ := c.Next(); got.Code != frame.Failed {
		t.Errorf("a run that never ended: %+v", got)
	}
	for body, n := range engine.Runs() {
		if n != 1 {
			t.Errorf("%s ran %d times", body, n)
		}
	}
}

// The keys commands read a folder that no process uses, and fail on one in use.
func TestKeysTools(t *testing.T) {
	folder := t.TempDir()
	now := time.Now().UnixMicro()
	s, err := keystore.Open(keystore.Options{Folder: folder, Now: keystore.ClockReading{Wall: now, Uptime: 1, BootID: 1}})
	if err != nil {
		t.Fatal(err)
	}
	put := func(key string, windowEnd int64, finished bool) {
		r := keystore.Record{Class: "note", Key: key, TryID: "n", Arrived: now, WindowEnd: windowEnd, Finished: finished}
		if finished {
			r.Outcome, r.Result = 1, []byte("result of "+key)
		}
		if err := s.Commit(keystore.ClockReading{Wall: now, Uptime: 2, BootID: 1}, []keystore.Op{{Record: r}}); err != nil {
			t.Fatal(err)
		}
	}
	put("a", now+60_000_000, true)
	put("b", now+60_000_000, false)
	put("c", now-60_000_000, true)
	in := keysFolder{folder}
	if err := (&keysVerify{in}).Run(); err == nil || !strings.Contains(err.Error(), "another process uses the folder") {
		t.Errorf("a folder in use: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := (&keysStat{in}).print(&out, time.UnixMicro(now)); err != nil ||
		!strings.Contains(out.String(), "1 keys with a result (11 bytes), 1 begun without an end, 1 whose window has ended") {
		t.Errorf("%v: %s", err, out.String())
	}
	if err := (&keysVerify{in}).Run(); err != nil {
		t.Error(err)
	}
	out.Reset()
	if err := (&keysDump{in}).print(&out); err != nil || strings.Count(out.String(), "\n") != 3 {
		t.Errorf("%v: %s", err, out.String())
	}
	var line map[string]any
	if err := json.Unmarshal(out.Bytes()[:bytes.IndexByte(out.Bytes(), '\n')], &line); err != nil || line["key"] != "c" || line["state"] != "ok" {
		t.Errorf("%v: %v", err, line)
	}
	if err := (&keysCompact{in}).Run(); err != nil {
		t.Error(err)
	}
	out.Reset()
	if err := (&keysDump{in}).print(&out); err != nil || strings.Contains(out.String(), `"key":"c"`) || strings.Count(out.String(), "\n") != 2 {
		t.Errorf("after compact: %v: %s", err, out.String())
	}
	if err := (&keysStat{keysFolder{t.TempDir()}}).Run(); err == nil || !strings.Contains(err.Error(), "no store of keys") {
		t.Errorf("an empty folder: %v", err)
	}
}

// The process that owns a key store is killed, once without a successor and once while a
// successor waits for the store: the next process opens the store as soon as the lock is
// free, answers with the stored results, and runs none of the keys again.
func TestKeyStoreOwnerKilled(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	clients, dir := l.(*net.TCPListener), t.TempDir()
	operatorFile := filepath.Join(dir, "operator.toml")
	if err := os.WriteFile(operatorFile, []byte(fmt.Sprintf("[keys]\nfolder = %q\ndurability = \"process\"\n", filepath.Join(dir, "keys"))), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("KITESLIP_OPERATOR", operatorFile)
	old := startProcess(t, clients, dir)
	if code := old.ask("note", "first", "b", 1); code != frame.Served {
		t.Fatalf("code %d", code)
	}
	old.kill()
	next := startProcess(t, clients, dir)
	if code := next.ask("note", "first", "b", 2); code != frame.Served {
		t.Errorf("after the owner was killed: code %d", code)
	}
	if code := next.ask("note", "second", "b", 3); code != frame.Served { // no key is in doubt, since the store has them all
		t.Errorf("a new key after the owner was killed: code %d", code)
	}
	third := startProcess(t, clients, dir)
	next.kill()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if strings.Contains(standin.AdminCommand(t, third.ops, "show-stat"), "app.keys.restored:") {
			break
		}
		if time.Since(began) > 5*time.Second {
			t.Fatal("the third process does not open the store")
		}
	}
	for i, key := range []string{"first", "second"} {
		if code := third.ask("note", key, "b", uint64(10+i)); code != frame.Served {
			t.Errorf("%s after two owners were killed: code %d", key, code)
		}
	}
}
