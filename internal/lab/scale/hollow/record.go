package hollow

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
)

// Code is the outcome of a request.
type Code uint8

// The outcomes of a request.
const (
	Answered    Code = iota + 1
	Refused          // by the last try
	Late             // answered after its deadline plus slack
	Lost             // not answered by then
	WrongResult      // answered with the result of another request
)

// String returns the outcome in words.
func (c Code) String() string {
	names := [...]string{"without an end", "answered", "refused", "late", "lost", "wrong"}
	if int(c) < len(names) {
		return names[c]
	}
	return fmt.Sprint("code ", uint8(c))
}

// Record describes one request, from the time it was due to its end.
type Record struct {
	Due           int64 // when it was due, Unix microseconds
	LatencyUS     int32 // from Due to the answer, microseconds
	AddedUS       int32 // LatencyUS less the engine's own time; equal to LatencyUS without an answer
	CallerDelayUS int32 // delay by the caller itself, from Due to the start of sending, microseconds
	Target        uint16
	Code          Code
	Tries         uint8
	Opened        bool // a connection was opened for it
	OtherServer   bool // answered by another server than its target
}

// write writes the record in binary form.
func (r *Record) write(w io.Writer) error { return binary.Write(w, binary.LittleEndian, r) }

// ReadRecords reads a file of records.
func ReadRecords(path string) ([]Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	size := binary.Size(Record{})
	list := make([]Record, info.Size()/int64(size))
	if err = binary.Read(bufio.NewReaderSize(file, 1<<20), binary.LittleEndian, list); err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("hollow: %s: %w", path, err)
	}
	return list, nil
}
