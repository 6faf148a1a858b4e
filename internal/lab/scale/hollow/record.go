package hollow

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
)

// Code says what became of a request.
type Code uint8

// The codes.
const (
	Answered Code = iota + 1
	Refused       // by the last of its tries
	Late          // answered after its deadline and the slack of the rules
	Lost          // no answer by then
	Wrong         // answered with what belongs to something else
)

// String names a code.
func (c Code) String() string {
	names := [...]string{"without an end", "answered", "refused", "late", "lost", "wrong"}
	if int(c) < len(names) {
		return names[c]
	}
	return fmt.Sprint("code ", uint8(c))
}

// Record is one request, from the moment it was due to its end.
type Record struct {
	Due       int64 // Unix microseconds
	Took      int32 // from Due to the answer, microseconds
	Added     int32 // Took less the engine's own time; where it was not answered, Took
	Waited    int32 // the caller's own lateness: from Due until it began to send
	Target    uint16
	Code      Code
	Tries     uint8
	Opened    bool // a connection had to be opened for it
	Elsewhere bool // answered by another server than the one it was meant for
}

// Write appends a record.
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
