package entry

import (
	"gitlab.com/curranttiller/curranttiller/pkg/table"
)

// inForce is what the topic of the configuration says, guarded by the daemon's mutex.
type inForce struct {
	// routes, with their organisations, are nil before the first valid configuration.
	routes *table.Table
	// splitter divides the requests of a route between its services by their weights.
	splitter *table.Splitter
	// routesReplaced is closed when other routes come into force, and then replaced.
	routesReplaced chan struct{}
	// evacuated are the failure domains that are evacuated, in order.
	evacuated []string
}

// newInForce returns the state before the first configuration. The phase returns random
// numbers from 0 to below 1.
func newInForce(phase func() float64) inForce {
	return inForce{splitter: table.NewSplitter(phase), routesReplaced: make(chan struct{})}
}
