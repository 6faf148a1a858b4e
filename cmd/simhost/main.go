// Command simhost hosts kiteslip workers for the simulator: it reads batches of events from standard
// input, and writes one reply with the actions for each to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"kiteslip"
	"kiteslip/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// host is one instance, and its events of the current batch.
type host struct {
	worker *kiteslip.Worker
	gauges []string
	events []kiteslip.Event
	queued bool
}

// serve answers batches until the end of the input.
func serve(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(bufio.NewReaderSize(in, 1<<20))
	writer := bufio.NewWriterSize(out, 1<<20)
	hosts := map[uint16]*host{}
	var reply wire.Reply
	var actions []kiteslip.Action
	var order []uint16
	for {
		now, records, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		order = order[:0]
		for i := range records {
			rec := &records[i]
			h := hosts[rec.Instance]
			switch rec.Kind {
			case wire.Shutdown:
				// An instance that is enlisted again in the same batch is queued again.
				delete(hosts, rec.Instance)
				continue
			case wire.Enlist:
				settings, gauges, err := wire.ParseSettings(rec.Settings)
				if err != nil {
					return fmt.Errorf("byte %d: instance %d: %w", rec.Offset, rec.Instance, err)
				}
				worker, err := kiteslip.New(settings, rec.Seed)
				if err != nil {
					return fmt.Errorf("byte %d: instance %d: %w", rec.Offset, rec.Instance, err)
				}
				h = &host{worker: worker, gauges: gauges}
				hosts[rec.Instance] = h
			default:
				if h == nil {
					return fmt.Errorf("byte %d: record for instance %d, expected one that was enlisted",
						rec.Offset, rec.Instance)
				}
				if rec.Event.Kind == kiteslip.Timer {
					rec.Event.Gauges = wire.ParseGauges(rec.Gauges, h.gauges)
				}
				h.events = append(h.events, rec.Event)
			}
			if !h.queued {
				h.queued = true
				order = append(order, rec.Instance)
			}
		}
		reply.Reset()
		for _, number := range order {
			h := hosts[number]
			if h == nil || !h.queued {
				continue
			}
			h.queued = false
			actions = h.worker.Step(now, h.events, actions[:0])
			h.events = h.events[:0]
			for i := range actions {
				if err := reply.Add(number, &actions[i]); err != nil {
					return fmt.Errorf("instance %d: %w", number, err)
				}
			}
		}
		if _, err := writer.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}
