// Package pcap reads TCP streams from capture files (pcap and pcapng) and writes
// connections as pcap files. It does not capture packets.
package pcap

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/pcapgo"
	"github.com/gopacket/gopacket/reassembly"
)

// Chunk is a part of a stream with the time at which it was captured.
type Chunk struct {
	At   time.Time
	Data []byte
}

// Stream is the data that one side of a TCP connection sent, in order.
type Stream struct {
	From, To       netip.AddrPort
	Chunks         []Chunk
	MissingPackets bool // packets are missing from the capture; the chunks end before the gap
}

// Bytes returns the data of all chunks.
func (s *Stream) Bytes() []byte {
	var b []byte
	for i := range s.Chunks {
		b = append(b, s.Chunks[i].Data...)
	}
	return b
}

// The errors of files that cannot be read.
var (
	ErrNotCapture = errors.New("pcap: not a capture file")
	ErrTruncated  = errors.New("pcap: the capture file is truncated")
)

// The limits of the memory in use.
const (
	maxStreamBytes = 256 << 20 // of all streams
	maxPages       = 16 << 10  // of out-of-order segments, 1,900 bytes each
)

// source is a reader of either format of capture files.
type source interface {
	ReadPacketData() ([]byte, gopacket.CaptureInfo, error)
	LinkType() layers.LinkType
}

// openSource detects the format by the first bytes.
func openSource(r io.Reader) (source, error) {
	in := bufio.NewReader(r)
	magic, err := in.Peek(4)
	if err != nil {
		return nil, ErrNotCapture
	}
	var s source
	switch binary.BigEndian.Uint32(magic) {
	case 0x0a0d0d0a:
		s, err = pcapgo.NewNgReader(in, pcapgo.DefaultNgReaderOptions)
	case 0xa1b2c3d4, 0xd4c3b2a1, 0xa1b23c4d, 0x4d3cb2a1: // micro- and nanoseconds, in both orders
		s, err = pcapgo.NewReader(in)
	default:
		return nil, ErrNotCapture
	}
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, ErrTruncated
	case err != nil:
		return nil, fmt.Errorf("%w: %v", ErrNotCapture, err)
	}
	return s, nil
}

// Read returns the TCP streams of a capture file, in the order of their first data.
// Packets that are not TCP are ignored.
func Read(r io.Reader) ([]*Stream, error) {
	s, err := openSource(r)
	if err != nil {
		return nil, err
	}
	c := &collector{}
	assembler := reassembly.NewAssembler(reassembly.NewStreamPool(c))
	assembler.MaxBufferedPagesTotal = maxPages
	link := s.LinkType()
	for n := 0; ; n++ {
		data, info, err := s.ReadPacketData()
		if errors.Is(err, io.EOF) && len(data) == 0 {
			break
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, fmt.Errorf("%w after %d packets", ErrTruncated, n)
		}
		if err != nil {
			return nil, fmt.Errorf("pcap: packet %d: %w", n+1, err)
		}
		packet := gopacket.NewPacket(data, link, gopacket.Lazy)
		network, tcp := packet.NetworkLayer(), packet.Layer(layers.LayerTypeTCP)
		if network == nil || tcp == nil {
			continue
		}
		context := captureContext(info)
		assembler.AssembleWithContext(network.NetworkFlow(), tcp.(*layers.TCP), &context)
		if c.bytes > maxStreamBytes {
			return nil, fmt.Errorf("pcap: over %d MB of TCP data", maxStreamBytes>>20)
		}
	}
	assembler.FlushAll()
	return c.streams, nil
}

// captureContext gives the assembler the timestamp of a packet.
type captureContext gopacket.CaptureInfo

// GetCaptureInfo implements reassembly.AssemblerContext.
func (s *captureContext) GetCaptureInfo() gopacket.CaptureInfo { return gopacket.CaptureInfo(*s) }

// collector collects the streams that the assembler puts in order.
type collector struct {
	streams []*Stream
	bytes   int
}

// New implements reassembly.StreamFactory.
func (c *collector) New(network, transport gopacket.Flow, tcp *layers.TCP, _ reassembly.AssemblerContext) reassembly.Stream {
	from, to := endpoint(network.Src(), uint16(tcp.SrcPort)), endpoint(network.Dst(), uint16(tcp.DstPort))
	return &connection{collector: c, sides: [2]*Stream{{From: from, To: to}, {From: to, To: from}}}
}

// endpoint returns an address and a port of a packet.
func endpoint(e gopacket.Endpoint, port uint16) netip.AddrPort {
	address, _ := netip.AddrFromSlice(e.Raw()) // the zero address for what is not IP
	return netip.AddrPortFrom(address.Unmap(), port)
}

// connection is one TCP connection; sides[0] sent the first packet.
type connection struct {
	collector *collector
	sides     [2]*Stream
	started   [2]bool
}

// Accept accepts every segment, since a capture may begin in the middle of a connection.
func (k *connection) Accept(_ *layers.TCP, _ gopacket.CaptureInfo, _ reassembly.TCPFlowDirection, _ reassembly.Sequence, start *bool, _ reassembly.AssemblerContext) bool {
	*start = true
	return true
}

// ReassembledSG appends data to a stream, up to the first gap.
func (k *connection) ReassembledSG(sg reassembly.ScatterGather, _ reassembly.AssemblerContext) {
	direction, _, _, skip := sg.Info()
	i := 0
	if direction == reassembly.TCPDirServerToClient {
		i = 1
	}
	s := k.sides[i]
	if !k.started[i] {
		k.started[i] = true
		k.collector.streams = append(k.collector.streams, s)
	}
	length, _ := sg.Lengths()
	if skip > 0 && len(s.Chunks) > 0 {
		s.MissingPackets = true
	}
	if s.MissingPackets || length == 0 {
		return
	}
	k.collector.bytes += length
	s.Chunks = append(s.Chunks, Chunk{sg.CaptureInfo(0).Timestamp, bytes.Clone(sg.Fetch(length))})
}

// ReassemblyComplete implements reassembly.Stream.
func (k *connection) ReassemblyComplete(reassembly.AssemblerContext) bool { return true }
