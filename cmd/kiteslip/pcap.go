package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"

	"kiteslip/internal/pcap"
	"kiteslip/internal/replay"
)

// pcapCmd is kiteslip pcap.
type pcapCmd struct {
	Stat   statCmd   `cmd:"" help:"List the TCP streams of a capture file."`
	Replay replayCmd `cmd:"" help:"Feed the requests of a capture file through a front and the core, without doing the work, and say what became of them."`
}

// statCmd is kiteslip pcap stat.
type statCmd struct {
	File string `arg:"" type:"existingfile" help:"The capture file (pcap or pcapng)."`
}

// Run prints a line for each TCP stream.
func (c *statCmd) Run() error {
	streams, err := readCapture(c.File)
	if err != nil {
		return err
	}
	for _, s := range streams {
		missing := ""
		if s.MissingPackets {
			missing = ", packets are missing"
		}
		fmt.Printf("%v to %v: %d bytes in %d pieces%s\n", s.From, s.To, len(s.Bytes()), len(s.Chunks), missing)
	}
	return nil
}

// replayCmd is kiteslip pcap replay.
type replayCmd struct {
	operatorFlag
	File  string `arg:"" type:"existingfile" help:"The capture file (pcap or pcapng)."`
	Port  uint16 `required:"" help:"The port of the server in the capture."`
	Front string `enum:"frames,uwsgi" default:"frames" help:"What its connections speak: ${enum}."`
	Write string `type:"path" help:"Write the traffic, with the answers given here, to this capture file."`
}

// Run replays the capture and prints the outcomes.
func (c *replayCmd) Run() (err error) {
	cfg, err := load(c.Operator)
	if err != nil {
		return err
	}
	streams, err := readCapture(c.File)
	if err != nil {
		return err
	}
	options := replay.Options{Port: c.Port, UWSGI: c.Front == "uwsgi"}
	if c.Write != "" {
		file, createErr := os.Create(c.Write)
		if createErr != nil {
			return createErr
		}
		out := bufio.NewWriter(file)
		defer func() { err = errors.Join(err, out.Flush(), file.Close()) }()
		options.Output = out
	}
	r, err := replay.Run(streams, cfg, options)
	if err != nil {
		return err
	}
	fmt.Printf("connections %d (%d unfinished, %d with packets missing)\nrequests %d: served %d, refused %d, failed %d; malformed %d\n",
		r.Connections, r.Unfinished, r.MissingPackets, r.Received, r.Served, r.Refused, r.Failed, r.Malformed)
	return nil
}

// readCapture reads the TCP streams of a capture file.
func readCapture(path string) ([]*pcap.Stream, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	streams, err := pcap.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return streams, nil
}
