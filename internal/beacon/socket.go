package beacon

import (
	"log/slog"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

// maxDatagram is the largest datagram that is read; longer ones are cut and then malformed.
const maxDatagram = 16 << 10

// Socket sends and receives beacons.
type Socket struct {
	conn *net.UDPConn
	log  *slog.Logger
	done sync.WaitGroup
}

// Open listens on an address such as 10.0.0.1:7000.
func Open(address string, log *slog.Logger) (*Socket, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "beacon address %s", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, eris.Wrapf(err, "listening for beacons on %s", address)
	}
	return &Socket{conn: conn, log: log}, nil
}

// Start calls receive for every beacon until Close.
func (s *Socket) Start(receive func(m *Message)) {
	s.done.Go(func() {
		buffer := make([]byte, maxDatagram)
		for {
			n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			m, err := Decode(buffer[:n])
			if err != nil {
				s.log.Warn("beacon is malformed and has no effect", "From", from.String(), "Error", err.Error())
				continue
			}
			receive(&m)
		}
	})
}

// Send sends a datagram to an address. A beacon that cannot be sent is lost like
// one that the network drops, and the next one makes up for it.
func (s *Socket) Send(address string, datagram []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		s.log.Warn("address of an entry host is malformed", "Address", address, "Error", err.Error())
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.log.Debug("sending a beacon failed", "To", address, "Error", err.Error())
	}
}

// Close closes the socket and waits for the receiver.
func (s *Socket) Close() {
	_ = s.conn.Close()
	s.done.Wait()
}
