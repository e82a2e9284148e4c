package answer

import (
	"context"
	"net"
	"net/http"
)

// NewTransport changes a transport that has not been used yet so that it reads answers from
// a Conn, and returns it. A transport without DialContext gets the dialer of net/http.
func NewTransport(transport *http.Transport) *http.Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return transport
}
