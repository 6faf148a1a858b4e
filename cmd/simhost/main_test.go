package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"strings"
	"testing"
)

// enlist returns a frame that starts instance 1 with the given settings.
func enlist(settings string) []byte {
	le := binary.LittleEndian
	body := le.AppendUint32(le.AppendUint64([]byte{3, 1, 0}, 9), uint32(len(settings)))
	body = append(body, settings...)
	head := le.AppendUint32(le.AppendUint32(le.AppendUint64(nil, 1000), uint32(len(body))), 1)
	return append(head, body...)
}

// usable are settings that can be used.
const usable = `{"classes":[{"effect":"repeatable","hard_limit_us":5000000,"on_time_us":1000000,"worth":1}],
	"family_info":{"cores":1,"memory_kb":10000}}`

// Faulty settings and records for unknown instances end the process with an error that says where they are.
func TestServe(t *testing.T) {
	disconnected := []byte{0xe8, 7, 0, 0, 0, 0, 0, 0, 7, 0, 0, 0, 1, 0, 0, 0, 7, 1, 0, 5, 0, 0, 0}
	for name, c := range map[string]struct {
		input []byte
		want  string // part of the error, "" = none
	}{
		"nothing":          {nil, ""},
		"start":            {enlist(usable), ""},
		"start and event":  {append(enlist(usable), disconnected...), ""},
		"unknown instance": {disconnected, "byte 16: record for instance 1"},
		"bad settings":     {enlist(`{`), "byte 16: instance 1: settings:"},
		"no cores":         {enlist(strings.Replace(usable, `"cores":1`, `"cores":0`, 1)), "Settings.Cores is 0"},
	} {
		err := serve(bytes.NewReader(c.input), io.Discard)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}
