package entry

// OpenRequests counts the requests at a host that have no answer yet, by where they are.
type OpenRequests struct {
	// Waiting is the number of requests that wait for the grant of a target. Some of them
	// may have an attempt too.
	Waiting int
	// Unconnected is the number of attempts that wait for a connection, and Sent that of
	// the attempts that have one.
	Unconnected, Sent int
}

// OpenRequests counts the requests that this host has at the moment.
func (d *Daemon) OpenRequests() OpenRequests {
	d.mu.Lock()
	defer d.mu.Unlock()
	var open OpenRequests
	for _, s := range d.services {
		s.mu.Lock()
		unconnected := s.client.UnconnectedAttempts()
		open.Waiting += s.pool.Waiting()
		open.Unconnected += unconnected
		open.Sent += max(int(s.attemptsRunning.Load())-unconnected, 0)
		s.mu.Unlock()
	}
	return open
}
