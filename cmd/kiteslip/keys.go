package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"kiteslip"
	"kiteslip/internal/keystore"
)

// keysCmd is kiteslip keys: commands for the folder of a key store. They fail if a
// server uses the folder.
type keysCmd struct {
	Stat    keysStat    `cmd:"" help:"Say how many keys there are, and when the folder was last in use."`
	Verify  keysVerify  `cmd:"" help:"Read every record; end with 1 if one is damaged."`
	Dump    keysDump    `cmd:"" help:"Print the records, a JSON line for each."`
	Compact keysCompact `cmd:"" help:"Forget keys whose window has ended, and give their space back."`
}

// keysFolder is the argument of all commands.
type keysFolder struct {
	Folder string `arg:"" type:"existingdir" help:"The folder that keys.folder names."`
}

// open opens the store.
func (f *keysFolder) open(readOnly bool) (*keystore.Store, error) {
	return keystore.Open(keystore.Options{Folder: f.Folder, ReadOnly: readOnly})
}

// each calls yield for all records, also those whose window has ended.
func (f *keysFolder) each(yield func(keystore.Record) error) (err error) {
	store, err := f.open(true)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	return store.Each(0, yield)
}

// keysStat is kiteslip keys stat.
type keysStat struct{ keysFolder }

// Run prints the numbers of keys.
func (c *keysStat) Run() error { return c.print(os.Stdout, time.Now()) }

func (c *keysStat) print(w io.Writer, now time.Time) (err error) {
	store, err := c.open(true)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	expired, begun, ended, results := 0, 0, 0, 0
	err = store.Each(0, func(r keystore.Record) error {
		switch {
		case r.WindowEnd < now.UnixMicro():
			expired++
		case r.Finished:
			ended++
			results += len(r.Result)
		default:
			begun++
		}
		return nil
	})
	if err != nil {
		return err
	}
	last := "never"
	if m := store.LastUsed(); m.Wall != 0 {
		last = time.UnixMicro(m.Wall).UTC().Format(time.RFC3339)
	}
	fmt.Fprintf(w, "last written %s; windows are %d ms longer for jumps of the clock\n", last, store.WindowExtension()/1000)
	fmt.Fprintf(w, "%d keys with a result (%d bytes), %d begun without an end, %d whose window has ended; %d KB on disk\n",
		ended, results, begun, expired, store.DiskBytes()/1024)
	return nil
}

// keysVerify is kiteslip keys verify.
type keysVerify struct{ keysFolder }

// Run reads every record.
func (c *keysVerify) Run() error {
	n := 0
	if err := c.each(func(keystore.Record) error { n++; return nil }); err != nil {
		return fmt.Errorf("after %d good records: %w", n, err)
	}
	fmt.Println(n, "records, all good")
	return nil
}

// keysDump is kiteslip keys dump.
type keysDump struct{ keysFolder }

// Run prints every record as a line of JSON.
func (c *keysDump) Run() error { return c.print(os.Stdout) }

func (c *keysDump) print(w io.Writer) error {
	outcomes := map[uint8]string{uint8(kiteslip.OK): "ok", uint8(kiteslip.Failed): "failed"}
	out := json.NewEncoder(w)
	return c.each(func(r keystore.Record) error {
		state := "begun"
		if r.Finished {
			if state = outcomes[r.Outcome]; state == "" {
				state = fmt.Sprint("outcome ", r.Outcome)
			}
		}
		return out.Encode(map[string]any{"class": r.Class, "key": r.Key, "state": state, "try": r.TryID, "arrived_us": r.Arrived,
			"until_us": r.WindowEnd, "result": r.Result})
	})
}

// keysCompact is kiteslip keys compact.
type keysCompact struct{ keysFolder }

// Run deletes expired keys and compacts the store.
func (c *keysCompact) Run() (err error) {
	store, err := c.open(false)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	before := store.DiskBytes()
	if err = store.DeleteExpired(time.Now().UnixMicro()); err != nil {
		return err
	}
	if err = store.Compact(); err != nil {
		return err
	}
	fmt.Printf("%d KB, were %d KB\n", store.DiskBytes()/1024, before/1024)
	return nil
}
