// Package rig2 plays the cases 6 to 10 of the review: it starts the project's
// program as separate processes by the command of the deploy file, and is the
// engine, the callers, the backend and the platform itself. Each case writes what
// was sent, answered and run to a record.
package rig2

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
	"time"
)

// maxDuration is the longest time that a case may take.
const maxDuration = 110 * time.Second

// cases are the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(*rig) bool{}

// Main plays a case from the root of the repository and writes its record. The exit
// code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func Main(name, record string) int {
	if cases[name] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "rig2: no such case; there are", names)
		return 2
	}
	return play(cases[name], record)
}

// play plays one case and returns the exit code.
func play(body func(*rig) bool, record string) (code int) {
	r, err := newRig(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return 2
	}
	late := time.AfterFunc(maxDuration, func() {
		r.note("the case takes too long")
		r.end()
		os.Exit(2)
	})
	defer late.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		r.note("the case was ended by a signal")
		r.end()
		os.Exit(2)
	}()
	defer r.end()
	defer func() {
		switch p := recover().(type) {
		case nil:
		case cannotRun:
			r.note("the case could not run: %s", string(p))
			r.keepLogs()
			fmt.Fprintln(os.Stderr, "rig2: the case could not run:", string(p))
			code = 2
		default:
			panic(p)
		}
	}()
	if body(r) {
		r.note("VERDICT: the rule was broken")
		r.keepLogs()
		fmt.Println("the rule was broken, see", record)
		return 1
	}
	r.note("VERDICT: the rule held")
	fmt.Println("the rule held")
	return 0
}

// cannotRun is what a case panics with if it can't be played.
type cannotRun string

// newRig returns a rig with an empty record and a temporary folder.
func newRig(record string, trouble bool) (*rig, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	if folder, err = filepath.Abs(folder); err != nil {
		return nil, err
	}
	r := &rig{record: f, folder: folder, trouble: trouble, began: time.Now()}
	r.note("trouble: %v", trouble)
	return r, nil
}
