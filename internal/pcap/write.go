package pcap

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/pcapgo"
)

// The sizes in the packets and the file's header.
const (
	maxSegmentBytes = 1460
	snapshotBytes   = 65_535
	windowBytes     = 65_535
)

// Writer writes TCP connections as a capture file of raw IP packets.
type Writer struct {
	out *pcapgo.Writer
	buf gopacket.SerializeBuffer
}

// NewWriter writes the file's header to w and returns a Writer.
func NewWriter(w io.Writer) (*Writer, error) {
	out := pcapgo.NewWriterNanos(w)
	if err := out.WriteFileHeader(snapshotBytes, layers.LinkTypeRaw); err != nil {
		return nil, fmt.Errorf("pcap: %w", err)
	}
	return &Writer{out: out, buf: gopacket.NewSerializeBuffer()}, nil
}

// Conn is a connection in the file.
type Conn struct {
	w         *Writer
	endpoints [2]netip.AddrPort // client, server
	nextSeq   [2]uint32         // next sequence number of each
}

// Open writes the handshake of a connection from client to server.
func (w *Writer) Open(at time.Time, client, server netip.AddrPort) (*Conn, error) {
	if client.Addr().Is4() != server.Addr().Is4() {
		return nil, fmt.Errorf("pcap: %v and %v are of different address families", client, server)
	}
	c := &Conn{w: w, endpoints: [2]netip.AddrPort{client, server}, nextSeq: [2]uint32{1000, 2000}}
	if err := c.packet(at, 0, &layers.TCP{SYN: true}, nil); err != nil {
		return nil, err
	}
	c.nextSeq[0]++
	if err := c.packet(at, 1, &layers.TCP{SYN: true, ACK: true}, nil); err != nil {
		return nil, err
	}
	c.nextSeq[1]++
	return c, c.packet(at, 0, &layers.TCP{ACK: true}, nil)
}

// Send writes data that the server sends, or the client.
func (c *Conn) Send(at time.Time, byServer bool, data []byte) error {
	for len(data) > 0 {
		n := min(len(data), maxSegmentBytes)
		if err := c.packet(at, sideIndex(byServer), &layers.TCP{ACK: true, PSH: n == len(data)}, data[:n]); err != nil {
			return err
		}
		c.nextSeq[sideIndex(byServer)] += uint32(n)
		data = data[n:]
	}
	return nil
}

// Close writes the end of the connection, which the server closes first, or the client.
func (c *Conn) Close(at time.Time, byServer bool) error {
	for _, i := range []int{sideIndex(byServer), 1 - sideIndex(byServer)} {
		if err := c.packet(at, i, &layers.TCP{FIN: true, ACK: true}, nil); err != nil {
			return err
		}
		c.nextSeq[i]++
	}
	return c.packet(at, sideIndex(byServer), &layers.TCP{ACK: true}, nil)
}

// sideIndex returns the index of a side in a Conn's arrays.
func sideIndex(byServer bool) int {
	if byServer {
		return 1
	}
	return 0
}

// packet writes one segment from endpoints[i].
func (c *Conn) packet(at time.Time, i int, tcp *layers.TCP, payload []byte) error {
	from, to := c.endpoints[i], c.endpoints[1-i]
	tcp.SrcPort, tcp.DstPort = layers.TCPPort(from.Port()), layers.TCPPort(to.Port())
	tcp.Seq, tcp.Window = c.nextSeq[i], windowBytes
	if tcp.ACK {
		tcp.Ack = c.nextSeq[1-i]
	}
	var network interface {
		gopacket.SerializableLayer
		gopacket.NetworkLayer
	}
	if from.Addr().Is4() {
		network = &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
			SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
	} else {
		network = &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: layers.IPProtocolTCP,
			SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
	}
	if err := tcp.SetNetworkLayerForChecksum(network); err != nil {
		return fmt.Errorf("pcap: %w", err)
	}
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(c.w.buf, options, network, tcp, gopacket.Payload(payload)); err != nil {
		return fmt.Errorf("pcap: %w", err)
	}
	data := c.w.buf.Bytes()
	return c.w.out.WritePacket(gopacket.CaptureInfo{Timestamp: at, CaptureLength: len(data), Length: len(data)}, data)
}
