package beacon

import (
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxDatagramBytes is the size of the largest datagram that can be received. A longer
// one is truncated. Decode rejects it, or, if the cut falls between two fields, returns
// a message without the fields after it.
const maxDatagramBytes = 16 << 10

// invalidLogPeriod is the shortest time between two log lines about invalid datagrams.
const invalidLogPeriod = time.Second

// Socket sends and receives beacons over UDP. It is safe for concurrent use.
type Socket struct {
	conn *net.UDPConn
	log  *slog.Logger
	done sync.WaitGroup
}

// Open binds a socket to an IPv4 address and port, such as 10.0.0.1:7000.
// Beacons are received only after Start.
func Open(address string, log *slog.Logger) (*Socket, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "parsing beacon address %q", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, eris.Wrapf(err, "listening for beacons on %s", address)
	}
	return &Socket{conn: conn, log: log}, nil
}

// Start calls receive for every beacon that arrives, one after the other on a new
// goroutine. The goroutine ends after Close or an error of the socket. Datagrams that
// Decode rejects are skipped, and counted in the log once a second.
func (s *Socket) Start(receive func(m *Message)) {
	s.done.Go(func() {
		buffer := make([]byte, maxDatagramBytes)
		var loggedAt time.Time
		unlogged := 0
		for {
			n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			m, err := Decode(buffer[:n])
			if err != nil {
				unlogged++
				if now := time.Now(); now.Sub(loggedAt) >= invalidLogPeriod {
					s.log.Warn("ignoring datagrams that are not valid beacons", "Count", unlogged, "LastFrom", from.String(), "Error", err.Error())
					loggedAt, unlogged = now, 0
				}
				continue
			}
			m.From = from.String()
			receive(&m)
		}
	})
}

// Send sends a datagram to an address. Errors are only logged, because the
// receiver must tolerate lost beacons in any case and the next one replaces them.
func (s *Socket) Send(address string, datagram []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		s.log.Warn("not sending a beacon: malformed address of an entry host", "Address", address, "Error", err.Error())
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.log.Debug("sending a beacon failed", "To", address, "Error", err.Error())
	}
}

// Close closes the socket and waits until a running call of receive has returned, so
// receive must not call it.
func (s *Socket) Close() {
	_ = s.conn.Close()
	s.done.Wait()
}
