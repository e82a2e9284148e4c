package caller

// EntryHost is one address of a directory answer.
type EntryHost struct {
	// Name and FailureDomain identify the entry host.
	Name          string
	FailureDomain string
	// Address is where callers connect, as IP:port.
	Address string
	// Token begins the Idempotency-Key of requests that this host is the home of.
	Token string
	// Share is the part of new requests that the host should get; hosts with none are to fall back on.
	Share float64
}

// Directory is the answer to the question which entry hosts to use for a service.
type Directory struct {
	Service string
	// Version is the version of the document in force.
	Version uint64
	// Hosts are in the order of preference.
	Hosts []EntryHost
	// HoldMillis is how long the answer may be kept, in ms.
	HoldMillis int64
}
