package caller

// EntryHost is an entry host that serves a service, as the directory lists it.
type EntryHost struct {
	Name          string
	FailureDomain string
	// Address is where callers connect, as IP:port.
	Address string
	// Token is the start of an Idempotency-Key whose home is this host. A dot and a
	// unique text follow. See package settle.
	Token string
	// Share is the fraction of new requests to send to this host, from 0 to 1. Hosts
	// with 0 are for use when others fail.
	Share float64
}

// Directory lists the entry hosts to use for a service. Entry hosts return it as JSON
// at the path /tiller/directory.
type Directory struct {
	Service string
	// Version is the version of the service's document in force.
	Version uint64
	// Hosts are in order of preference.
	Hosts []EntryHost
	// HoldMillis is how long the directory may be cached, in ms.
	HoldMillis int64
}
